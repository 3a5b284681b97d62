package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is one request that reached a worker and was not refused with 421.
type arrival struct {
	worker, attempt, key, tenant, from string
	at                                 time.Time
	ended                              time.Time
	complete                           bool // the whole answer was written
}

// worker is a stand-in of a worker without an engine. It runs each request for workTime.
type worker struct {
	id, service, zone, address string
	slots                      int
	workTime                   time.Duration
	record                     *record
	server                     *http.Server
	running                    atomic.Int64

	mu       sync.Mutex
	arrivals []*arrival
}

// startWorker starts a worker at an address of its own.
func (w *world) startWorker(service string, number int, id string, workTime time.Duration) (*worker, error) {
	one := &worker{
		id: id, service: service, zone: zoneOf(number), address: w.address(appGroup, number, appPort),
		slots: 6, workTime: workTime, record: w.record,
	}
	var err error
	one.server, err = listen(one.address, one)
	w.record.add(id, "starts at %s", one.address)
	return one, err
}

// registration is the worker's entry in the store.
func (k *worker) registration(seq int) map[string]any {
	return map[string]any{
		"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": k.slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": seq,
	}
}

// exit ends the worker: requests in progress are cut off.
func (k *worker) exit() {
	k.record.add(k.id, "exits with %d requests running", k.running.Load())
	_ = k.server.Close()
}

// all returns a copy of what reached the worker.
func (k *worker) all() []arrival {
	k.mu.Lock()
	defer k.mu.Unlock()
	found := make([]arrival, 0, len(k.arrivals))
	for _, one := range k.arrivals {
		found = append(found, *one)
	}
	return found
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	header := w.Header()
	header.Set("X-Attempt-Id", attempt)
	header.Set("Keep-Alive", "timeout=8")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != k.id {
		header.Set("X-Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	one := &arrival{worker: k.id, attempt: attempt, tenant: r.Header.Get("X-Tenant"), from: r.RemoteAddr, at: at}
	k.mu.Lock()
	k.arrivals = append(k.arrivals, one)
	k.mu.Unlock()
	k.running.Add(1)
	defer k.running.Add(-1)
	k.record.addAt(at, k.id, "runs %s of tenant %q, %d bytes", attempt, one.tenant, len(body))
	select {
	case <-time.After(k.workTime):
	case <-r.Context().Done():
		k.finish(one, false)
		return
	}
	header.Set("X-Server-Stamp", "stamp."+k.id+"."+attempt)
	header.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", k.running.Load(), k.slots))
	header.Set("Content-Type", "text/plain")
	_, err = io.WriteString(w, "done "+attempt)
	k.finish(one, err == nil)
}

func (k *worker) finish(one *arrival, complete bool) {
	k.mu.Lock()
	one.ended, one.complete = time.Now(), complete
	k.mu.Unlock()
	if !complete {
		k.record.add(k.id, "run of %s is cut off", one.attempt)
	}
}

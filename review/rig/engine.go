package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the stand-in engines, near those of the small deployments.
const (
	engineSlots = 16
	engineQueue = 32
	chunkCount  = 96
	chunkBytes  = 24576
	loadTime    = 300 * time.Millisecond
	firstToken  = 60 * time.Millisecond
	eventGap    = 50 * time.Millisecond
	eventCount  = 10
	// readTime is the time to read a staged piece back.
	readTime  = 10 * time.Millisecond
	modelName = "daka510000"
)

// chunk returns a piece of a version's weights.
func chunk(version, index int) []byte {
	text := fmt.Sprintf("%d/%d ", version, index)
	return []byte(strings.Repeat(text, chunkBytes/len(text)+1)[:chunkBytes])
}

// begun is one request that began to run at an engine.
type begun struct {
	engine, attempt string
	version         int
	at              time.Time
}

// engine is a stand-in of a model worker, with its staging area.
type engine struct {
	id, service, zone, address string
	record                     *record

	mu      sync.Mutex
	version int // loaded; 0: none
	busy    bool
	orders  int
	staged  map[int][]byte
	running map[chan struct{}]bool // closed when an order cuts the request off
	waiting int
	begun   []begun
	reads   int // of staged pieces
	doors   *mutableListener
}

// startEngine starts an engine with version 1 loaded and staged.
func (w *world) startEngine(service string, number int) (*engine, error) {
	one := &engine{
		id: fmt.Sprintf("i-llm-%d", number), service: service, zone: zoneOf(number), address: w.address(hostGroup, number, appPort),
		record: w.record, version: 1, staged: map[int][]byte{}, running: map[chan struct{}]bool{},
	}
	for i := range chunkCount {
		one.staged[i] = chunk(1, i)
	}
	var err error
	one.doors, err = listenMutable(one.address, one)
	return one, err
}

// readCount returns how many staged pieces were read so far.
func (e *engine) readCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reads
}

// registration is the engine's entry in the store.
func (e *engine) registration() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_remaining_ms": 0, "stage": "both", "models": e.models(), "seq": e.orders,
	}
}

// models lists what is loaded. The caller holds e.mu.
func (e *engine) models() []map[string]any {
	if e.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"name": modelName, "version": e.version, "adapters": []string{}}}
}

// all returns a copy of the requests that began.
func (e *engine) all() []begun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]begun(nil), e.begun...)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/report":
		e.serveReport(w)
	case path == "/order":
		e.serveOrder(w, r)
	case strings.HasPrefix(path, "/stage-put/"):
		e.servePut(w, r)
	case strings.HasPrefix(path, "/stage-get/"):
		e.serveGet(w, r)
	default:
		e.serveStream(w, r)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": e.models(), "busy": e.busy, "seq": e.orders, "queued": e.waiting, "running": len(e.running),
		"kv_used": 1000 * len(e.running), "kv_total": 1180000, "handles": 0, "pace": 1.0,
	})
}

func (e *engine) servePut(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("num"))
	data, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = data
	w.WriteHeader(http.StatusOK)
}

func (e *engine) serveGet(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("num") {
		time.Sleep(readTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.URL.Query().Has("num") {
		held := []int{}
		for i := range e.staged {
			held = append(held, i)
		}
		writeJSON(w, http.StatusOK, map[string]any{"held": held})
		return
	}
	index, _ := strconv.Atoi(r.URL.Query().Get("num"))
	data, ok := e.staged[index]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.reads++
	_, _ = w.Write(data)
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation    string `json:"operation"`
		Version      int    `json:"version"`
		Mode         string `json:"mode"`
		Precondition *int   `json:"precondition"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Operation != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || body.Precondition != nil && *body.Precondition != e.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	for i := range chunkCount {
		if string(e.staged[i]) != string(chunk(body.Version, i)) {
			e.record.add(e.id, "order for version %d although piece %d is not its own", body.Version, i)
		}
	}
	e.orders++
	e.busy = true
	cut := 0
	if body.Mode == "cutover" {
		for stream := range e.running {
			close(stream)
			delete(e.running, stream)
			cut++
		}
	}
	e.record.add(e.id, "accepts the order to load version %d, mode %s, cuts %d requests", body.Version, body.Mode, cut)
	w.WriteHeader(http.StatusAccepted)
	go e.load(body.Version)
}

// load waits for what still runs, then loads the version.
func (e *engine) load(version int) {
	for {
		e.mu.Lock()
		left := len(e.running)
		e.mu.Unlock()
		if left == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.busy = version, false
	e.record.add(e.id, "has version %d", version)
}

// admit takes a slot for a request; ok is false if the engine does not run it.
func (e *engine) admit(r *http.Request) (cut chan struct{}, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := r.Header.Get("X-Expect-Version")
	switch {
	case expected != "" && expected != strconv.Itoa(e.version):
		return nil, http.StatusMisdirectedRequest
	case e.busy || e.version == 0 || len(e.running) >= engineSlots:
		return nil, http.StatusServiceUnavailable
	}
	cut = make(chan struct{})
	e.running[cut] = true
	return cut, http.StatusOK
}

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("X-Attempt-Id")
	header := w.Header()
	header.Set("X-Attempt-Id", attempt)
	header.Set("X-Instance-Id", e.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	cut, status := e.admit(r)
	if status != http.StatusOK {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, cut)
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	wait := firstToken
	for number := after + 1; number <= eventCount; number++ {
		select {
		case <-time.After(wait):
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		if number == after+1 {
			e.begin(header, attempt)
		}
		wait = eventGap
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, attempt)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// begin records that a request begins to run, with its first token.
func (e *engine) begin(header http.Header, attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.begun = append(e.begun, begun{engine: e.id, attempt: attempt, version: e.version, at: now})
	header.Set("X-Server-Stamp", "stamp."+e.id+"."+attempt)
	header.Set("X-Weight-Versions", strconv.Itoa(e.version))
	header.Set("Content-Type", "text/event-stream")
	e.record.addAt(now, e.id, "%s begins on version %d", attempt, e.version)
}

// origin is a stand-in of the service that has the weights.
type origin struct{}

func (origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.Atoi(r.URL.Query().Get("version"))
	if err != nil || version < 1 || version > 2 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/manifest/") {
		digests := make([]string, chunkCount)
		for i := range chunkCount {
			sum := sha256.Sum256(chunk(version, i))
			digests[i] = hex.EncodeToString(sum[:])
		}
		writeJSON(w, http.StatusOK, map[string]any{
			"model": modelName, "version": version, "chunk_bytes": chunkBytes, "layers": 16, "digests": digests,
		})
		return
	}
	index, err := strconv.Atoi(r.URL.Query().Get("num"))
	if err != nil || index < 0 || index >= chunkCount {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(chunk(version, index))
}

// engineService returns a service with an engine, with the figures of a small deployment.
func engineService(name string) map[string]any {
	service := plainService(name)
	service["max_conns"] = 274
	service["engine"] = map[string]any{
		"slots": engineSlots, "kv_capacity_tokens": 1180000, "kv_cache_bytes": 163840, "link_mbps": 400000.0, "stride": 5,
		"models": []map[string]any{{"name": modelName, "pace": 1.0, "load_s": 4.0, "warm_s": loadTime.Seconds()}},
		"mb":     266000.0, "step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47,
		"chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 600, "answer": 50}, "layers": 16, "layer_mb": 4540.0,
		"chunks": chunkCount, "chunk_bytes": chunkBytes,
	}
	return service
}

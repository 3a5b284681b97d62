package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// What the simulated fleet does, seconds of virtual time where a length is meant.
const (
	simLength = 60 * time.Second
	// contact is the platform's time after which an entry that was cut off is bound again.
	reconnectTimeout = 3 * time.Second
	// stored is from an end until the store has the report: the look and the call.
	storeDelay = 60 * time.Millisecond
	// learnedMost is the longest until an entry that can be reached learns of it: the gap
	// between two watches, the gap between two replies to a follower, and the ways.
	maxPropagationDelay = 600 * time.Millisecond
	// runTime is how long an innocent request is in progress, begun is when a deadly one has
	// waited at its endpoint and ends it.
	harmlessRunTime = 1500 * time.Millisecond
	deadlyRunTime   = 250 * time.Millisecond
	// answered is when an innocent one has been answered in part.
	partialAnswerTime = 600 * time.Millisecond
	// perRoute is the attempts that a route allows to one try.
	maxAttempts = 2
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int // order of events at one time
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simFleet is entries before endpoints that share a store, in virtual time.
type simFleet struct {
	random *rand.Rand
	now    time.Duration
	queue  events
	seq    int

	entries          []*simEntry
	endpoints        []*simEndpoint
	store            []Report
	storeWrites      int
	endpointsStarted int // endpoints, for their ids

	deadly           Fingerprint
	deadlyEnds       int           // under the deadly request
	thirdEndAt       time.Duration // 0: not yet
	lateSends        int           // by entries in touch, later than contact after the third end
	deadlySends      int
	harmlessRequests int
	harmlessRefused  int // innocent ones that were held
	otherEnds        int // endpoints that ended for a reason of their own
	maxWritesPerEnd  int // of one end
}

type simEntry struct {
	ledger            *Ledger
	stopped           bool
	disconnectedUntil time.Duration
	connectedSince    time.Duration // since when it could be in touch
}

// simEndpoint is one incarnation.
type simEndpoint struct {
	id      string
	down    bool
	running []*simRequest
}

// simRequest is one try of a request.
type simRequest struct {
	fingerprint   Fingerprint
	entry         *simEntry
	attempts      int
	callerRetries int // of its caller
	sentAt        time.Duration
}

func newSimFleet(seed uint64, entries, endpoints int) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), deadly: Of("c", "POST", "h", "/deadly", nil)}
	for range entries {
		f.addEntry()
	}
	for range endpoints {
		f.endpoints = append(f.endpoints, f.startEndpoint())
	}
	return f
}

func (f *simFleet) addEntry() *simEntry {
	entry := &simEntry{connectedSince: f.now}
	entry.ledger = NewLedger(func() time.Time { return time.Unix(1, 0).Add(f.now) })
	for _, report := range f.store {
		entry.ledger.Observe(report)
	}
	f.entries = append(f.entries, entry)
	return entry
}

func (f *simFleet) startEndpoint() *simEndpoint {
	f.endpointsStarted++
	return &simEndpoint{id: fmt.Sprintf("i-%d", f.endpointsStarted)}
}

func (f *simFleet) schedule(wait time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + wait, f.seq, do})
}

func (f *simFleet) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

func (f *simFleet) run() {
	for len(f.queue) > 0 {
		next := heap.Pop(&f.queue).(event)
		if next.at > simLength {
			return
		}
		f.now = next.at
		next.do()
	}
}

// anyEntry returns a live entry.
func (f *simFleet) randomLiveEntry() *simEntry {
	for {
		if entry := f.entries[f.random.IntN(len(f.entries))]; !entry.stopped {
			return entry
		}
	}
}

// ask begins a try of a request and lets it come again where it fails.
func (f *simFleet) submit(fp Fingerprint, callerRetries int) {
	f.send(&simRequest{fingerprint: fp, entry: f.randomLiveEntry(), callerRetries: callerRetries})
}

// send sends a try to an endpoint once there is a place.
func (f *simFleet) send(req *simRequest) {
	f.schedule(f.randomUpTo(300*time.Millisecond), func() {
		if req.entry.stopped {
			return
		}
		if _, held := req.entry.ledger.Held(req.fingerprint); held {
			if req.fingerprint != f.deadly {
				f.harmlessRefused++
			}
			return
		}
		endpoint := f.endpoints[f.random.IntN(len(f.endpoints))]
		if endpoint.down {
			f.send(req)
			return
		}
		req.attempts++
		req.sentAt = f.now
		endpoint.running = append(endpoint.running, req)
		if req.fingerprint == f.deadly {
			f.recordDeadlySend(req)
			f.schedule(deadlyRunTime, func() { f.endEndpoint(endpoint, true) })
			return
		}
		f.schedule(harmlessRunTime, func() {
			index := slices.Index(endpoint.running, req)
			if endpoint.down || index < 0 || req.entry.stopped {
				return
			}
			endpoint.running = slices.Delete(endpoint.running, index, index+1)
			if req.entry.ledger.Served(req.fingerprint) {
				f.publish(req.entry, Report{Served: []Fingerprint{req.fingerprint}})
			}
		})
	})
}

func (f *simFleet) recordDeadlySend(req *simRequest) {
	f.deadlySends++
	connected := f.now-req.entry.connectedSince > reconnectTimeout || req.entry.connectedSince == 0
	if f.thirdEndAt > 0 && f.now > f.thirdEndAt+reconnectTimeout && connected {
		f.lateSends++
	}
}

// end ends an endpoint; those in progress break off and go on elsewhere.
func (f *simFleet) endEndpoint(endpoint *simEndpoint, deadly bool) {
	if endpoint.down {
		return
	}
	endpoint.down = true
	if deadly {
		f.deadlyEnds++
		if f.deadlyEnds == endsToHold {
			f.thirdEndAt = f.now
		}
	} else {
		f.otherEnds++
	}
	f.schedule(3*time.Second+f.randomUpTo(2*time.Second), func() {
		for i, current := range f.endpoints {
			if current == endpoint {
				f.endpoints[i] = f.startEndpoint()
			}
		}
	})
	reports := map[*simEntry]*Report{}
	var order []*simEntry
	for _, req := range endpoint.running {
		report := reports[req.entry]
		if report == nil {
			report = &Report{End: End{Endpoint: endpoint.id}}
			reports[req.entry] = report
			order = append(order, req.entry)
		}
		if f.now-req.sentAt > partialAnswerTime {
			report.Running = append(report.Running, req.fingerprint)
		} else {
			report.Suspects = append(report.Suspects, req.fingerprint)
		}
		f.retry(req)
	}
	f.maxWritesPerEnd = max(f.maxWritesPerEnd, len(order))
	for _, entry := range order {
		report := *reports[entry]
		f.schedule(storeDelay/2, func() {
			if !entry.stopped {
				entry.ledger.Observe(report)
				f.publish(entry, report)
			}
		})
	}
}

// goOn sends what broke to another endpoint, or lets its caller come again.
func (f *simFleet) retry(req *simRequest) {
	if req.attempts < maxAttempts {
		f.send(req)
	} else if req.callerRetries > 0 {
		f.schedule(100*time.Millisecond, func() { f.submit(req.fingerprint, req.callerRetries-1) })
	}
}

// publish writes a report to the store and from there to all entries that can be reached.
func (f *simFleet) publish(from *simEntry, report Report) {
	f.schedule(max(storeDelay/2, from.disconnectedUntil-f.now), func() {
		if from.stopped {
			return
		}
		if from.disconnectedUntil > f.now {
			f.publish(from, report)
			return
		}
		f.storeWrites++
		f.store = append(f.store, report)
		for _, entry := range f.entries {
			f.deliver(entry, report)
		}
	})
}

func (f *simFleet) deliver(entry *simEntry, report Report) {
	f.schedule(f.randomUpTo(maxPropagationDelay)+max(0, entry.disconnectedUntil-f.now), func() {
		if entry.disconnectedUntil > f.now {
			f.deliver(entry, report)
			return
		}
		entry.ledger.Observe(report)
	})
}

// every calls do again and again at random times.
func (f *simFleet) every(mean time.Duration, do func()) {
	f.schedule(f.randomUpTo(2*mean), func() {
		do()
		f.every(mean, do)
	})
}

// Symptom: as in TestRequestThatEndsEndpointsIsStopped of the entry, at any size. In virtual
// time a deadly request comes again at any entry, seldom or by tens a second, among others in
// progress at each endpoint; some endpoints end for reasons of their own, entries are cut off
// for seconds, killed, and new ones come.
func TestDeadlyRequestIsHeldEverywhere(t *testing.T) {
	for _, size := range []struct {
		entries, endpoints, load int
		every                    time.Duration // mean pause between two tries of the deadly one
		seeds                    uint64
	}{
		{9, 14, 80, 600 * time.Millisecond, 20},
		{9, 14, 80, 50 * time.Millisecond, 5},
		{9, 14, 80, 4 * time.Second, 5},
		{98, 138, 800, 600 * time.Millisecond, 3},
		{98, 138, 800, 20 * time.Millisecond, 3},
	} {
		for seed := uint64(1); seed <= size.seeds; seed++ {
			t.Run(fmt.Sprintf("%d entries, each %v, seed %d", size.entries, size.every, seed), func(t *testing.T) {
				f := newSimFleet(seed, size.entries, size.endpoints)
				f.scheduleLoadAndFaults(size.load)
				f.schedule(10*time.Second, func() {
					f.every(size.every, func() { f.submit(f.deadly, 1) })
				})
				f.run()
				f.check(t)
			})
		}
	}
}

// trouble brings about everything but the deadly request.
func (f *simFleet) scheduleLoadAndFaults(load int) {
	f.every(time.Second/time.Duration(load), func() {
		f.harmlessRequests++
		f.submit(Of("c", "POST", "h", fmt.Sprintf("/%d", f.harmlessRequests), nil), 1)
	})
	// One request comes again and again and is in progress at most ends.
	f.every(50*time.Millisecond, func() {
		f.harmlessRequests++
		f.submit(Of("c", "GET", "h", "/status", nil), 1)
	})
	f.every(2*time.Second, func() { f.endEndpoint(f.endpoints[f.random.IntN(len(f.endpoints))], false) })
	f.every(2*time.Second, func() {
		entry := f.randomLiveEntry()
		entry.disconnectedUntil = f.now + f.randomUpTo(6*time.Second)
		entry.connectedSince = entry.disconnectedUntil
	})
	f.every(5*time.Second, func() {
		f.randomLiveEntry().stopped = true
		f.schedule(f.randomUpTo(time.Second), func() { f.addEntry() })
	})
}

func (f *simFleet) check(t *testing.T) {
	t.Helper()
	if f.deadlyEnds < endsToHold {
		t.Fatalf("got %d ends under the deadly request, want it to show what it does", f.deadlyEnds)
	}
	if f.lateSends > 3 {
		t.Errorf("got %d sends by entries in touch later than %v after the third end, want 3 at most", f.lateSends, reconnectTimeout)
	}
	if f.harmlessRefused > f.harmlessRequests/1000 {
		t.Errorf("got %d of %d others refused, want 1 in 1000 at most", f.harmlessRefused, f.harmlessRequests)
	}
	t.Logf("%d sends, %d ends, %d late; %d others, %d refused; %d ends otherwise, %d writes, %d at most for one end",
		f.deadlySends, f.deadlyEnds, f.lateSends, f.harmlessRequests, f.harmlessRefused, f.otherEnds, f.storeWrites, f.maxWritesPerEnd)
}

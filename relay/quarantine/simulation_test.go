package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of the simulated fleet, in virtual time.
const (
	simLength = 60 * time.Second
	// reconnectTimeout is the platform's time limit after which an entry that was disconnected
	// must hold the deadly request again.
	reconnectTimeout = 3 * time.Second
	// storeDelay is the time from an end until the store has the report: the check whether the
	// endpoint ended, and the call to the store.
	storeDelay = 60 * time.Millisecond
	// maxPropagationDelay is the longest time until a connected entry receives the report: the
	// gap between two watches, the gap between two replies to a follower, and the network.
	maxPropagationDelay = 600 * time.Millisecond
	// harmlessRunTime is how long a harmless request runs; deadlyRunTime is how long a deadly
	// one is at an endpoint, waiting included, before the endpoint ends.
	harmlessRunTime = 1500 * time.Millisecond
	deadlyRunTime   = 250 * time.Millisecond
	// partialAnswerTime is the time after which a harmless request has been partly answered.
	partialAnswerTime = 600 * time.Millisecond
	// maxAttempts is the number of attempts that a route allows for one call.
	maxAttempts = 2
)

// event is a scheduled call.
type event struct {
	at  time.Duration
	seq int // order among events at the same time
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

// simFleet simulates entries that share a store and send requests to endpoints, in virtual time.
// A deadly request ends every endpoint that runs it. Deadly requests are all the same, or differ and
// have a part of their prompts in common.
type simFleet struct {
	random *rand.Rand
	now    time.Duration
	queue  events
	seq    int

	entries          []*simEntry
	endpoints        []*simEndpoint
	store            []Report
	storeWrites      int
	endpointsStarted int // for endpoint IDs

	deadly           Fingerprint
	knownEnds        int           // deadly ends from which on all entries must know what causes them
	deadlyEnds       int           // caused by deadly requests
	knownAt          time.Duration // when knownEnds were reached; 0: not yet
	lateSends        int           // deadly ones by connected entries, later than reconnectTimeout after knownAt
	deadlySends      int
	deadlyRequests   int // that differ from each other
	harmlessRequests int
	lastDeadlyEnd    time.Duration
	sharing          []*sharingCall // harmless requests that have a part in common with deadly ones
	harmlessRefused  int            // harmless requests refused because they were held
	otherEnds        int            // ends not caused by the deadly request
	maxWritesPerEnd  int            // reports written to the store about one end
}

type simEntry struct {
	ledger            *Ledger
	stopped           bool
	disconnectedUntil time.Duration
	connectedSince    time.Duration // when it was last reconnected; 0: connected from the start
}

// simEndpoint is one incarnation of an endpoint.
type simEndpoint struct {
	id      string
	down    bool
	running []*simRequest
}

// sharingCall is the first call of a harmless request that has a part in common with deadly ones.
type sharingCall struct {
	at      time.Duration
	refused bool
}

// simRequest is one call of a request by its caller.
type simRequest struct {
	fingerprint   Fingerprint
	parts         []Fingerprint
	deadly        bool
	sharing       *sharingCall // nil if it has no part in common with deadly ones
	entry         *simEntry
	attempts      int
	callerRetries int // how often the caller will call again
	sentAt        time.Duration
}

func newSimFleet(seed uint64, entries, endpoints int) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), knownEnds: endsToHold, deadly: NewFingerprint("c", "POST", "h", "/deadly", nil)}
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
	entry.ledger.NotifyProven(func(parts []Fingerprint) { f.publish(entry, Report{ProvenParts: parts}) })
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

// schedule runs do after the given time.
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

// randomLiveEntry returns a random entry that has not stopped.
func (f *simFleet) randomLiveEntry() *simEntry {
	for {
		if entry := f.entries[f.random.IntN(len(f.entries))]; !entry.stopped {
			return entry
		}
	}
}

// submit calls a random entry with a request; if it fails, the caller calls again up to
// callerRetries times.
func (f *simFleet) submit(fp Fingerprint, callerRetries int) {
	f.submitRequest(simRequest{fingerprint: fp, deadly: fp == f.deadly, callerRetries: callerRetries})
}

func (f *simFleet) submitRequest(req simRequest) {
	req.entry, req.attempts = f.randomLiveEntry(), 0
	f.send(&req)
}

// refuses reports whether the entry holds a request or a part of its prompt.
func (e *simEntry) refuses(req *simRequest) bool {
	return slices.ContainsFunc(append(req.parts[:len(req.parts):len(req.parts)], req.fingerprint), func(fp Fingerprint) bool {
		_, held := e.ledger.Held(fp)
		return held
	})
}

// send sends a request to a random endpoint after a random wait for capacity.
func (f *simFleet) send(req *simRequest) {
	f.schedule(f.randomUpTo(300*time.Millisecond), func() {
		if req.entry.stopped {
			return
		}
		if req.entry.refuses(req) {
			if !req.deadly {
				f.harmlessRefused++
			}
			if req.sharing != nil {
				req.sharing.refused = true
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
		if req.deadly {
			f.recordDeadlySend(req)
			f.schedule(deadlyRunTime, func() { f.endEndpoint(endpoint, true) })
			return
		}
		f.schedule(partialAnswerTime, func() { f.surviveParts(endpoint, req) })
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

// surviveParts records that an endpoint kept running with a request, if it is still in progress there.
func (f *simFleet) surviveParts(endpoint *simEndpoint, req *simRequest) {
	if endpoint.down || req.entry.stopped || !slices.Contains(endpoint.running, req) {
		return
	}
	for _, part := range req.parts {
		if req.entry.ledger.PartSurvived(part) {
			f.publish(req.entry, Report{SurvivedParts: []Fingerprint{part}})
		}
	}
}

func (f *simFleet) recordDeadlySend(req *simRequest) {
	f.deadlySends++
	connected := f.now-req.entry.connectedSince > reconnectTimeout || req.entry.connectedSince == 0
	if f.knownAt > 0 && f.now > f.knownAt+reconnectTimeout && connected {
		f.lateSends++
	}
}

// endEndpoint ends an endpoint, reports the end and retries the requests in progress there.
func (f *simFleet) endEndpoint(endpoint *simEndpoint, deadly bool) {
	if endpoint.down {
		return
	}
	endpoint.down = true
	if deadly {
		f.deadlyEnds++
		f.lastDeadlyEnd = f.now
		if f.deadlyEnds == f.knownEnds {
			f.knownAt = f.now
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
			report.Parts = append(report.Parts, req.parts...)
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

// retry sends a failed request to another endpoint, or lets its caller call again.
func (f *simFleet) retry(req *simRequest) {
	if req.attempts < maxAttempts {
		f.send(req)
	} else if req.callerRetries > 0 {
		f.schedule(100*time.Millisecond, func() {
			again := *req
			again.callerRetries--
			f.submitRequest(again)
		})
	}
}

// publish writes a report to the store, which delivers it to all entries.
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

// deliver passes a report to an entry's ledger once the entry is connected.
func (f *simFleet) deliver(entry *simEntry, report Report) {
	f.schedule(f.randomUpTo(maxPropagationDelay)+max(0, entry.disconnectedUntil-f.now), func() {
		if entry.disconnectedUntil > f.now {
			f.deliver(entry, report)
			return
		}
		entry.ledger.Observe(report)
	})
}

// every calls do repeatedly at random intervals.
func (f *simFleet) every(mean time.Duration, do func()) {
	f.schedule(f.randomUpTo(2*mean), func() {
		do()
		f.every(mean, do)
	})
}

// Guards against the failure of the entry's TestRequestThatEndsEndpointsIsStopped at any fleet
// size: a deadly request keeps ending endpoints. It is sent to random entries, seldom or tens of
// times a second, while other requests are in progress at each endpoint; some endpoints end for
// other reasons, and entries are disconnected for seconds, killed and replaced.
func TestDeadlyRequestIsHeldEverywhere(t *testing.T) {
	for _, size := range []struct {
		entries, endpoints, load int
		every                    time.Duration // mean interval between two calls of the deadly request
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

// scheduleLoadAndFaults schedules the harmless requests, other ends, and faults of entries.
func (f *simFleet) scheduleLoadAndFaults(load int) {
	f.every(time.Second/time.Duration(load), func() {
		f.harmlessRequests++
		f.submit(NewFingerprint("c", "POST", "h", fmt.Sprintf("/%d", f.harmlessRequests), nil), 1)
	})
	// One harmless request is so frequent that it is in progress at most ends.
	f.every(50*time.Millisecond, func() {
		f.harmlessRequests++
		f.submit(NewFingerprint("c", "GET", "h", "/status", nil), 1)
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
		t.Fatalf("got %d ends under the deadly request, want enough to hold it", f.deadlyEnds)
	}
	if f.lateSends > 3 {
		t.Errorf("got %d sends by connected entries later than %v after %d ends, want 3 at most", f.lateSends, reconnectTimeout, f.knownEnds)
	}
	if f.harmlessRefused > f.harmlessRequests/1000 {
		t.Errorf("got %d of %d harmless requests refused, want 1 in 1000 at most", f.harmlessRefused, f.harmlessRequests)
	}
	t.Logf("deadly: %d sends, %d ends, %d late sends; harmless: %d requests, %d refused; %d other ends, %d writes, %d at most for one end",
		f.deadlySends, f.deadlyEnds, f.lateSends, f.harmlessRequests, f.harmlessRefused, f.otherEnds, f.storeWrites, f.maxWritesPerEnd)
}

package quarantine

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/failure"
)

const (
	// endsAllowed is the ends of endpoints after which a request that was begun shortly before
	// each is held. Requests that broke together are often sent elsewhere together, so that two
	// ends may have a harmless request in common.
	endsAllowed = 3
	// suspectWeight and runningWeight are what an end weighs under a request that was begun
	// shortly before, and under one that had been answered in part; one is held from
	// heldWeight on.
	suspectWeight = 2
	runningWeight = 1
	heldWeight    = endsAllowed * suspectWeight
	// suspectedWeight is what is one end short of that.
	suspectedWeight = heldWeight - suspectWeight
	// goodTime is for how long after a good answer ends do not count against a request: one that
	// comes often is in progress wherever anything ends. It is longer than reports of earlier
	// ends take to arrive.
	goodTime = 10 * time.Second
	// HoldTime is how long an end is remembered, and so for how long a request is held after the
	// last one: the longest lease of the platform's store.
	HoldTime = 10 * time.Minute
	// lookedEnds is how many of a request's newest ends decide whether it is held, which bounds
	// the work of each arrival.
	lookedEnds = 4 * endsAllowed
)

var errLength = failure.New(failure.Invalid, "the fingerprint has the wrong length", "write 32 hexadecimal digits")

// Ledger knows under which requests endpoints ended, by what this entry saw and others reported.
// It counts distinct ends, so that what is reported twice, late or in any order counts once, and
// nobody has to agree with anybody. It is safe for concurrent use.
type Ledger struct {
	clock func() time.Time
	start time.Time // a little before the first moment

	mu    sync.RWMutex
	known map[Fingerprint]*record
	ended map[End]*ending
	// queue is in the order of report; a pair that was reported again stands several times.
	queue []queued
	pairs int
	// ranks has the requests by what is forgotten first where there is no room: by what weighs
	// on them, so that one end is forgotten before two, and those that are held last. Each list
	// is in the order of report.
	ranks [heldRank + 1]list.List
	// pairsOf is the pairs of the requests of each rank.
	pairsOf   [heldRank + 1]int
	forgotten int // held ones that were forgotten for want of room
	// maybeHeld is called after a report by which one more request may be held, notifyForgotten
	// with each held one that is forgotten for want of room.
	maybeHeld       func()
	notifyForgotten func(Fingerprint)
}

// NewLedger returns a Ledger that knows of no end.
func NewLedger(clock func() time.Time) *Ledger {
	return &Ledger{
		clock: clock, start: clock().Add(-1), known: map[Fingerprint]*record{}, ended: map[End]*ending{},
		maybeHeld: func() {}, notifyForgotten: func(Fingerprint) {},
	}
}

// now returns the present moment.
func (l *Ledger) now() moment { return moment(l.clock().Sub(l.start)) }

// Observe takes over a report of this entry or of another one.
func (l *Ledger) Observe(report Report) {
	maybeHeld, forgotten := l.take(report)
	for _, print := range forgotten {
		l.notifyForgotten(print)
	}
	if maybeHeld {
		l.maybeHeld()
	}
}

// take does what Observe does, and returns whether another request may be held now, and the held ones for which
// there was no room.
func (l *Ledger) take(report Report) (held bool, forgotten []Fingerprint) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, print := range report.Served {
		if rec := l.known[print]; rec != nil {
			rec.acquit(now)
			rec.reported = now
			l.sort(rec)
		}
	}
	for _, print := range report.Suspects {
		held = l.note(now, print, report.End, suspectWeight) || held
	}
	for _, print := range report.Running {
		held = l.note(now, print, report.End, runningWeight) || held
	}
	l.forgetOld(now)
	return held, l.makeRoom()
}

// note takes in what an end weighs on a request, and reports whether it may be held now; l.mu
// is held.
func (l *Ledger) note(now moment, print Fingerprint, end End, weight int8) bool {
	rec := l.known[print]
	if rec == nil {
		rec = &record{print: print}
		rec.place = l.ranks[0].PushBack(rec)
		l.known[print] = rec
	}
	at := l.ended[end]
	if at == nil {
		at = &ending{end: end}
		l.ended[end] = at
	}
	one := at.of(rec)
	if one == nil {
		one = &pair{rec: rec, ending: at, learned: now, counts: !rec.good.servedBefore(now)}
		rec.pairs = append(rec.pairs, one)
		at.pairs = append(at.pairs, one)
		l.pairs++
		l.pairsOf[rec.rank]++
	}
	if weight > one.weight {
		if one.counts {
			rec.weight += int(weight - one.weight)
		}
		one.weight = weight
	}
	one.reported, rec.newest = now, now
	l.queue = append(l.queue, queued{one, now})
	l.sort(rec)
	l.ranks[rec.rank].MoveToBack(rec.place)
	return rec.weight >= heldWeight
}

// Held reports whether a request is sent to no endpoint, and until when if it does not come
// again before.
func (l *Ledger) Held(print Fingerprint) (until time.Time, held bool) {
	l.expire(l.now())
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.known[print]
	if rec == nil || !l.holds(rec) {
		return time.Time{}, false
	}
	return l.start.Add(time.Duration(rec.newest)).Add(HoldTime), true
}

// expire drops what was reported too long ago.
func (l *Ledger) expire(now moment) {
	l.mu.RLock()
	expired := len(l.queue) > 0 && !l.queue[0].at.before(now, HoldTime)
	l.mu.RUnlock()
	if !expired {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetOld(now)
}

// holds reports whether a request is held; l.mu is held for reading.
func (l *Ledger) holds(rec *record) bool {
	if rec.weight < heldWeight {
		return false
	}
	left, _ := l.unexplained(rec)
	return left >= heldWeight
}

// unexplained returns what weighs on a request of its newest ends that did not also happen under
// another one on which more weighs: where they did it only ran beside that one. One that is to
// blame is explained by no other for long, since it comes alone sooner or later. It looks no
// further than is needed to hold the request, and returns at how many requests it looked. l.mu is
// held for reading.
func (l *Ledger) unexplained(rec *record) (left, looked int) {
	ends := 0
	for _, one := range slices.Backward(rec.pairs) {
		if !one.counts || ends == lookedEnds || left >= heldWeight {
			break
		}
		ends++
		looked += len(one.ending.pairs)
		if !slices.ContainsFunc(one.ending.pairs, func(other *pair) bool { return other.rec.weight > rec.weight }) {
			left += int(one.weight)
		}
	}
	return left, looked
}

// Renew returns what to report again so that a held request that still comes stays held,
// also at entries that start later; nothing while the last report is new enough.
func (l *Ledger) Renew(print Fingerprint) []Report {
	now := l.now()
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.known[print]
	if rec == nil || rec.newest.before(now, HoldTime/2) {
		return nil
	}
	var reports []Report
	for _, one := range rec.pairs[max(0, len(rec.pairs)-lookedEnds):] {
		report := Report{End: one.ending.end, Suspects: []Fingerprint{print}}
		if one.weight == runningWeight {
			report.Suspects, report.Running = nil, report.Suspects
		}
		reports = append(reports, report)
	}
	return reports
}

// Suspected reports whether so much weighs on a request that one more end holds it.
func (l *Ledger) Suspected(print Fingerprint) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.known[print]
	return rec != nil && rec.weight >= suspectedWeight
}

// Served notes that an endpoint ran a request to a good end, and reports whether the other
// entries have to learn of it: one further end would hold the request at an entry that knows
// only what was reported to all.
func (l *Ledger) Served(print Fingerprint) (report bool) {
	l.mu.RLock()
	known := l.known[print] != nil
	l.mu.RUnlock()
	if !known {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.known[print]
	if rec == nil {
		return false
	}
	now := l.now()
	rec.acquit(now)
	l.sort(rec)
	if !rec.suspectedSince(rec.reported) {
		return false
	}
	rec.reported = now
	return true
}

// Notify lets the function be called whenever another request may be held, without a lock. It
// is called before anything is observed.
func (l *Ledger) Notify(maybeHeld func()) { l.maybeHeld = maybeHeld }

// NotifyForgotten lets the function be called with each held request that is forgotten because
// there is no room, without a lock. It is called before anything is observed.
func (l *Ledger) NotifyForgotten(notify func(Fingerprint)) { l.notifyForgotten = notify }

// Forgotten returns how many held requests were forgotten because there was no room.
func (l *Ledger) Forgotten() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.forgotten
}

// Size returns the requests and the ends that are remembered.
func (l *Ledger) Size() (requests, ends int) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.known), len(l.ended)
}

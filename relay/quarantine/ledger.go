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
	endsToHold = 3
	// suspectWeight and runningWeight are what an end weighs under a request that was begun
	// shortly before, and under one that had been answered in part; one is held from
	// heldWeight on.
	suspectScore = 2
	runningScore = 1
	heldScore    = endsToHold * suspectScore
	// suspectedWeight is what is one end short of that.
	suspectedScore = heldScore - suspectScore
	// goodTime is for how long after a good answer ends do not count against a request: one that
	// comes often is in progress wherever anything ends. It is longer than reports of earlier
	// ends take to arrive.
	servedGrace = 10 * time.Second
	// HoldTime is how long an end is remembered, and so for how long a request is held after the
	// last one: the longest lease of the platform's store.
	HoldTime = 10 * time.Minute
	// lookedEnds is how many of a request's newest ends decide whether it is held, which bounds
	// the work of each arrival.
	maxScoredEnds = 4 * endsToHold
)

var errFingerprintLength = failure.New(failure.Invalid, "the fingerprint has the wrong length", "write 32 hexadecimal digits")

// Ledger knows under which requests endpoints ended, by what this entry saw and others reported.
// It counts distinct ends, so that what is reported twice, late or in any order counts once, and
// nobody has to agree with anybody. It is safe for concurrent use.
type Ledger struct {
	clock func() time.Time
	start time.Time // a little before the first moment

	mu       sync.RWMutex
	requests map[Fingerprint]*requestRecord
	ends     map[End]*endRecord
	// queue is in the order of report; a pair that was reported again stands several times.
	queue            []queueEntry
	observationCount int
	// ranks has the requests by what is forgotten first where there is no room: by what weighs
	// on them, so that one end is forgotten before two, and those that are held last. Each list
	// is in the order of report.
	ranks [heldRank + 1]list.List
	// pairsOf is the pairs of the requests of each rank.
	observationsByRank [heldRank + 1]int
	forgotten          int // held ones that were forgotten for want of room
	// maybeHeld is called after a report by which one more request may be held, notifyForgotten
	// with each held one that is forgotten for want of room.
	onMaybeHeld func()
	onForgotten func(Fingerprint)
}

// NewLedger returns a Ledger that knows of no end.
func NewLedger(clock func() time.Time) *Ledger {
	return &Ledger{
		clock: clock, start: clock().Add(-1), requests: map[Fingerprint]*requestRecord{}, ends: map[End]*endRecord{},
		onMaybeHeld: func() {}, onForgotten: func(Fingerprint) {},
	}
}

// now returns the present moment.
func (l *Ledger) now() timestamp { return timestamp(l.clock().Sub(l.start)) }

// Observe takes over a report of this entry or of another one.
func (l *Ledger) Observe(report Report) {
	maybeHeld, forgotten := l.apply(report)
	for _, fp := range forgotten {
		l.onForgotten(fp)
	}
	if maybeHeld {
		l.onMaybeHeld()
	}
}

// take does what Observe does, and returns whether another request may be held now, and the held ones for which
// there was no room.
func (l *Ledger) apply(report Report) (maybeHeld bool, forgotten []Fingerprint) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fp := range report.Served {
		if rec := l.requests[fp]; rec != nil {
			rec.markServed(now)
			rec.servedReported = now
			l.updateRank(rec)
		}
	}
	for _, fp := range report.Suspects {
		maybeHeld = l.addObservation(now, fp, report.End, suspectScore) || maybeHeld
	}
	for _, fp := range report.Running {
		maybeHeld = l.addObservation(now, fp, report.End, runningScore) || maybeHeld
	}
	l.dropExpired(now)
	return maybeHeld, l.evict()
}

// note takes in what an end weighs on a request, and reports whether it may be held now; l.mu
// is held.
func (l *Ledger) addObservation(now timestamp, fp Fingerprint, end End, score int8) bool {
	rec := l.requests[fp]
	if rec == nil {
		rec = &requestRecord{fingerprint: fp}
		rec.rankElement = l.ranks[0].PushBack(rec)
		l.requests[fp] = rec
	}
	endRec := l.ends[end]
	if endRec == nil {
		endRec = &endRecord{id: end}
		l.ends[end] = endRec
	}
	obs := endRec.find(rec)
	if obs == nil {
		obs = &observation{rec: rec, end: endRec, firstReported: now, counts: !rec.lastServed.discounts(now)}
		rec.observations = append(rec.observations, obs)
		endRec.observations = append(endRec.observations, obs)
		l.observationCount++
		l.observationsByRank[rec.rank]++
	}
	if score > obs.score {
		if obs.counts {
			rec.score += int(score - obs.score)
		}
		obs.score = score
	}
	obs.lastReported, rec.lastReported = now, now
	l.queue = append(l.queue, queueEntry{obs, now})
	l.updateRank(rec)
	l.ranks[rec.rank].MoveToBack(rec.rankElement)
	return rec.score >= heldScore
}

// Held reports whether a request is sent to no endpoint, and until when if it does not come
// again before.
func (l *Ledger) Held(fp Fingerprint) (until time.Time, held bool) {
	l.expire(l.now())
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.requests[fp]
	if rec == nil || !l.isHeld(rec) {
		return time.Time{}, false
	}
	return l.start.Add(time.Duration(rec.lastReported)).Add(HoldTime), true
}

// expire drops what was reported too long ago.
func (l *Ledger) expire(now timestamp) {
	l.mu.RLock()
	expired := len(l.queue) > 0 && !l.queue[0].at.isRecent(now, HoldTime)
	l.mu.RUnlock()
	if !expired {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
}

// holds reports whether a request is held; l.mu is held for reading.
func (l *Ledger) isHeld(rec *requestRecord) bool {
	if rec.score < heldScore {
		return false
	}
	score, _ := l.unexplainedScore(rec)
	return score >= heldScore
}

// unexplained returns what weighs on a request of its newest ends that did not also happen under
// another one on which more weighs: where they did it only ran beside that one. One that is to
// blame is explained by no other for long, since it comes alone sooner or later. It looks no
// further than is needed to hold the request, and returns at how many requests it looked. l.mu is
// held for reading.
func (l *Ledger) unexplainedScore(rec *requestRecord) (score, examined int) {
	ends := 0
	for _, obs := range slices.Backward(rec.observations) {
		if !obs.counts || ends == maxScoredEnds || score >= heldScore {
			break
		}
		ends++
		examined += len(obs.end.observations)
		if !slices.ContainsFunc(obs.end.observations, func(other *observation) bool { return other.rec.score > rec.score }) {
			score += int(obs.score)
		}
	}
	return score, examined
}

// Renew returns what to report again so that a held request that still comes stays held,
// also at entries that start later; nothing while the last report is new enough.
func (l *Ledger) Renew(fp Fingerprint) []Report {
	now := l.now()
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.requests[fp]
	if rec == nil || rec.lastReported.isRecent(now, HoldTime/2) {
		return nil
	}
	var reports []Report
	for _, obs := range rec.observations[max(0, len(rec.observations)-maxScoredEnds):] {
		report := Report{End: obs.end.id, Suspects: []Fingerprint{fp}}
		if obs.score == runningScore {
			report.Suspects, report.Running = nil, report.Suspects
		}
		reports = append(reports, report)
	}
	return reports
}

// Suspected reports whether so much weighs on a request that one more end holds it.
func (l *Ledger) Suspected(fp Fingerprint) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.requests[fp]
	return rec != nil && rec.score >= suspectedScore
}

// Served notes that an endpoint ran a request to a good end, and reports whether the other
// entries have to learn of it: one further end would hold the request at an entry that knows
// only what was reported to all.
func (l *Ledger) Served(fp Fingerprint) (report bool) {
	l.mu.RLock()
	known := l.requests[fp] != nil
	l.mu.RUnlock()
	if !known {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.requests[fp]
	if rec == nil {
		return false
	}
	now := l.now()
	rec.markServed(now)
	l.updateRank(rec)
	if !rec.suspectedIfLastServed(rec.servedReported) {
		return false
	}
	rec.servedReported = now
	return true
}

// Notify lets the function be called whenever another request may be held, without a lock. It
// is called before anything is observed.
func (l *Ledger) Notify(maybeHeld func()) { l.onMaybeHeld = maybeHeld }

// NotifyForgotten lets the function be called with each held request that is forgotten because
// there is no room, without a lock. It is called before anything is observed.
func (l *Ledger) NotifyForgotten(notify func(Fingerprint)) { l.onForgotten = notify }

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
	return len(l.requests), len(l.ends)
}

package quarantine

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/failure"
)

const (
	// endsToHold is the number of ends after which a request that was started shortly before
	// each of them is held. Requests that failed together are often retried at the same
	// endpoint, so two ends may have a harmless request in common.
	endsToHold = 3
	// suspectScore is what an end adds to the score of a request that was started shortly
	// before, runningScore what it adds for one that had been partly answered. A request can be
	// held from heldScore on.
	suspectScore = 2
	runningScore = 1
	heldScore    = endsToHold * suspectScore
	// suspectedScore is the score from which one more end reaches heldScore.
	suspectedScore = heldScore - suspectScore
	// servedGrace is the time after a successful answer during which ends do not count against
	// a request: a frequent request is in progress at any endpoint that ends. It is longer than
	// reports of earlier ends take to arrive.
	servedGrace = 10 * time.Second
	// HoldTime is how long an end is remembered after it was last reported, and so how long a
	// request stays held. It is the longest lease of the platform's store.
	HoldTime = 10 * time.Minute
	// maxScoredEnds is how many of a request's latest ends decide whether it is held. It limits
	// the work for each arriving request.
	maxScoredEnds = 4 * endsToHold
)

var errFingerprintLength = failure.New(failure.Invalid, "the fingerprint has the wrong length", "send 32 hexadecimal digits")

// Ledger records which requests were in progress when endpoints ended, as seen by this entry and
// reported by others. It counts distinct ends, so a report that arrives twice, late or in another
// order does not change the result, and entries need no consensus. It is safe for concurrent use.
type Ledger struct {
	clock func() time.Time
	start time.Time // zero of timestamps: 1 ns before creation, so that the first timestamp is not 0

	mu       sync.RWMutex
	requests map[Fingerprint]*requestRecord
	ends     map[End]*endRecord
	// queue orders observations by report time, for expiry. An observation that was reported again is
	// queued several times.
	queue            []queueEntry
	observationCount int
	// ranks groups the requests by score for eviction: requests with one end are evicted before
	// those with two, and held ones last. Each list is ordered by report time, oldest first.
	ranks [heldRank + 1]list.List
	// observationsByRank counts the observations of the requests of each rank.
	observationsByRank [heldRank + 1]int
	forgotten          int // number of held requests that were evicted
	// onMaybeHeld is called after a report that may have caused a further request to be held,
	// onForgotten with each held request that was evicted.
	onMaybeHeld func()
	onForgotten func(Fingerprint)
}

// NewLedger returns an empty Ledger.
func NewLedger(clock func() time.Time) *Ledger {
	return &Ledger{
		clock: clock, start: clock().Add(-1), requests: map[Fingerprint]*requestRecord{}, ends: map[End]*endRecord{},
		onMaybeHeld: func() {}, onForgotten: func(Fingerprint) {},
	}
}

// now returns the current timestamp.
func (l *Ledger) now() timestamp { return timestamp(l.clock().Sub(l.start)) }

// Observe applies a report of this entry or of another one, and calls the notification functions
// where they apply.
func (l *Ledger) Observe(report Report) {
	maybeHeld, forgotten := l.apply(report)
	for _, fp := range forgotten {
		l.onForgotten(fp)
	}
	if maybeHeld {
		l.onMaybeHeld()
	}
}

// apply updates the records by a report. It returns whether a further request may be held now, and
// the held requests that were evicted.
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

// addObservation records that a request was in progress at an end, and reports whether the request
// may be held now. l.mu must be locked.
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

// Held reports whether a request is held, and until when if nothing further is reported of it.
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

// expire removes the observations that were last reported HoldTime ago or earlier.
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

// isHeld reports whether a request is held. l.mu must be locked, for reading at least.
func (l *Ledger) isHeld(rec *requestRecord) bool {
	if rec.score < heldScore {
		return false
	}
	score, _ := l.unexplainedScore(rec)
	return score >= heldScore
}

// unexplainedScore returns the score of a request from its latest ends, without those at which
// another request with a higher score was in progress: that request explains the end, and this one
// may only have run beside it. A request that does cause ends is not explained by another one for
// long, since sooner or later an endpoint ends under it alone. The scan stops once the score is
// enough to hold the request; examined is the number of observations that it covered. l.mu must be
// locked, for reading at least.
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

// Renew returns the reports to repeat so that a held request that is still being sent stays held,
// also at entries that start later. It returns none if the last report is less than half of
// HoldTime old.
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

// Suspected reports whether one more end may cause the request to be held.
func (l *Ledger) Suspected(fp Fingerprint) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.requests[fp]
	return rec != nil && rec.score >= suspectedScore
}

// Served records that an endpoint answered a request successfully. It reports whether the other
// entries must be informed: an entry that knows only what was reported to all might hold the request
// after one more end.
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

// NotifyMaybeHeld sets the function that is called, with no lock held, whenever a further request may be
// held. Notify must be called before the first Observe.
func (l *Ledger) NotifyMaybeHeld(maybeHeld func()) { l.onMaybeHeld = maybeHeld }

// NotifyForgotten sets the function that is called, with no lock held, with each held request that
// is evicted because there is no room. NotifyForgotten must be called before the first Observe.
func (l *Ledger) NotifyForgotten(notify func(Fingerprint)) { l.onForgotten = notify }

// Forgotten returns the number of held requests that were evicted because there was no room.
func (l *Ledger) Forgotten() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.forgotten
}

// Size returns the number of requests and of ends that are remembered.
func (l *Ledger) Size() (requests, ends int) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.requests), len(l.ends)
}

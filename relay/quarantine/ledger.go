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
	// heldPartScore is the score from which a part of prompts can be held. It takes one end more than
	// a request, since requests with a common part run at several endpoints at once.
	heldPartScore = (endsToHold + 1) * suspectScore
	// heldProvenPartScore is that score for a part with which endpoints have kept running before.
	heldProvenPartScore = 2 * endsToHold * suspectScore
	// survivedGrace is the time after an endpoint kept running with a part during which ends do not
	// count against the part. Reports of ends before that usually arrive within it, and a part that
	// begins to crash endpoints is held soon after it.
	survivedGrace = 3 * time.Second
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

// Ledger records which requests, and which parts of their prompts, were in progress when endpoints
// ended, as seen by this entry and reported by others. It counts distinct ends, so a report that
// arrives twice, late or in another order does not change the result, and entries need no consensus.
// It is safe for concurrent use.
type Ledger struct {
	clock func() time.Time
	start time.Time // zero of timestamps: 1 ns before creation, so that the first timestamp is not 0

	mu        sync.RWMutex
	subjects  map[Fingerprint]*subject
	ends      map[End]*endRecord
	survivors survivors
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
	// onMaybeHeld is called after a report that may have caused a further request or part to be
	// held, onProven with parts with which endpoints kept running and that other entries may hold,
	// onForgotten with each held request or part that was evicted.
	onMaybeHeld func()
	onProven    func([]Fingerprint)
	onForgotten func(Fingerprint)
}

// NewLedger returns an empty Ledger.
func NewLedger(clock func() time.Time) *Ledger {
	return &Ledger{
		clock: clock, start: clock().Add(-1), subjects: map[Fingerprint]*subject{}, ends: map[End]*endRecord{},
		onMaybeHeld: func() {}, onProven: func([]Fingerprint) {}, onForgotten: func(Fingerprint) {},
	}
}

// now returns the current timestamp.
func (l *Ledger) now() timestamp { return timestamp(l.clock().Sub(l.start)) }

// Observe applies a report of this entry or of another one, and calls the notification functions
// where they apply.
func (l *Ledger) Observe(report Report) {
	maybeHeld, proven, forgotten := l.apply(report)
	if len(proven) > 0 {
		l.onProven(proven)
	}
	for _, fp := range forgotten {
		l.onForgotten(fp)
	}
	if maybeHeld {
		l.onMaybeHeld()
	}
}

// apply updates the records by a report. It returns whether a further request or part may be held
// now, the parts with which endpoints kept running though other entries may hold them after one more
// end, and the held subjects that were evicted.
func (l *Ledger) apply(report Report) (maybeHeld bool, proven, forgotten []Fingerprint) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fp := range report.Served {
		if rec := l.subjects[fp]; rec != nil {
			rec.markServed(now)
			rec.servedReported = now
			l.updateRank(rec)
		}
	}
	for _, fp := range report.ProvenParts {
		maybeHeld = l.applySurvival(fp, survival{reported: true}) || maybeHeld
	}
	for _, fp := range report.SurvivedParts {
		maybeHeld = l.applySurvival(fp, survival{at: now, reported: true}) || maybeHeld
	}
	for _, fp := range report.Suspects {
		maybeHeld = l.addObservation(now, l.subject(fp, false), report.End, suspectScore) || maybeHeld
	}
	for _, fp := range report.Running {
		maybeHeld = l.addObservation(now, l.subject(fp, false), report.End, runningScore) || maybeHeld
	}
	for _, fp := range report.Parts {
		part := l.subject(fp, true)
		maybeHeld = l.addObservation(now, part, report.End, suspectScore) || maybeHeld
		if part.proven && !part.provenReported && part.suspectedByOthers() {
			part.provenReported = true
			proven = append(proven, fp)
		}
	}
	l.dropExpired(now)
	return maybeHeld, proven, l.evict()
}

// applySurvival applies a report that an endpoint kept running with a part. It returns whether
// something may be held now whose ends the part explained before. l.mu must be locked.
func (l *Ledger) applySurvival(fp Fingerprint, reported survival) (maybeHeld bool) {
	l.survivors.update(fp, reported)
	part := l.subjects[fp]
	if part == nil {
		return false
	}
	part.proven, part.provenReported = true, true
	if reported.at > 0 {
		part.markServed(reported.at)
		part.servedReported = reported.at
		l.updateRank(part)
	}
	return true
}

// subject returns the record of a request or a part, which is added if it is missing. l.mu must be
// locked.
func (l *Ledger) subject(fp Fingerprint, isPart bool) *subject {
	rec := l.subjects[fp]
	if rec == nil {
		rec = &subject{fingerprint: fp, isPart: isPart}
		if isPart {
			known, ok := l.survivors.find(fp)
			rec.lastServed, rec.proven, rec.provenReported = known.at, ok, known.reported
		}
		rec.rankElement = l.ranks[0].PushBack(rec)
		l.subjects[fp] = rec
	}
	return rec
}

// addObservation records that a request or a part was in progress at an end, and reports whether it
// may be held now. l.mu must be locked.
func (l *Ledger) addObservation(now timestamp, rec *subject, end End, score int8) bool {
	endRec := l.ends[end]
	if endRec == nil {
		endRec = &endRecord{id: end}
		l.ends[end] = endRec
	}
	obs := endRec.find(rec)
	if obs == nil {
		obs = &observation{rec: rec, end: endRec, firstReported: now, counts: !rec.discounts(rec.lastServed, now)}
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
	return rec.score >= rec.heldScore(rec.proven)
}

// Held reports whether a request or a part is held, and until when if nothing further is reported of
// it.
func (l *Ledger) Held(fp Fingerprint) (until time.Time, held bool) {
	l.expire(l.now())
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.subjects[fp]
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
func (l *Ledger) isHeld(rec *subject) bool {
	limit := rec.heldScore(rec.proven)
	if rec.score < limit {
		return false
	}
	score, _ := l.unexplainedScore(rec)
	return score >= limit
}

// unexplainedScore returns the score of a request or a part from its latest ends, without those that
// another one explains: this one may only have run beside it. A request that does cause ends is not
// explained by another one for long, since sooner or later an endpoint ends under it alone. The scan
// stops once the score is enough to hold rec; examined is the number of observations that it covered.
// l.mu must be locked, for reading at least.
func (l *Ledger) unexplainedScore(rec *subject) (score, examined int) {
	ends, limit := 0, rec.heldScore(rec.proven)
	for _, obs := range slices.Backward(rec.observations) {
		if !obs.counts || ends == maxScoredEnds || score >= limit {
			break
		}
		ends++
		examined += len(obs.end.observations)
		if !slices.ContainsFunc(obs.end.observations, func(other *observation) bool { return other.rec.explains(rec) }) {
			score += int(obs.score)
		}
	}
	return score, examined
}

// Renew returns the reports to repeat so that a held request or part that is still being sent stays
// held, also at entries that start later. It returns none if the last report is less than half of
// HoldTime old.
func (l *Ledger) Renew(fp Fingerprint) []Report {
	now := l.now()
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.subjects[fp]
	if rec == nil || rec.lastReported.isRecent(now, HoldTime/2) {
		return nil
	}
	var reports []Report
	for _, obs := range rec.observations[max(0, len(rec.observations)-maxScoredEnds):] {
		report := Report{End: obs.end.id}
		switch {
		case rec.isPart:
			report.Parts = []Fingerprint{fp}
		case obs.score == runningScore:
			report.Running = []Fingerprint{fp}
		default:
			report.Suspects = []Fingerprint{fp}
		}
		reports = append(reports, report)
	}
	return reports
}

// Suspected reports whether one more end may cause the request or the part to be held.
func (l *Ledger) Suspected(fp Fingerprint) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.subjects[fp]
	return rec != nil && rec.score >= rec.heldScore(rec.proven)-suspectScore
}

// Served records that an endpoint answered a request successfully. It reports whether the other
// entries must be informed: an entry that knows only what was reported to all might hold the request
// after one more end.
func (l *Ledger) Served(fp Fingerprint) (report bool) {
	l.mu.RLock()
	known := l.subjects[fp] != nil
	l.mu.RUnlock()
	if !known {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recordServed(fp, l.now())
}

// PartSurvived records that an endpoint kept running with a part of a prompt. It reports whether the
// other entries must be informed, for the same reason as Served.
func (l *Ledger) PartSurvived(fp Fingerprint) (report bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.survivors.update(fp, survival{at: now})
	return l.recordServed(fp, now)
}

// recordServed implements Served and PartSurvived. l.mu must be locked.
func (l *Ledger) recordServed(fp Fingerprint, now timestamp) (report bool) {
	rec := l.subjects[fp]
	if rec == nil {
		return false
	}
	rec.markServed(now)
	l.updateRank(rec)
	if !rec.suspectedByOthers() {
		return false
	}
	rec.servedReported, rec.provenReported = now, true
	return true
}

// NotifyMaybeHeld sets the function that is called, with no lock held, whenever a further request may be
// held. Notify must be called before the first Observe.
func (l *Ledger) NotifyMaybeHeld(maybeHeld func()) { l.onMaybeHeld = maybeHeld }

// NotifyProven sets the function that is called, with no lock held, with parts with which endpoints
// kept running, once other entries may hold them after one more end: those must be informed.
// NotifyProven must be called before the first Observe.
func (l *Ledger) NotifyProven(notify func([]Fingerprint)) { l.onProven = notify }

// NotifyForgotten sets the function that is called, with no lock held, with each held request that
// is evicted because there is no room. NotifyForgotten must be called before the first Observe.
func (l *Ledger) NotifyForgotten(notify func(Fingerprint)) { l.onForgotten = notify }

// Forgotten returns the number of held requests that were evicted because there was no room.
func (l *Ledger) Forgotten() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.forgotten
}

// Size returns the number of requests and parts, and of ends, that are remembered.
func (l *Ledger) Size() (subjects, ends int) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.subjects), len(l.ends)
}

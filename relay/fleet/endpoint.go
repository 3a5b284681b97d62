package fleet

import (
	"time"

	"comfreyrelay.example/relay/deal"
)

const (
	// feedStale is the age at which an agent's report is no longer taken: it
	// sends at least four times as often.
	reportMaxAge = 900 * time.Millisecond
	// sampleDelay is how much older a state is than its arrival: the engine's
	// answer to its agent, the way between failure domains, and the two
	// processes' turns at their processors.
	sampleDelay = 6 * time.Millisecond
	// lateReport is the delay of an agent's report beyond which its host counts as behind a
	// narrow link: answers take the same way and would be late.
	lateReportDelay = 200 * time.Millisecond
	// loadStale is the age at which what an endpoint sent with an answer is no
	// longer taken.
	loadMaxAge = time.Second
	// firstEjection is the pause after a first failure to connect or a
	// silence; it doubles with each in a row up to maxEjection.
	firstEjection = 250 * time.Millisecond
	maxEjection   = 4 * time.Second
	// fullPause is the pause after a refusal. It doubles up to maxFullPause with each in a row by
	// an endpoint that had room by its agent's report, which is then no reason to send there.
	refusalPause    = 40 * time.Millisecond
	maxRefusalPause = time.Second
	// movedPause is the pause after another endpoint answered at the address:
	// the registration ends soon.
	movedPause = 2 * time.Second
	// errorWeight is the part of a new outcome in the rate of errors.
	errorWeight = 0.15
)

// endpoint is one incarnation of an endpoint; its group's lock guards it. All that it
// holds is of that incarnation: one that starts again under its id knows nothing of it.
type endpoint struct {
	reg       Registration
	removedAt time.Time // chosen no more from then on; zero: registered

	incarnations incarnationTracker
	superseded   bool // another incarnation began: what runs here is lost
	// otherAt is when the agent last reported an incarnation at this address that is
	// another endpoint's; zero: it reports this one.
	foreignReportAt time.Time

	state   EngineState
	stateAt time.Time // arrival of state; zero: none came
	// sent and ended are the moments of own requests sent and ended since the
	// state was sampled, which it does not count yet.
	sent, ended []time.Time

	running          map[*Grant]time.Time // own requests in progress, by when they were sent
	pendingPrefill   int                  // prompt tokens of own requests without a first event
	finalAttempts    int                  // own requests that no other endpoint may go on with
	reach            deal.Reach           // of this entry, once the engines were dealt
	rolloutPosition  float64              // its host's place in a rollout, from 0 to 1
	load             int                  // running and waiting as last sent with an answer
	loadAt           time.Time
	servedUnreported int       // own requests served in a row without a timely report of the agent
	failures         int       // to connect or to answer, in a row
	refusals         int       // in a row, with room by the agent's report
	ejectedUntil     time.Time // chosen no more until then
	errorRate        float64   // smoothed share of answers that were failures
	limit            rateLimit
	notice           notice
}

func newEndpoint(reg Registration, incarnations incarnationTracker) *endpoint {
	return &endpoint{reg: reg, incarnations: incarnations, running: map[*Grant]time.Time{}}
}

func (e *endpoint) incarnation() Incarnation {
	return Incarnation{ID: e.reg.ID, Born: e.incarnations.current}
}

// followed reports whether the agent's report is new enough.
func (e *endpoint) hasFreshReport(now time.Time) bool {
	return !e.stateAt.IsZero() && now.Sub(e.stateAt) < reportMaxAge
}

// timely reports whether the agent's newest report is recent and came in time.
func (e *endpoint) hasTimelyReport(now time.Time) bool {
	return e.hasFreshReport(now) && e.state.Delay < lateReportDelay
}

// trust returns the own requests that may be in progress at an engine whose agent sends no timely
// report: one from the entry that it is home to, and one more for each that it served. An engine
// behind a cut or a narrow link would otherwise look idle and be chosen before all others.
func (e *endpoint) maxUnreported() int {
	if e.reach != deal.Home {
		return 0
	}
	return 1 + e.servedUnreported
}

// noReport stands for the age of an agent's report where none came.
const noReport = -time.Millisecond

// stateAge returns the age of the agent's report.
func (e *endpoint) stateAge(now time.Time) time.Duration {
	if e.stateAt.IsZero() {
		return noReport
	}
	return now.Sub(e.stateAt)
}

// version returns the loaded version of a model; 0 where it is not loaded.
func (e *endpoint) version(now time.Time, model string) uint64 {
	if e.hasFreshReport(now) {
		return e.state.Loaded[model]
	}
	return e.reg.Loaded[model]
}

// leaves reports whether the endpoint leaves, as it registered or said in an answer.
func (e *endpoint) isLeaving() bool { return e.reg.Leaving || e.notice.leaving }

// barred reports whether the endpoint itself wants nothing new, or is gone.
func (e *endpoint) declinesNew(now time.Time) bool {
	return e.isLeaving() || e.notice.backingOff(now) || !e.removedAt.IsZero() && !now.Before(e.removedAt)
}

// here reports whether the endpoint is at its address, runs and stays, as far as known.
func (e *endpoint) available(now time.Time) bool {
	if !e.removedAt.IsZero() && !now.Before(e.removedAt) || !e.foreignReportAt.IsZero() && now.Sub(e.foreignReportAt) < reportMaxAge {
		return false
	}
	return !e.hasFreshReport(now) || e.state.Alive && !e.state.Leaving
}

// open reports whether the endpoint takes new requests, as far as known.
func (e *endpoint) acceptsNew(now time.Time) bool {
	if e.declinesNew(now) || now.Before(e.ejectedUntil) || !e.available(now) {
		return false
	}
	return !e.hasFreshReport(now) || !e.state.Busy
}

// occupancy returns the requests in progress and waiting there. The agent's
// count is taken where it is new; own requests since then are added.
func (e *endpoint) occupancy(now time.Time, entries int) int {
	own := len(e.running)
	if e.hasFreshReport(now) {
		return max(own, e.state.Running+e.state.Queued+len(e.sent)-len(e.ended))
	}
	if now.Sub(e.loadAt) < loadMaxAge {
		return max(own, e.load)
	}
	// Nothing is known of the other entries: each does as this one.
	return own * max(1, entries)
}

// unread returns the prompt tokens there that are not read yet, of all entries.
func (e *endpoint) totalPendingPrefill(now time.Time) int {
	if e.hasFreshReport(now) {
		return e.pendingPrefill + e.state.Reading
	}
	return e.pendingPrefill
}

func (e *endpoint) observe(now time.Time, state EngineState) {
	sampled := now.Add(-sampleDelay)
	e.sent = dropBefore(e.sent, sampled)
	e.ended = dropBefore(e.ended, sampled)
	e.state, e.stateAt = state, now
	if e.hasTimelyReport(now) {
		e.servedUnreported = 0
	}
}

// dropBefore removes the moments before the limit; times are in order.
func dropBefore(times []time.Time, limit time.Time) []time.Time {
	kept := 0
	for kept < len(times) && times[kept].Before(limit) {
		kept++
	}
	return append(times[:0], times[kept:]...)
}

// oldest returns how long the longest own request has been in progress.
func (e *endpoint) longestRunning(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, began := range e.running {
		longest = max(longest, now.Sub(began))
	}
	return longest
}

// refuse keeps new requests away after a refusal; hadRoom as for note.
func (e *endpoint) recordRefusal(now time.Time, hadFreeSlot bool) {
	e.ejectedUntil = now.Add(min(refusalPause<<min(e.refusals, 5), maxRefusalPause))
	if hadFreeSlot {
		e.refusals++
	}
}

// eject keeps new requests away for a while that doubles with each failure.
func (e *endpoint) eject(now time.Time) {
	pause := min(firstEjection<<min(e.failures, 5), maxEjection)
	e.failures++
	e.ejectedUntil = now.Add(pause)
}

package fleet

import (
	"time"

	"comfreyrelay.example/relay/deal"
)

const (
	// feedStale is the age at which an agent's report is no longer taken: it
	// sends at least four times as often.
	feedStale = 900 * time.Millisecond
	// sampleDelay is how much older a state is than its arrival: the engine's
	// answer to its agent, the way between failure domains, and the two
	// processes' turns at their processors.
	sampleDelay = 6 * time.Millisecond
	// lateReport is the delay of an agent's report beyond which its host counts as behind a
	// narrow link: answers take the same way and would be late.
	lateReport = 200 * time.Millisecond
	// loadStale is the age at which what an endpoint sent with an answer is no
	// longer taken.
	loadStale = time.Second
	// firstEjection is the pause after a first failure to connect or a
	// silence; it doubles with each in a row up to maxEjection.
	firstEjection = 250 * time.Millisecond
	maxEjection   = 4 * time.Second
	// fullPause is the pause after a refusal. It doubles up to maxFullPause with each in a row by
	// an endpoint that had room by its agent's report, which is then no reason to send there.
	fullPause    = 40 * time.Millisecond
	maxFullPause = time.Second
	// movedPause is the pause after another endpoint answered at the address:
	// the registration ends soon.
	movedPause = 2 * time.Second
	// errorWeight is the part of a new outcome in the rate of errors.
	errorWeight = 0.15
)

// endpoint is one incarnation of an endpoint; its group's lock guards it. All that it
// holds is of that incarnation: one that starts again under its id knows nothing of it.
type endpoint struct {
	reg  Registration
	gone time.Time // chosen no more from then on; zero: registered

	births births
	over   bool // another incarnation began: what runs here is lost
	// otherAt is when the agent last reported an incarnation at this address that is
	// another endpoint's; zero: it reports this one.
	otherAt time.Time

	state   EngineState
	stateAt time.Time // arrival of state; zero: none came
	// sent and ended are the moments of own requests sent and ended since the
	// state was sampled, which it does not count yet.
	sent, ended []time.Time

	running  map[*Grant]time.Time // own requests in progress, by when they were sent
	reading  int                  // prompt tokens of own requests without a first event
	last     int                  // own requests that no other endpoint may go on with
	reach    deal.Reach           // of this entry, once the engines were dealt
	turn     float64              // its host's place in a rollout, from 0 to 1
	load     int                  // running and waiting as last sent with an answer
	loadAt   time.Time
	proven   int       // own requests served in a row without a timely report of the agent
	failures int       // to connect or to answer, in a row
	refusals int       // in a row, with room by the agent's report
	ejected  time.Time // chosen no more until then
	errors   float64   // smoothed share of answers that were failures
	limit    rateLimit
	notice   notice
}

func newEndpoint(reg Registration, born births) *endpoint {
	return &endpoint{reg: reg, births: born, running: map[*Grant]time.Time{}}
}

func (e *endpoint) incarnation() Incarnation {
	return Incarnation{ID: e.reg.ID, Born: e.births.current}
}

// followed reports whether the agent's report is new enough.
func (e *endpoint) followed(now time.Time) bool {
	return !e.stateAt.IsZero() && now.Sub(e.stateAt) < feedStale
}

// timely reports whether the agent's newest report is recent and came in time.
func (e *endpoint) timely(now time.Time) bool {
	return e.followed(now) && e.state.Delay < lateReport
}

// trust returns the own requests that may be in progress at an engine whose agent sends no timely
// report: one from the entry that it is home to, and one more for each that it served. An engine
// behind a cut or a narrow link would otherwise look idle and be chosen before all others.
func (e *endpoint) trust() int {
	if e.reach != deal.Home {
		return 0
	}
	return 1 + e.proven
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
	if e.followed(now) {
		return e.state.Loaded[model]
	}
	return e.reg.Loaded[model]
}

// leaves reports whether the endpoint leaves, as it registered or said in an answer.
func (e *endpoint) leaves() bool { return e.reg.Leaving || e.notice.leaves }

// barred reports whether the endpoint itself wants nothing new, or is gone.
func (e *endpoint) barred(now time.Time) bool {
	return e.leaves() || e.notice.rests(now) || !e.gone.IsZero() && !now.Before(e.gone)
}

// here reports whether the endpoint is at its address, runs and stays, as far as known.
func (e *endpoint) here(now time.Time) bool {
	if !e.gone.IsZero() && !now.Before(e.gone) || !e.otherAt.IsZero() && now.Sub(e.otherAt) < feedStale {
		return false
	}
	return !e.followed(now) || e.state.Alive && !e.state.Leaving
}

// open reports whether the endpoint takes new requests, as far as known.
func (e *endpoint) open(now time.Time) bool {
	if e.barred(now) || now.Before(e.ejected) || !e.here(now) {
		return false
	}
	return !e.followed(now) || !e.state.Busy
}

// occupancy returns the requests in progress and waiting there. The agent's
// count is taken where it is new; own requests since then are added.
func (e *endpoint) occupancy(now time.Time, entries int) int {
	own := len(e.running)
	if e.followed(now) {
		return max(own, e.state.Running+e.state.Queued+len(e.sent)-len(e.ended))
	}
	if now.Sub(e.loadAt) < loadStale {
		return max(own, e.load)
	}
	// Nothing is known of the other entries: each does as this one.
	return own * max(1, entries)
}

// unread returns the prompt tokens there that are not read yet, of all entries.
func (e *endpoint) unread(now time.Time) int {
	if e.followed(now) {
		return e.reading + e.state.Reading
	}
	return e.reading
}

func (e *endpoint) observe(now time.Time, state EngineState) {
	sampled := now.Add(-sampleDelay)
	e.sent = dropBefore(e.sent, sampled)
	e.ended = dropBefore(e.ended, sampled)
	e.state, e.stateAt = state, now
	if e.timely(now) {
		e.proven = 0
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
func (e *endpoint) oldest(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, began := range e.running {
		longest = max(longest, now.Sub(began))
	}
	return longest
}

// refuse keeps new requests away after a refusal; hadRoom as for note.
func (e *endpoint) refuse(now time.Time, hadRoom bool) {
	e.ejected = now.Add(min(fullPause<<min(e.refusals, 5), maxFullPause))
	if hadRoom {
		e.refusals++
	}
}

// eject keeps new requests away for a while that doubles with each failure.
func (e *endpoint) eject(now time.Time) {
	pause := min(firstEjection<<min(e.failures, 5), maxEjection)
	e.failures++
	e.ejected = now.Add(pause)
}

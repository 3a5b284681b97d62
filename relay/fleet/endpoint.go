package fleet

import (
	"time"

	"comfreyrelay.example/relay/deal"
)

const (
	// reportMaxAge is the age at which an agent's report is ignored as stale. Agents send at least
	// four times as often.
	reportMaxAge = 900 * time.Millisecond
	// sampleDelay is the assumed age of an engine state on arrival: the engine's answer to its
	// agent, the network delay between failure domains, and the scheduling delay of both processes.
	sampleDelay = 6 * time.Millisecond
	// lateReportDelay is the delay of an agent's report above which its host is assumed to be
	// behind a slow link: answers take the same path and would be late.
	lateReportDelay = 200 * time.Millisecond
	// loadMaxAge is the age at which the load that an endpoint sent with an answer is ignored as
	// stale.
	loadMaxAge = time.Second
	// firstEjection is the ejection time after a first failure to connect or a first timeout. It
	// doubles with each consecutive failure up to maxEjection.
	firstEjection = 250 * time.Millisecond
	maxEjection   = 4 * time.Second
	// refusalPause is the ejection time after a refusal. It doubles up to maxRefusalPause with each
	// consecutive refusal by an endpoint that had a free slot by its agent's report: the report is
	// then no reason to send requests there.
	refusalPause    = 40 * time.Millisecond
	maxRefusalPause = time.Second
	// movedPause is the ejection time after another endpoint answered at the address: the
	// registration ends soon.
	movedPause = 2 * time.Second
	// errorWeight is the weight of a new outcome in the smoothed error rate.
	errorWeight = 0.15
)

// endpoint holds what is known of one incarnation of an endpoint. The group's lock guards it. An
// endpoint that restarts under its id gets a new value, because it has lost its state.
type endpoint struct {
	reg       Registration
	removedAt time.Time // not chosen from then on; zero: registered

	incarnations incarnationTracker
	superseded   bool // a new incarnation began: requests in progress here are lost
	// foreignReportAt is when the agent last reported an incarnation of another endpoint at this
	// address; zero: the agent reports this one.
	foreignReportAt time.Time

	state   EngineState
	stateAt time.Time // arrival of state; zero: none arrived
	// sent and ended are the times at which own requests were sent and ended since state was
	// sampled; state does not count them yet.
	sent, ended []time.Time

	running          map[*Grant]time.Time // own requests in progress, by send time
	pendingPrefill   int                  // prompt tokens of own requests without a first event
	finalAttempts    int                  // own requests that no other endpoint may resume
	reach            deal.Reach           // this entry's relation to the engine, once engines are assigned
	rolloutPosition  float64              // of its host, from 0 (first) to 1 (last)
	load             int                  // running and waiting requests, as last sent with an answer
	loadAt           time.Time
	servedUnreported int       // consecutive own requests served without a timely agent report
	failures         int       // consecutive failures to connect or to answer
	refusals         int       // consecutive, with a free slot by the agent's report
	ejectedUntil     time.Time // not chosen until then
	errorRate        float64   // smoothed fraction of failed answers
	unnamedAt        time.Time // latest answer to a request that did not name it; zero: none
	limit            rateLimit
	notice           notice
}

func newEndpoint(reg Registration, incarnations incarnationTracker) *endpoint {
	return &endpoint{reg: reg, incarnations: incarnations, running: map[*Grant]time.Time{}}
}

func (e *endpoint) incarnation() Incarnation {
	return Incarnation{ID: e.reg.ID, Born: e.incarnations.current}
}

// hasFreshReport reports whether the agent's report is recent enough to use.
func (e *endpoint) hasFreshReport(now time.Time) bool {
	return !e.stateAt.IsZero() && now.Sub(e.stateAt) < reportMaxAge
}

// hasTimelyReport reports whether the agent's latest report is recent and arrived without delay.
func (e *endpoint) hasTimelyReport(now time.Time) bool {
	return e.hasFreshReport(now) && e.state.Delay < lateReportDelay
}

// maxUnreported returns how many own requests may be in progress at an engine whose agent sends no
// timely report: one from its home entry, and one more for each request that it served. An engine
// behind a broken or slow link would otherwise look idle and be chosen before all others.
func (e *endpoint) maxUnreported() int {
	if e.reach != deal.Home {
		return 0
	}
	return 1 + e.servedUnreported
}

// noReport is the age given for an agent's report if none arrived.
const noReport = -time.Millisecond

// stateAge returns the age of the agent's report, or noReport.
func (e *endpoint) stateAge(now time.Time) time.Duration {
	if e.stateAt.IsZero() {
		return noReport
	}
	return now.Sub(e.stateAt)
}

// version returns the loaded version of a model, or 0 if it is not loaded.
func (e *endpoint) version(now time.Time, model string) uint64 {
	if e.hasFreshReport(now) {
		return e.state.Loaded[model]
	}
	return e.reg.Loaded[model]
}

// isLeaving reports whether the endpoint is leaving, by its registration or by one of its answers.
func (e *endpoint) isLeaving() bool { return e.reg.Leaving || e.notice.leaving }

// declinesNew reports whether the endpoint has asked for no new requests or has been removed.
func (e *endpoint) declinesNew(now time.Time) bool {
	return e.isLeaving() || e.notice.backingOff(now) || !e.removedAt.IsZero() && !now.Before(e.removedAt)
}

// available reports whether, as far as known, the endpoint runs at its address and is not leaving.
func (e *endpoint) available(now time.Time) bool {
	if !e.removedAt.IsZero() && !now.Before(e.removedAt) || !e.foreignReportAt.IsZero() && now.Sub(e.foreignReportAt) < reportMaxAge {
		return false
	}
	return !e.hasFreshReport(now) || e.state.Alive && !e.state.Leaving
}

// acceptsNew reports whether, as far as known, the endpoint takes new requests.
func (e *endpoint) acceptsNew(now time.Time) bool {
	if e.declinesNew(now) || now.Before(e.ejectedUntil) || !e.available(now) {
		return false
	}
	return !e.hasFreshReport(now) || !e.state.Busy
}

// occupancy returns the requests running and waiting at the endpoint: the count in the agent's
// report if that is fresh, corrected by own requests sent and ended since.
func (e *endpoint) occupancy(now time.Time, entries int) int {
	own := len(e.running)
	if e.hasFreshReport(now) {
		return max(own, e.state.Running+e.state.Queued+len(e.sent)-len(e.ended))
	}
	if now.Sub(e.loadAt) < loadMaxAge {
		return max(own, e.load)
	}
	// Nothing is known of the other entries: assume that each sends as much as this one.
	return own * max(1, entries)
}

// totalPendingPrefill returns the prompt tokens of all entries that wait for prefill.
func (e *endpoint) totalPendingPrefill(now time.Time) int {
	if e.hasFreshReport(now) {
		return e.pendingPrefill + e.state.PendingPrefill
	}
	return e.pendingPrefill
}

// observe applies the agent's report and drops the own requests that it counts already.
func (e *endpoint) observe(now time.Time, state EngineState) {
	sampled := now.Add(-sampleDelay)
	e.sent = dropBefore(e.sent, sampled)
	e.ended = dropBefore(e.ended, sampled)
	e.state, e.stateAt = state, now
	if e.hasTimelyReport(now) {
		e.servedUnreported = 0
	}
}

// dropBefore removes the times before the limit from a sorted list.
func dropBefore(times []time.Time, limit time.Time) []time.Time {
	kept := 0
	for kept < len(times) && times[kept].Before(limit) {
		kept++
	}
	return append(times[:0], times[kept:]...)
}

// longestRunning returns how long the longest own request has been in progress.
func (e *endpoint) longestRunning(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, began := range e.running {
		longest = max(longest, now.Sub(began))
	}
	return longest
}

// recordRefusal ejects the endpoint after a refusal. hadFreeSlot is as for recordOutcome.
func (e *endpoint) recordRefusal(now time.Time, hadFreeSlot bool) {
	e.ejectedUntil = now.Add(min(refusalPause<<min(e.refusals, 5), maxRefusalPause))
	if hadFreeSlot {
		e.refusals++
	}
}

// eject blocks new requests for a time that doubles with each consecutive failure.
func (e *endpoint) eject(now time.Time) {
	pause := min(firstEjection<<min(e.failures, 5), maxEjection)
	e.failures++
	e.ejectedUntil = now.Add(pause)
}

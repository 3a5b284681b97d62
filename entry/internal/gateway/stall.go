package gateway

import (
	"context"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
)

const (
	// stallTargets is how many targets a stream's first event may take before
	// another endpoint is tried.
	firstEventTargets = 3
	// streamStall is the longest pause of a stream in progress: longer than
	// any that is in time, shorter than callers bear.
	minStreamStall = 1100 * time.Millisecond
	// repeatTargets is how many targets a request that may be repeated waits
	// for its answer before another endpoint is tried.
	answerTargets = 3
	// Callers give up a stream that shows nothing for the longest of callerPause, so many
	// targets and so many of the pauses that are in time.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutGaps    = 8
	// callerMargin is left of that time for a caller to learn that its stream can't go on
	// here: more than the time between two looks.
	callerTimeoutMargin = 400 * time.Millisecond
)

// callerGivesUp is the reason to end an attempt at a silent endpoint without a place at another.
const reasonCallerTimeout = "caller about to give up"

// silence is how an attempt waited for bytes.
type responseWait struct {
	stopReason  string        // why it waited no longer; empty: it did
	idle        time.Duration // since the last bytes
	wakeupDelay time.Duration // by which this process itself was late
	keptLogged  bool          // it would have ended, had another endpoint had room
}

// patience returns what decides whether the attempt goes on waiting for bytes. What may not be
// repeated waits to its end, or until its endpoint has started again and can't answer any more.
func (x *exchange) waitPolicy(ctx context.Context, grant *fleet.Grant) func(time.Duration) bool {
	return func(waited time.Duration) bool {
		x.responseWait.idle = waited
		x.responseWait.stopReason = x.stopReason(ctx, grant, waited)
		return x.responseWait.stopReason == ""
	}
}

// impatience returns why the attempt waits no longer for bytes; empty: it does. A silent
// endpoint may be sound, and only slow or reported dead by mistake, so that the attempt
// ends only once another endpoint has room for the request.
func (x *exchange) stopReason(ctx context.Context, grant *fleet.Grant, waited time.Duration) string {
	switch {
	case ctx.Err() != nil:
		return "caller"
	case grant.Over():
		return "endpoint started again"
	case !x.route.Repeatable():
		return ""
	case !x.attemptsLeft(x.attemptsUsed + 1):
		if waited >= x.stallTimeout() && x.callerNearTimeout(grant) {
			return reasonCallerTimeout
		}
		return ""
	}
	reason := ""
	if !grant.Alive() {
		reason = "endpoint reported dead"
	} else if waited >= x.stallTimeout() {
		reason = "no bytes"
	}
	if reason == "" || x.reserveEndpoint() {
		return reason
	}
	if x.callerNearTimeout(grant) {
		return reasonCallerTimeout
	}
	if !x.responseWait.keptLogged {
		x.responseWait.keptLogged = true
		x.gateway.cfg.Log.Info("silent endpoint kept", "request", x.req.ID, "endpoint", grant.ID(), "reason", reason,
			"silentMillis", waited.Milliseconds(), "events", x.events)
	}
	return ""
}

// callerAboutToLeave reports whether the caller of a stream at an endpoint that is probably dead
// will soon give it up. A caller that leaves by itself doesn't come back, and its endpoint goes
// on with the request once its host does; one that gets an answer, or whose connection ends, may go
// on through another entry.
func (x *exchange) callerNearTimeout(grant *fleet.Grant) bool {
	if x.route.Kind != catalog.Stream || x.mayStillAnswer(grant) {
		return false
	}
	lastProgress := x.arrived
	if x.events > 0 {
		lastProgress = x.lastEventAt
	}
	timeout := max(minCallerTimeout, callerTimeoutTargets*x.route.Target, callerTimeoutGaps*x.route.Gap)
	return x.gateway.cfg.Clock.Since(lastProgress) >= timeout-callerTimeoutMargin
}

// maySurvive reports whether a silent endpoint may still go on. Where its host reports, an answer
// that was begun is ended by nothing that it says: it may be wrong about the endpoint.
func (x *exchange) mayStillAnswer(grant *fleet.Grant) bool {
	return grant.Followed() && (x.events > 0 || grant.Alive())
}

func (x *exchange) stallTimeout() time.Duration {
	switch {
	case x.events > 0:
		return max(minStreamStall, 2*x.route.Gap)
	case x.engine() != nil:
		return firstEventTargets * x.route.Target
	}
	return answerTargets * x.route.Target
}

// reserve takes a place at another endpoint for the next attempt and reports whether there was
// one. It goes before requests that wait only where the caller has part of the answer.
func (x *exchange) reserveEndpoint() bool {
	g := x.gateway
	if !x.adm.Begun && !g.waitQueue(x.service).isNext(&x.adm) {
		return false
	}
	grant, verdict := g.cfg.State.Fleet().Group(x.service).Pick(x.need())
	if verdict != fleet.Granted {
		return false
	}
	if !x.takeRetry() {
		grant.Done(fleet.Abandoned)
		return false
	}
	x.reserved = grant
	return true
}

// release gives a place back that was reserved and is not used.
func (x *exchange) releaseReserved() {
	if x.reserved != nil {
		x.reserved.Done(fleet.Abandoned)
		x.reserved = nil
	}
}

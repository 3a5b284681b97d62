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
	stallTargets = 3
	// streamStall is the longest pause of a stream in progress: longer than
	// any that is in time, shorter than callers bear.
	streamStall = 1100 * time.Millisecond
	// repeatTargets is how many targets a request that may be repeated waits
	// for its answer before another endpoint is tried.
	repeatTargets = 3
	// Callers give up a stream that shows nothing for the longest of callerPause, so many
	// targets and so many of the pauses that are in time.
	callerPause   = 2 * time.Second
	callerTargets = 4
	callerGaps    = 8
	// callerMargin is left of that time for a caller to learn that its stream can't go on
	// here: more than the time between two looks.
	callerMargin = 400 * time.Millisecond
)

// callerGivesUp is the reason to end an attempt at a silent endpoint without a place at another.
const callerGivesUp = "caller about to give up"

// silence is how an attempt waited for bytes.
type silence struct {
	reason    string        // why it waited no longer; empty: it did
	waited    time.Duration // since the last bytes
	overslept time.Duration // by which this process itself was late
	kept      bool          // it would have ended, had another endpoint had room
}

// patience returns what decides whether the attempt goes on waiting for bytes. What may not be
// repeated waits to its end, or until its endpoint has started again and can't answer any more.
func (x *exchange) patience(ctx context.Context, grant *fleet.Grant) func(time.Duration) bool {
	return func(waited time.Duration) bool {
		x.silence.waited = waited
		x.silence.reason = x.impatience(ctx, grant, waited)
		return x.silence.reason == ""
	}
}

// impatience returns why the attempt waits no longer for bytes; empty: it does. A silent
// endpoint may be sound, and only slow or reported dead by mistake, so that the attempt
// ends only once another endpoint has room for the request.
func (x *exchange) impatience(ctx context.Context, grant *fleet.Grant, waited time.Duration) string {
	switch {
	case ctx.Err() != nil:
		return "caller"
	case grant.Over():
		return "endpoint started again"
	case !x.route.Repeatable():
		return ""
	case !x.attemptsLeft(x.runs + 1):
		if waited >= x.stall() && x.callerAboutToLeave(grant) {
			return callerGivesUp
		}
		return ""
	}
	reason := ""
	if !grant.Alive() {
		reason = "endpoint reported dead"
	} else if waited >= x.stall() {
		reason = "no bytes"
	}
	if reason == "" || x.reserve() {
		return reason
	}
	if x.callerAboutToLeave(grant) {
		return callerGivesUp
	}
	if !x.silence.kept {
		x.silence.kept = true
		x.gateway.cfg.Log.Info("silent endpoint kept", "request", x.req.ID, "endpoint", grant.ID(), "reason", reason,
			"silentMillis", waited.Milliseconds(), "events", x.events)
	}
	return ""
}

// callerAboutToLeave reports whether the caller of a stream at an endpoint that is probably dead
// will soon give it up. A caller that leaves by itself doesn't come back, and its endpoint goes
// on with the request once its host does; one that gets an answer, or whose connection ends, may go
// on through another entry.
func (x *exchange) callerAboutToLeave(grant *fleet.Grant) bool {
	if x.route.Kind != catalog.Stream || x.maySurvive(grant) {
		return false
	}
	shown := x.arrived
	if x.events > 0 {
		shown = x.eventAt
	}
	bears := max(callerPause, callerTargets*x.route.Target, callerGaps*x.route.Gap)
	return x.gateway.cfg.Clock.Since(shown) >= bears-callerMargin
}

// maySurvive reports whether a silent endpoint may still go on. Where its host reports, an answer
// that was begun is ended by nothing that it says: it may be wrong about the endpoint.
func (x *exchange) maySurvive(grant *fleet.Grant) bool {
	return grant.Followed() && (x.events > 0 || grant.Alive())
}

func (x *exchange) stall() time.Duration {
	switch {
	case x.events > 0:
		return max(streamStall, 2*x.route.Gap)
	case x.engine() != nil:
		return stallTargets * x.route.Target
	}
	return repeatTargets * x.route.Target
}

// reserve takes a place at another endpoint for the next attempt and reports whether there was
// one. It goes before requests that wait only where the caller has part of the answer.
func (x *exchange) reserve() bool {
	g := x.gateway
	if !x.adm.Begun && !g.line(x.service).first(&x.adm) {
		return false
	}
	grant, verdict := g.cfg.State.Fleet().Group(x.service).Pick(x.need())
	if verdict != fleet.Granted {
		return false
	}
	if !x.repeat() {
		grant.Done(fleet.Abandoned)
		return false
	}
	x.reserved = grant
	return true
}

// release gives a place back that was reserved and is not used.
func (x *exchange) release() {
	if x.reserved != nil {
		x.reserved.Done(fleet.Abandoned)
		x.reserved = nil
	}
}

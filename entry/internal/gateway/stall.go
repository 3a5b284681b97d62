package gateway

import (
	"context"
	"time"

	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/relay/admission"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
)

const (
	// silenceDivisor sets how long an endpoint may be silent before another one is tried, as a fraction of the
	// caller's time. The rest is left for the other endpoint.
	silenceDivisor = 2
	// callerTimeoutMargin is how long before the caller abandons a stream it is informed that its stream
	// cannot continue here. It exceeds the interval between two checks.
	callerTimeoutMargin = 400 * time.Millisecond
)

// reasonCallerTimeout is the reason to end an attempt at a silent endpoint though no other endpoint
// has a slot: the caller is about to time out.
const reasonCallerTimeout = "caller about to give up"

// responseWait describes how an attempt waited for data from its endpoint.
type responseWait struct {
	stopReason  string        // why it stopped waiting; empty while it waits
	idle        time.Duration // since the last data
	wakeupDelay time.Duration // largest delay with which this process itself was woken
	keptLogged  bool          // it was logged that the attempt stays for lack of room elsewhere
}

// waitPolicy returns the function that decides whether the attempt keeps waiting for data. A
// request that must not be repeated waits until its deadline, or until its endpoint has restarted
// and cannot answer any more.
func (x *exchange) waitPolicy(ctx context.Context, grant *fleet.Grant) upstream.ReadWait {
	return func(waited, late time.Duration) bool {
		x.responseWait.idle, x.responseWait.wakeupDelay = waited, max(x.responseWait.wakeupDelay, late)
		x.responseWait.stopReason = x.stopReason(ctx, grant, waited)
		return x.responseWait.stopReason == ""
	}
}

// stopReason returns why the attempt should stop waiting for data, or an empty string if it should
// not. A silent endpoint may be healthy and just slow or reported dead by mistake, so the attempt
// normally ends only once another endpoint has room for the request.
func (x *exchange) stopReason(ctx context.Context, grant *fleet.Grant, waited time.Duration) string {
	switch {
	case ctx.Err() != nil:
		return "caller"
	case grant.Restarted():
		return "endpoint started again"
	case x.answerOrigin.unnamed > 0 && !x.answerOrigin.arrived && waited >= x.stallTimeout():
		return "no answer names the request"
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

// callerNearTimeout reports whether the caller of a stream at a probably dead endpoint will soon
// time out. A caller that times out does not retry, and the endpoint resumes the request once its
// host runs again. A caller that gets an answer, or whose connection is closed, may continue the
// stream through another entry.
func (x *exchange) callerNearTimeout(grant *fleet.Grant) bool {
	if x.route.Kind != catalog.Stream || x.mayStillAnswer(grant) {
		return false
	}
	lastProgress := x.received
	if x.events > 0 {
		lastProgress = x.lastEventAt
	}
	timeout := admission.Patience(x.route.Target, x.route.Gap)
	return x.gateway.cfg.Clock.Since(lastProgress) >= timeout-callerTimeoutMargin
}

// mayStillAnswer reports whether a silent endpoint may still continue. While the agent on its host
// reports, an answer that has begun is kept even if the agent says that the endpoint is dead, since
// the agent may be wrong.
func (x *exchange) mayStillAnswer(grant *fleet.Grant) bool {
	return grant.AgentReports() && (x.events > 0 || grant.Alive())
}

// stallTimeout returns how long the attempt waits for data before another endpoint is tried.
func (x *exchange) stallTimeout() time.Duration {
	if x.route.Kind == catalog.Stream {
		return admission.Patience(x.route.Target, x.route.Gap) / silenceDivisor
	}
	return x.deadline().Sub(x.sentAt) / silenceDivisor
}

// reserveEndpoint takes a slot at another endpoint for the next attempt and reports whether it got
// one. It bypasses queued requests only if the caller already has part of the answer.
func (x *exchange) reserveEndpoint() bool {
	g := x.gateway
	if !x.adm.Started && !g.waitQueue(x.service).isNext(&x.adm) {
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

// releaseReserved returns an unused reserved slot.
func (x *exchange) releaseReserved() {
	if x.reserved != nil {
		x.reserved.Done(fleet.Abandoned)
		x.reserved = nil
	}
}

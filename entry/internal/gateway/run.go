package gateway

import (
	"context"
	"time"

	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/relay/call"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/retry"
	"comfreyrelay.example/relay/site"
)

// run sends the request to one endpoint after another until one answers it or it must be refused.
func (x *exchange) run(ctx context.Context) {
	g := x.gateway
	defer g.bodyBytes.Add(-x.bodyBytes)
	defer x.releaseReserved()
	g.retryBudget(x.service).AddRequest(g.cfg.BootClock(), g.retryLimit())
	if refused := x.checkQuarantine(); refused != nil {
		x.refuse(*refused)
		return
	}
	for {
		grant, refused := x.acquireEndpoint(ctx)
		if refused != nil {
			x.refuse(*refused)
			return
		}
		outcome := x.attempt(ctx, grant)
		grant.Done(outcome)
		x.logAttempt(grant, outcome)
		x.awaitCrashCheck(ctx, grant, outcome)
		if x.status != 0 && (outcome == fleet.Served || outcome == fleet.Failed) {
			if x.adm.Engine == nil {
				g.workTimes.Observe(x.service, g.cfg.Clock.Since(x.sentAt))
			}
			x.logEnd(outcome.String(), x.status)
			x.reportServed(outcome)
			return
		}
		if refused := x.decideRetry(ctx, outcome); refused != nil {
			x.refuse(*refused)
			return
		}
	}
}

// decideRetry decides whether the request may be sent to another endpoint after an attempt that
// did not serve it. It returns nil if so.
func (x *exchange) decideRetry(ctx context.Context, outcome fleet.Outcome) *refusal {
	if ctx.Err() != nil {
		return x.refuseCanceled(ctx)
	}
	if refused := x.checkQuarantine(); refused != nil {
		return refused
	}
	if outcome == fleet.Unreachable || outcome == fleet.Withheld {
		// Nothing was sent, so this does not count as an attempt.
		if len(x.tried) >= maxUnreachable {
			return x.refuseUnserved("no endpoint can be reached", shortRetryAfter)
		}
		return nil
	}
	if !x.provenNotRun {
		x.attemptsUsed++
	}
	if x.notResumable || x.mayHaveRun && !x.route.Repeatable() || outcome == fleet.Silent && x.responseWait.stopReason == reasonCallerTimeout {
		return x.refuseUnserved("no retry is possible after one "+outcome.String(), 0)
	}
	if x.reserved != nil {
		return nil
	}
	if !x.attemptsLeft(x.attemptsUsed) {
		return x.refuseUnserved("no attempt is left after one "+outcome.String(), shortRetryAfter)
	}
	if !x.takeRetry() && !x.awaitRetry(ctx) {
		return x.refuseUnserved("the budget for repeats is used up", shortRetryAfter)
	}
	return nil
}

// awaitRetry waits until the retry budget admits a stream that has begun, for as long as such a
// stream may wait, and reports whether it did. Requests without an event do not wait.
func (x *exchange) awaitRetry(ctx context.Context) bool {
	clock := x.gateway.cfg.Clock
	if !x.adm.Started {
		return false
	}
	for until := x.adm.LatestStart(); clock.Now().Before(until); {
		timer := clock.NewTimer(retryPollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.Chan():
		}
		if x.takeRetry() {
			return true
		}
	}
	return false
}

// attemptsLeft reports whether the request may be sent again after the given number of attempts.
func (x *exchange) attemptsLeft(used int) bool {
	return used < x.route.MaxAttempts && x.sends < x.route.MaxAttempts+maxRefusedSends
}

// takeRetry takes one retry from the service's budget and reports whether one was left.
func (x *exchange) takeRetry() bool {
	g := x.gateway
	allowed, left := g.retryBudget(x.service).AllowRepeat(g.cfg.BootClock(), g.retryLimit())
	x.logRetry(allowed, left)
	if allowed {
		x.retryAllowedAt = g.cfg.Clock.Now()
	}
	return allowed
}

// retryLimit returns the limit of all entries for one service, with this entry's share of its
// constant part.
func (g *Gateway) retryLimit() retry.Limit {
	bounds := g.cfg.Bounds()
	return retry.Limit{
		Ratio: bounds.Ratio * budgetFactor,
		// Entries that started recently may not be known yet, so the share allows for a few more.
		Slack: bounds.Slack * budgetFactor / float64(g.cfg.PeakEntries()+assumedNewEntries),
		Span:  bounds.Window,
	}
}

const (
	// maxRefusedSends is how many sends beyond the route's attempts are allowed. An answer that
	// proves that the request did not run does not count as an attempt, but each send uses the
	// retry budget, which all entries share.
	maxRefusedSends = 2
	// maxUnreachable is the number of chosen endpoints from which on an unreachable one ends the
	// request.
	maxUnreachable = 4
	// assumedNewEntries is how many entries may have started that are not known yet.
	assumedNewEntries = 3
	// budgetFactor reserves part of the retry budget for differences between the retries counted
	// here and those seen at the endpoints.
	budgetFactor = 0.85
	// retryPollInterval is how often a waiting stream checks the retry budget.
	retryPollInterval = 50 * time.Millisecond
)

// attempt sends the request to one endpoint and relays its answer.
func (x *exchange) attempt(ctx context.Context, grant *fleet.Grant) fleet.Outcome {
	g := x.gateway
	x.tried, x.responseWait, x.answerHead = append(x.tried, grant.Incarnation()), responseWait{}, call.Answer{}
	x.answerOrigin = answerOrigin{}
	x.sendEvents, x.survived = 0, false
	if ctx.Err() != nil || !g.cfg.Clock.Now().Before(x.deadline()) {
		return fleet.Abandoned
	}
	conn, err := x.connect(ctx, grant)
	if err != nil {
		if ctx.Err() != nil {
			return fleet.Abandoned
		}
		return fleet.Unreachable
	}
	x.answerOrigin.conn = conn.Number()
	if ctx.Err() != nil {
		// The caller disconnected while the connection was established.
		conn.Close()
		return fleet.Abandoned
	}
	if !grant.AcceptsRequests() {
		// The endpoint stopped accepting requests while the connection was established.
		conn.Close()
		return fleet.Withheld
	}
	stopCancel := context.AfterFunc(ctx, conn.CancelFunc())
	defer stopCancel()
	x.sends++
	x.sentAt = g.cfg.Clock.Now()
	x.adm.Sent = true
	// From here on the endpoint may run the request. However this attempt ends, the caller must
	// not receive "not run" unless the endpoint proves it.
	x.mayHaveRun, x.mayHaveRunBefore, x.provenNotRun = true, x.mayHaveRun, false
	remaining := x.deadline().Sub(g.cfg.Clock.Now())
	out := g.cfg.Wire.Encode(x.req, call.Sending{
		Endpoint: grant.ID(), Customer: x.customerName(), Remaining: remaining,
		Version: x.expectedVersion(grant), Urgency: x.adm.Rank(), ResumeAfter: x.lastEventID,
	})
	if err := conn.Send(x.req.ID, out, time.Now().Add(remaining)); err != nil {
		conn.Close()
		return x.abandonedOr(ctx, fleet.Broken)
	}
	conn.SetReadWait(x.waitPolicy(ctx, grant))
	resp, answer, err := x.receive(grant, conn, out)
	if err != nil {
		closeAfterError(conn, err)
		return x.abandonedOr(ctx, x.receiveOutcome(grant, err))
	}
	x.answerHead = answer
	grant.ApplyLoad(answer.Load)
	x.applyRateLimit(grant, answer)
	x.applyAvailability(grant, answer)
	return x.relayAnswer(ctx, grant, conn, resp, answer)
}

// deadline returns until when the request may be answered here.
func (x *exchange) deadline() time.Time { return x.gateway.stop.limit(x.adm.Deadline) }

// connect returns a connection for the next attempt. Only on a new one can a rejection that names no
// request be a proof, so a request that must run once gets one if the endpoint may send such answers.
func (x *exchange) connect(ctx context.Context, grant *fleet.Grant) (*upstream.Conn, error) {
	target := upstream.Target{Address: grant.Address(), Born: grant.Incarnation().Born}
	if !x.route.Repeatable() && grant.AnswersUnnamed() {
		return x.gateway.cfg.Pool.Dial(ctx, target)
	}
	return x.gateway.cfg.Pool.Get(ctx, target, x.req.ID)
}

// applyRateLimit applies the rate limit stated in the answer and publishes changes to the other
// entries. It ignores an answer from a different endpoint that now has the address.
func (x *exchange) applyRateLimit(grant *fleet.Grant, answer call.Answer) {
	if answer.Misdirected() {
		return
	}
	x.reportLimit(grant, answer, grant.ApplyLimit(answer.Limit, answer.Limited))
}

// reportLimit logs a changed rate limit and publishes it to the other entries.
func (x *exchange) reportLimit(grant *fleet.Grant, answer call.Answer, change fleet.LimitChange) {
	switch change {
	case fleet.LimitKept:
		return
	case fleet.LimitAdded:
	case fleet.LimitChanged:
		x.gateway.cfg.Publish(site.Report{Limited: fleet.LimitReport{Incarnation: grant.Incarnation(), PerSecond: answer.Limit}})
	case fleet.LimitRemoved:
		x.gateway.cfg.Publish(site.Report{Lifted: grant.Incarnation()})
	}
	x.gateway.cfg.Log.Info("endpoint rate limit", "request", x.req.ID, "endpoint", grant.ID(), "address", grant.Address(),
		"service", x.service, "limited", answer.Limited, "perSecond", answer.Limit)
}

// applyAvailability applies what the answer says about new requests: that the endpoint wants none
// for a while, or that it is leaving.
func (x *exchange) applyAvailability(grant *fleet.Grant, answer call.Answer) {
	if answer.Misdirected() {
		return
	}
	if answer.BackOff > 0 {
		grant.BackOff(answer.BackOff)
	}
	if answer.Leaving && grant.NoteLeaving() {
		x.gateway.cfg.Log.Info("endpoint leaves", "request", x.req.ID, "endpoint", grant.ID(), "address", grant.Address(),
			"service", x.service)
	}
}

// expectedVersion returns the model version that the endpoint must have loaded, 0 for any. Once a
// minimum version applies, an engine that was rolled back since it was chosen must not run the
// request.
func (x *exchange) expectedVersion(grant *fleet.Grant) uint64 {
	if x.engine() == nil || x.gateway.minVersion(x.req.Model) == 0 {
		return 0
	}
	return grant.Version()
}

// abandonedOr returns fleet.Abandoned if the request's context ended, and outcome otherwise.
func (x *exchange) abandonedOr(ctx context.Context, outcome fleet.Outcome) fleet.Outcome {
	if ctx.Err() != nil {
		return fleet.Abandoned
	}
	return outcome
}

// closeAfterError closes a connection whose answer was incomplete. If the endpoint was silent, the
// connection is reset, because data still queued for it must not reach it once the request is at
// another endpoint.
func closeAfterError(conn *upstream.Conn, err error) {
	if upstream.IsReadAbandoned(err) {
		conn.Cancel()
	}
	conn.Close()
}

// silentOutcome returns fleet.Silent if the read ended because it waited too long, and otherwise
// if not.
func silentOutcome(err error, otherwise fleet.Outcome) fleet.Outcome {
	if upstream.IsReadAbandoned(err) {
		return fleet.Silent
	}
	return otherwise
}

package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/relay/call"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/site"
)

// run brings the request to endpoints until one answered it or none may have it
// any more.
func (x *exchange) run(ctx context.Context) {
	g := x.gateway
	defer g.bodyBytes.Add(-x.bodyBytes)
	defer x.releaseReserved()
	g.retryBudget(x.service).Request(g.cfg.Clock.Now())
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

// next decides whether another endpoint may have the request after one did not
// serve it; nil lets it.
func (x *exchange) decideRetry(ctx context.Context, outcome fleet.Outcome) *refusal {
	if ctx.Err() != nil {
		return x.refuseCanceled(ctx)
	}
	if refused := x.checkQuarantine(); refused != nil {
		return refused
	}
	switch outcome {
	case fleet.Unreachable, fleet.Withheld:
		// Nothing was sent: this is still the same sending.
		if len(x.tried) >= maxUnreachable {
			return x.refuseUnserved("no endpoint can be reached", shortRetryAfter)
		}
		return nil
	case fleet.Refused, fleet.Moved:
	default:
		x.attemptsUsed++
	}
	if x.notResumable || x.mayHaveRun && !x.route.Repeatable() || outcome == fleet.Silent && x.responseWait.stopReason == reasonCallerTimeout {
		return x.refuseUnserved("an endpoint "+outcome.String(), 0)
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

// awaitRepeat waits for the budget for repeats as long as an answer in progress may wait, and
// reports whether the budget admitted it.
func (x *exchange) awaitRetry(ctx context.Context) bool {
	clock := x.gateway.cfg.Clock
	if !x.adm.Begun {
		return false
	}
	for until := x.adm.HoldUntil(clock.Now()); clock.Now().Before(until); {
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

// attemptsLeft reports whether another endpoint may have the request after so many runs.
func (x *exchange) attemptsLeft(used int) bool {
	return used < x.route.MaxAttempts && x.sends < x.route.MaxAttempts+maxRefusedSends
}

// repeat takes one send from the budget for repeats and reports whether there was one.
func (x *exchange) takeRetry() bool {
	g := x.gateway
	bounds := g.cfg.Bounds()
	// Entries that started meanwhile are not known yet: the share is that of
	// a few more.
	share := bounds.Slack / float64(g.cfg.Entries()+assumedNewEntries)
	return g.retryBudget(x.service).Repeat(g.cfg.Clock.Now(), bounds.Ratio*budgetFactor, share*budgetFactor)
}

const (
	// refusedSends is how many endpoints beyond the route's attempts may refuse a request. A
	// refusal that proves that the request was not run is no attempt, but each send is taken
	// from the budget that all entries share.
	maxRefusedSends = 2
	// maxUnreachable bounds the endpoints that a request finds dead.
	maxUnreachable = 4
	// spareEntries is how many entries may have joined that are not known.
	assumedNewEntries = 3
	// budgetPart leaves room for what is counted differently at the endpoints.
	budgetFactor = 0.85
	// repeatLook is how often the budget for repeats is asked again.
	retryPollInterval = 50 * time.Millisecond
	// maxStray bounds the answers to earlier requests that are read over.
	maxStrayAnswers = 2
)

// attempt sends the request to one endpoint and relays its answer.
func (x *exchange) attempt(ctx context.Context, grant *fleet.Grant) fleet.Outcome {
	g := x.gateway
	x.tried, x.responseWait, x.answerHead = append(x.tried, grant.Incarnation()), responseWait{}, call.Answer{}
	if ctx.Err() != nil || !g.cfg.Clock.Now().Before(x.adm.End) {
		return fleet.Abandoned
	}
	conn, err := g.cfg.Pool.Get(ctx, upstream.Target{Address: grant.Address(), Born: grant.Incarnation().Born})
	if err != nil {
		if ctx.Err() != nil {
			return fleet.Abandoned
		}
		return fleet.Unreachable
	}
	if ctx.Err() != nil {
		// The caller left while the connection was made.
		conn.Close()
		return fleet.Abandoned
	}
	if !grant.Good() {
		// The endpoint said so while the connection was made.
		conn.Close()
		return fleet.Withheld
	}
	stopCancel := context.AfterFunc(ctx, conn.Cancel)
	defer stopCancel()
	x.sends++
	x.sentAt = g.cfg.Clock.Now()
	x.adm.Sent = true
	// From here on the endpoint may run the request, unless it proves that it
	// did not: whatever ends this attempt, no caller gets "not run" without
	// that proof.
	x.mayHaveRun, x.mayHaveRunBefore = true, x.mayHaveRun
	remaining := x.adm.End.Sub(g.cfg.Clock.Now())
	out := g.cfg.Wire.Encode(x.req, call.Sending{
		Endpoint: grant.ID(), Customer: x.customerName(), Left: remaining,
		Version: x.expectedVersion(grant), Urgency: x.adm.Rank(g.cfg.Clock.Now()), ResumeAfter: x.lastEventID,
	})
	if err := conn.Send(out, time.Now().Add(remaining)); err != nil {
		conn.Close()
		return x.abandonedOr(ctx, fleet.Broken)
	}
	conn.SetPatience(x.waitPolicy(ctx, grant))
	defer func() { x.responseWait.wakeupDelay = conn.Late() }()
	resp, answer, err := x.receive(conn, out)
	if err != nil {
		closeAfterError(conn, err)
		return x.abandonedOr(ctx, silentOutcome(err, fleet.Broken))
	}
	x.answerHead = answer
	grant.Answered(answer.Load)
	x.applyRateLimit(grant, answer)
	x.applyAvailability(grant, answer)
	return x.relayAnswer(ctx, grant, conn, resp, answer)
}

// applyLimit takes over the rate limit that the answer names. One from another endpoint at
// the address says nothing about the endpoint that was meant.
func (x *exchange) applyRateLimit(grant *fleet.Grant, answer call.Answer) {
	if answer.Elsewhere {
		return
	}
	change := grant.Limited(answer.Limit, answer.Limited)
	switch change {
	case fleet.LimitKept:
		return
	case fleet.LimitNamed:
	case fleet.LimitChanged:
		x.gateway.cfg.Publish(site.Report{Limited: fleet.LimitReport{Incarnation: grant.Incarnation(), PerSecond: answer.Limit}})
	case fleet.LimitLifted:
		x.gateway.cfg.Publish(site.Report{Lifted: grant.Incarnation()})
	}
	x.gateway.cfg.Log.Info("endpoint rate limit", "request", x.req.ID, "endpoint", grant.ID(), "address", grant.Address(),
		"service", x.service, "limited", answer.Limited, "perSecond", answer.Limit)
}

// applyNotice takes over what the answer says of new requests to its endpoint.
func (x *exchange) applyAvailability(grant *fleet.Grant, answer call.Answer) {
	if answer.Elsewhere {
		return
	}
	if answer.Rest > 0 {
		grant.Rest(answer.Rest)
	}
	if answer.Leaving && grant.NoteLeaving() {
		x.gateway.cfg.Log.Info("endpoint leaves", "request", x.req.ID, "endpoint", grant.ID(), "address", grant.Address(),
			"service", x.service)
	}
}

// expected returns the version that the endpoint must have: once only a newer
// one may serve, an engine that went back would begin on an old one.
func (x *exchange) expectedVersion(grant *fleet.Grant) uint64 {
	if x.engine() == nil || x.gateway.minVersion(x.req.Model) == 0 {
		return 0
	}
	return grant.Version()
}

// brokenBy returns how an attempt ended that did not come to its end: by the
// caller or the time where they ended it.
func (x *exchange) abandonedOr(ctx context.Context, outcome fleet.Outcome) fleet.Outcome {
	if ctx.Err() != nil {
		return fleet.Abandoned
	}
	return outcome
}

// giveUp closes a connection whose answer did not come whole. What was sent to an
// endpoint that stayed silent must not reach it once the request is at another.
func closeAfterError(conn *upstream.Conn, err error) {
	if upstream.GivenUp(err) {
		conn.Cancel()
	}
	conn.Close()
}

func silentOutcome(err error, otherwise fleet.Outcome) fleet.Outcome {
	if upstream.GivenUp(err) {
		return fleet.Silent
	}
	return otherwise
}

// receive reads the head of the answer. Answers that belong to an earlier
// request on the connection are read over.
func (x *exchange) receive(conn *upstream.Conn, out *http.Request) (*http.Response, call.Answer, error) {
	for range maxStrayAnswers {
		resp, err := conn.Receive(out)
		if err != nil {
			return nil, call.Answer{}, err
		}
		answer := x.gateway.cfg.Wire.Decode(resp)
		if answer.ID == "" || answer.ID == x.req.ID {
			return resp, answer, nil
		}
		x.gateway.cfg.Log.Warn("an answer to another request was dropped", "request", x.req.ID, "of", answer.ID)
		if err := discardAnswer(resp); err != nil {
			return nil, call.Answer{}, err
		}
	}
	return nil, call.Answer{}, errors.New("the connection brings answers to other requests")
}

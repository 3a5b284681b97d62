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
	defer g.bodies.Add(-x.bytes)
	defer x.release()
	g.budget(x.service).Request(g.cfg.Clock.Now())
	if refused := x.held(); refused != nil {
		x.refuse(*refused)
		return
	}
	for {
		grant, refused := x.place(ctx)
		if refused != nil {
			x.refuse(*refused)
			return
		}
		outcome := x.attempt(ctx, grant)
		grant.Done(outcome)
		x.logAttempt(grant, outcome)
		x.inquire(ctx, grant, outcome)
		if x.status != 0 && (outcome == fleet.Served || outcome == fleet.Failed) {
			x.logEnd(outcome.String(), x.status)
			x.acquit(outcome)
			return
		}
		if refused := x.next(ctx, outcome); refused != nil {
			x.refuse(*refused)
			return
		}
	}
}

// next decides whether another endpoint may have the request after one did not
// serve it; nil lets it.
func (x *exchange) next(ctx context.Context, outcome fleet.Outcome) *refusal {
	if ctx.Err() != nil {
		return x.overdue(ctx)
	}
	if refused := x.held(); refused != nil {
		return refused
	}
	switch outcome {
	case fleet.Unreachable, fleet.Withheld:
		// Nothing was sent: this is still the same sending.
		if len(x.tries) >= maxUnreachable {
			return x.notServed("no endpoint can be reached", soonReturn)
		}
		return nil
	case fleet.Refused, fleet.Moved:
	default:
		x.runs++
	}
	if x.final || x.mayRun && !x.route.Repeatable() || outcome == fleet.Silent && x.silence.reason == callerGivesUp {
		return x.notServed("an endpoint "+outcome.String(), 0)
	}
	if x.reserved != nil {
		return nil
	}
	if !x.attemptsLeft(x.runs) {
		return x.notServed("no attempt is left after one "+outcome.String(), soonReturn)
	}
	if !x.repeat() && !x.awaitRepeat(ctx) {
		return x.notServed("the budget for repeats is used up", soonReturn)
	}
	return nil
}

// awaitRepeat waits for the budget for repeats as long as an answer in progress may wait, and
// reports whether the budget admitted it.
func (x *exchange) awaitRepeat(ctx context.Context) bool {
	clock := x.gateway.cfg.Clock
	if !x.adm.Begun {
		return false
	}
	for until := x.adm.HoldUntil(clock.Now()); clock.Now().Before(until); {
		timer := clock.NewTimer(repeatLook)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.Chan():
		}
		if x.repeat() {
			return true
		}
	}
	return false
}

// attemptsLeft reports whether another endpoint may have the request after so many runs.
func (x *exchange) attemptsLeft(runs int) bool {
	return runs < x.route.MaxAttempts && x.sends < x.route.MaxAttempts+refusedSends
}

// repeat takes one send from the budget for repeats and reports whether there was one.
func (x *exchange) repeat() bool {
	g := x.gateway
	bounds := g.cfg.Bounds()
	// Entries that started meanwhile are not known yet: the share is that of
	// a few more.
	share := bounds.Slack / float64(g.cfg.Entries()+spareEntries)
	return g.budget(x.service).Repeat(g.cfg.Clock.Now(), bounds.Ratio*budgetPart, share*budgetPart)
}

const (
	// refusedSends is how many endpoints beyond the route's attempts may refuse a request. A
	// refusal that proves that the request was not run is no attempt, but each send is taken
	// from the budget that all entries share.
	refusedSends = 2
	// maxUnreachable bounds the endpoints that a request finds dead.
	maxUnreachable = 4
	// spareEntries is how many entries may have joined that are not known.
	spareEntries = 3
	// budgetPart leaves room for what is counted differently at the endpoints.
	budgetPart = 0.85
	// repeatLook is how often the budget for repeats is asked again.
	repeatLook = 50 * time.Millisecond
	// maxStray bounds the answers to earlier requests that are read over.
	maxStray = 2
)

// attempt sends the request to one endpoint and relays its answer.
func (x *exchange) attempt(ctx context.Context, grant *fleet.Grant) fleet.Outcome {
	g := x.gateway
	x.tries, x.silence, x.head = append(x.tries, grant.Incarnation()), silence{}, call.Answer{}
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
	release := context.AfterFunc(ctx, conn.Cancel)
	defer release()
	x.sends++
	x.sentAt = g.cfg.Clock.Now()
	x.adm.Sent = true
	// From here on the endpoint may run the request, unless it proves that it
	// did not: whatever ends this attempt, no caller gets "not run" without
	// that proof.
	x.mayRun, x.mightHaveRun = true, x.mayRun
	left := x.adm.End.Sub(g.cfg.Clock.Now())
	out := g.cfg.Wire.Encode(x.req, call.Sending{
		Endpoint: grant.ID(), Customer: x.customerName(), Left: left,
		Version: x.expected(grant), Urgency: x.adm.Rank(g.cfg.Clock.Now()), ResumeAfter: x.lastID,
	})
	if err := conn.Send(out, time.Now().Add(left)); err != nil {
		conn.Close()
		return x.brokenBy(ctx, fleet.Broken)
	}
	conn.SetPatience(x.patience(ctx, grant))
	defer func() { x.silence.overslept = conn.Late() }()
	resp, answer, err := x.receive(conn, out)
	if err != nil {
		giveUp(conn, err)
		return x.brokenBy(ctx, silentOr(err, fleet.Broken))
	}
	x.head = answer
	grant.Answered(answer.Load)
	x.applyLimit(grant, answer)
	x.applyNotice(grant, answer)
	return x.take(ctx, grant, conn, resp, answer)
}

// applyLimit takes over the rate limit that the answer names. One from another endpoint at
// the address says nothing about the endpoint that was meant.
func (x *exchange) applyLimit(grant *fleet.Grant, answer call.Answer) {
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
func (x *exchange) applyNotice(grant *fleet.Grant, answer call.Answer) {
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
func (x *exchange) expected(grant *fleet.Grant) uint64 {
	if x.engine() == nil || x.gateway.floor(x.req.Model) == 0 {
		return 0
	}
	return grant.Version()
}

// brokenBy returns how an attempt ended that did not come to its end: by the
// caller or the time where they ended it.
func (x *exchange) brokenBy(ctx context.Context, outcome fleet.Outcome) fleet.Outcome {
	if ctx.Err() != nil {
		return fleet.Abandoned
	}
	return outcome
}

// giveUp closes a connection whose answer did not come whole. What was sent to an
// endpoint that stayed silent must not reach it once the request is at another.
func giveUp(conn *upstream.Conn, err error) {
	if upstream.GivenUp(err) {
		conn.Cancel()
	}
	conn.Close()
}

func silentOr(err error, otherwise fleet.Outcome) fleet.Outcome {
	if upstream.GivenUp(err) {
		return fleet.Silent
	}
	return otherwise
}

// receive reads the head of the answer. Answers that belong to an earlier
// request on the connection are read over.
func (x *exchange) receive(conn *upstream.Conn, out *http.Request) (*http.Response, call.Answer, error) {
	for range maxStray {
		resp, err := conn.Receive(out)
		if err != nil {
			return nil, call.Answer{}, err
		}
		answer := x.gateway.cfg.Wire.Decode(resp)
		if answer.ID == "" || answer.ID == x.req.ID {
			return resp, answer, nil
		}
		x.gateway.cfg.Log.Warn("an answer to another request was dropped", "request", x.req.ID, "of", answer.ID)
		if err := skip(resp); err != nil {
			return nil, call.Answer{}, err
		}
	}
	return nil, call.Answer{}, errors.New("the connection brings answers to other requests")
}

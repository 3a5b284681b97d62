package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/admission"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/engine"
	"comfreyrelay.example/relay/fleet"
)

// timing sets when the answer is due and whether the request can be in time.
func (x *exchange) timing() {
	span := x.route.Timeout
	if left := x.req.Deadline; left > 0 && (span <= 0 || left < span) {
		span = left
	}
	if span <= 0 {
		span = time.Minute
	}
	x.end = x.arrived.Add(span)
	x.returned = x.gateway.callers.Returned(x.route.Name, x.req.Deadline)
	x.span = span
	if spec := x.engine(); spec != nil {
		x.inTime = x.arrived.Add(admission.InTime(x.route.Target, engine.FirstEvent(spec, spec.Slots, x.req.Prompt)))
	}
}

// line is those who wait for a place at one service: the most urgent first,
// among equals who came first.
type line struct {
	mu      sync.Mutex
	waiting []*exchange
}

func (g *Gateway) line(service string) *line {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lines[service]
	if l == nil {
		l = &line{}
		g.lines[service] = l
	}
	return l
}

func (l *line) enter(x *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := len(l.waiting)
	for at > 0 && x.before(l.waiting[at-1]) {
		at--
	}
	l.waiting = slices.Insert(l.waiting, at, x)
}

// begun reports whether the caller has part of the answer: each moment until it
// goes on is a pause that the caller sees.
func (x *exchange) begun() bool { return x.events > 0 }

// before reports whether x goes first: what was begun before all else, and the
// late after those who can be in time.
func (x *exchange) before(other *exchange) bool {
	if x.begun() != other.begun() {
		return x.begun()
	}
	if x.late() != other.late() {
		return other.late()
	}
	return x.urgency() < other.urgency()
}

// order puts those who became late behind the others.
func (l *line) order() {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(l.waiting, func(left, right *exchange) int {
		switch {
		case left.before(right):
			return -1
		case right.before(left):
			return 1
		}
		return 0
	})
}

func (l *line) leave(x *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := slices.Index(l.waiting, x); at >= 0 {
		l.waiting = slices.Delete(l.waiting, at, at+1)
	}
}

// first reports whether nobody waits before x.
func (l *line) first(x *exchange) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0 || l.waiting[0] == x
}

func (l *line) length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// need says which endpoint the request needs.
func (x *exchange) need() fleet.Need {
	need := fleet.Need{
		Domain: x.gateway.cfg.Domain, Exclude: x.tries,
		Extra: x.extra(), Entries: x.gateway.cfg.Entries(), Again: x.sends > 0,
	}
	if svc, ok := x.catalog.Service(x.service); ok && svc.Engine != nil {
		need.Model, need.Prompt = x.req.Model, x.req.Prompt
		need.Floor = x.gateway.floor(x.req.Model)
		need.SoonFloor = x.gateway.cfg.State.Floor(x.req.Model, x.gateway.cfg.Bounds().Version-soonMargin)
		want, _ := x.gateway.cfg.State.WantedOf(x.req.Model)
		need.Wanted = want.Version
		need.Unread = admission.Unread(svc.Engine, x.left(), x.late())
	}
	return need
}

// plainExtra is the requests that a plain endpoint may queue beyond its slots.
const plainExtra = 6

func (x *exchange) extra() int {
	spec := x.engine()
	if spec == nil {
		return plainExtra
	}
	return admission.Extra(spec.Slots, x.late())
}

// floorMargin is the part of a version's time after which only endpoints that
// have it are chosen: the rest is for requests on their way and for clocks.
const floorMargin = 1200 * time.Millisecond

// soonMargin is the part of a version's time after which engines that have an
// older one get only what they begin at once.
const soonMargin = 2500 * time.Millisecond

// floor returns the lowest version of a model that may still serve.
func (g *Gateway) floor(model string) uint64 {
	return g.cfg.State.Floor(model, g.cfg.Bounds().Version-floorMargin)
}

func (x *exchange) engine() *catalog.Engine {
	svc, ok := x.catalog.Service(x.service)
	if !ok {
		return nil
	}
	return svc.Engine
}

// place waits for an endpoint with room. Where none comes in time the refusal
// says when to come back.
func (x *exchange) place(ctx context.Context) (*fleet.Grant, *refusal) {
	g := x.gateway
	group := g.cfg.State.Fleet().Group(x.service)
	queue := g.line(x.service)
	until := x.holdUntil()
	waiting := false
	defer func() {
		if waiting {
			queue.leave(x)
			x.heldFor = g.cfg.Clock.Since(x.arrived)
		}
	}()
	verdict := fleet.Full
	for {
		changed := group.Changed()
		if queue.first(x) {
			var grant *fleet.Grant
			if grant, verdict = group.Pick(x.need()); verdict == fleet.Granted {
				return grant, nil
			}
		}
		if !waiting {
			waiting = true
			queue.enter(x)
		}
		queue.order()
		left := until.Sub(g.cfg.Clock.Now())
		if left <= 0 || ctx.Err() != nil || g.draining.Load() {
			return nil, x.noPlace(ctx, verdict, queue.length())
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-g.cfg.Clock.After(left):
		}
	}
}

// holdUntil returns until when the request may wait for a place.
func (x *exchange) holdUntil() time.Time {
	if x.engine() == nil {
		return x.arrived.Add(max(x.route.Target/2, x.span/3))
	}
	hold := x.arrived.Add(admission.Hold(x.route.Target, x.span))
	if x.sends > 0 {
		// It was begun somewhere: giving up now wastes what was done.
		hold = x.gateway.cfg.Clock.Now().Add(2 * x.route.Target)
	}
	if hold.After(x.end) {
		return x.end
	}
	return hold
}

// late reports whether the request can't be in time any more. One that was begun
// is never late: its caller has part of the answer.
func (x *exchange) late() bool {
	if x.begun() {
		return false
	}
	return x.returned || x.engine() != nil && !x.gateway.cfg.Clock.Now().Before(x.inTime)
}

// left returns the time until the first event, or the next one, is late.
func (x *exchange) left() time.Duration {
	if x.begun() {
		return x.route.Gap
	}
	return x.arrived.Add(x.route.Target).Sub(x.gateway.cfg.Clock.Now())
}

// nobodyReturn is what a caller is told where no endpoint serves its request at
// all: endpoints that load or start again need seconds.
const nobodyReturn = 1500 * time.Millisecond

// noPlace says why nobody took the request and when to come back.
func (x *exchange) noPlace(ctx context.Context, verdict fleet.Verdict, waiting int) *refusal {
	if ctx.Err() != nil {
		return x.overdue(ctx)
	}
	wait := nobodyReturn
	reason := "no endpoint serves this"
	if verdict == fleet.Full {
		reason = "all endpoints are full"
		if spec := x.engine(); spec != nil {
			wait = admission.Return(waiting*x.gateway.cfg.Entries(), engine.Gap(spec))
		}
	}
	return x.notServed(reason, wait)
}

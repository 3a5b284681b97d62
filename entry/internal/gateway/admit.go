package gateway

import (
	"context"
	"sync"
	"time"

	"comfreyrelay.example/relay/admission"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
)

// timing sets when the answer is due and what decides whether it can be in time.
func (x *exchange) initAdmission() {
	x.adm = admission.Request{
		Engine: x.engine(), Target: x.route.Target, Gap: x.route.Gap, Prompt: x.req.Prompt, Priority: x.route.Priority,
		Returned: x.gateway.callers.Returned(x.route.Name, x.req.Deadline), Arrived: x.arrived,
	}
	x.adm.SetSpan(x.route.Timeout, x.req.Deadline)
}

// line holds the requests that wait for a place at one service. Only its head is notified of
// room, so that a state of an engine wakes one request and not all.
type waitQueue struct {
	clock func() time.Time

	mu      sync.Mutex
	order   admission.Line
	wakeups map[*admission.Request]chan struct{} // closed where it is one's turn to look
}

func (g *Gateway) waitQueue(service string) *waitQueue {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.waitQueues[service]
	if q == nil {
		q = &waitQueue{clock: g.cfg.Clock.Now, wakeups: map[*admission.Request]chan struct{}{}}
		g.waitQueues[service] = q
	}
	return q
}

// enter adds a request that found no place.
func (q *waitQueue) add(req *admission.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.order.Enter(q.clock(), req)
	q.wakeups[req] = make(chan struct{}, 1)
	if q.order.Len() > 1 && q.order.Head(q.clock()) == req {
		q.wakeHead() // it goes before those who looked in vain
	}
}

// leave takes a request out and lets the next one look.
func (q *waitQueue) remove(req *admission.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.order.Leave(req)
	delete(q.wakeups, req)
	q.wakeHead()
}

// call notifies the head that it is its turn; l.mu is held.
func (q *waitQueue) wakeHead() {
	head := q.order.Head(q.clock())
	if head == nil {
		return
	}
	select {
	case q.wakeups[head] <- struct{}{}:
	default:
	}
}

// first reports whether nobody waits before the request. One that does not wait yet is
// first only where nobody does.
func (q *waitQueue) isNext(req *admission.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	head := q.order.Head(q.clock())
	return head == nil || head == req
}

// turn returns what the request waits for: its turn where others go first, and until
// when the order stands.
func (q *waitQueue) status(req *admission.Request) (wakeup <-chan struct{}, isHead bool, changesAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	head := q.order.Head(q.clock())
	if head != req {
		q.wakeHead()
	}
	return q.wakeups[req], head == req, q.order.ChangesAt()
}

// ahead returns how many wait before the request.
func (q *waitQueue) ahead(req *admission.Request) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.order.Ahead(q.clock(), req)
}

func (q *waitQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.order.Len()
}

// need says which endpoint the request needs.
func (x *exchange) need() fleet.Need {
	g := x.gateway
	need := x.adm.Need(g.cfg.Clock.Now(), x.req.Model, g.cfg.Domain, g.cfg.Entries())
	need.Exclude = x.tried
	if x.adm.Engine != nil {
		need.Last = !x.route.Repeatable() || !x.attemptsLeft(x.attemptsUsed+1)
		need.Floor = g.minVersion(x.req.Model)
		need.SoonFloor = g.cfg.State.Floor(x.req.Model, g.cfg.Bounds().Version-nextMinVersionMargin)
		need.Ends = g.cfg.State.Ends(x.req.Model, need.SoonFloor, g.cfg.Bounds().Version)
		want, _ := g.cfg.State.WantedOf(x.req.Model)
		need.Wanted = want.Version
	}
	return need
}

// floorMargin is the part of a version's time after which only endpoints that
// have it are chosen: the rest is for requests on their way and for clocks.
const minVersionMargin = 1200 * time.Millisecond

// soonMargin is the part of a version's time after which engines that have an
// older one get only what they begin at once.
const nextMinVersionMargin = 2500 * time.Millisecond

// floor returns the lowest version of a model that may still serve.
func (g *Gateway) minVersion(model string) uint64 {
	return g.cfg.State.Floor(model, g.cfg.Bounds().Version-minVersionMargin)
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
func (x *exchange) acquireEndpoint(ctx context.Context) (*fleet.Grant, *refusal) {
	if grant := x.reserved; grant != nil && grant.Good() {
		x.reserved = nil
		return grant, nil
	}
	x.releaseReserved()
	g := x.gateway
	group := g.cfg.State.Fleet().Group(x.service)
	queue := g.waitQueue(x.service)
	until := x.adm.HoldUntil(g.cfg.Clock.Now())
	waiting := false
	defer func() {
		if waiting {
			queue.remove(&x.adm)
			x.queuedFor = g.cfg.Clock.Since(x.arrived)
		}
	}()
	verdict := fleet.Full
	for {
		changed := group.Changed()
		need := x.need()
		if queue.isNext(&x.adm) {
			var grant *fleet.Grant
			if grant, verdict = group.Pick(need); verdict == fleet.Granted {
				return grant, nil
			}
		}
		if !waiting {
			waiting = true
			queue.add(&x.adm)
		}
		if refused := x.refuseBlocked(group, need, queue, until); refused != nil {
			return nil, refused
		}
		draining := g.draining.Load() && !x.adm.Sent
		if !g.cfg.Clock.Now().Before(until) || ctx.Err() != nil || draining {
			return nil, x.refuseNoRoom(ctx, verdict, queue.length())
		}
		x.waitForRoom(ctx, queue, changed, until)
	}
}

// unservable refuses a request that its endpoints won't admit in time: their rate limits don't, or
// they asked this entry for rest; nil: they may.
func (x *exchange) refuseBlocked(group *fleet.Group, need fleet.Need, queue *waitQueue, until time.Time) *refusal {
	backlog, ok := group.Backlog(need, queue.ahead(&x.adm))
	admitted := !x.gateway.cfg.Clock.Now().Add(backlog.Wait).After(until) && !backlog.Elsewhere && !backlog.Tried
	if !ok || admitted {
		return nil
	}
	reason := "endpoints limit their requests"
	if backlog.Rest {
		reason = "endpoints ask for rest"
	}
	refused := x.refuseUnserved(reason, backlog.Wait)
	// A rest binds this entry alone.
	refused.closeConn = backlog.Elsewhere || backlog.Rest
	return refused
}

// wait waits until the request should look for a place again: for its turn, and once it
// is first for room.
func (x *exchange) waitForRoom(ctx context.Context, queue *waitQueue, changed <-chan struct{}, until time.Time) {
	clock := x.gateway.cfg.Clock
	wakeup, isHead, changesAt := queue.status(&x.adm)
	if isHead {
		until = earliest(until, changesAt, x.gateway.cfg.State.Fleet().Group(x.service).AdmitsAt())
	} else {
		changed = nil
	}
	timer := clock.NewTimer(until.Sub(clock.Now()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wakeup:
	case <-changed:
	case <-timer.Chan():
	}
}

// earliest returns the earliest of some times, of which zero ones don't count.
func earliest(first time.Time, others ...time.Time) time.Time {
	for _, other := range others {
		if !other.IsZero() && other.Before(first) {
			first = other
		}
	}
	return first
}

// noPlace says why nobody took the request and when to come back.
func (x *exchange) refuseNoRoom(ctx context.Context, verdict fleet.Verdict, waiting int) *refusal {
	if ctx.Err() != nil {
		return x.refuseCanceled(ctx)
	}
	reason := "no endpoint serves this"
	if verdict == fleet.Full {
		reason = "all endpoints are full"
	}
	return x.refuseUnserved(reason, x.adm.ReturnAfter(verdict, waiting, x.gateway.cfg.Entries()))
}

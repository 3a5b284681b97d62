package gateway

import (
	"context"
	"sync"
	"time"

	"comfreyrelay.example/relay/admission"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
)

// initAdmission fills in what admission decides by: the time that the caller has, the work that is left and
// the priorities.
func (x *exchange) initAdmission() {
	engine := x.engine()
	x.adm = admission.Request{Engine: engine, Prompt: x.req.Prompt, Priority: x.route.Priority, Arrived: x.arrived}
	if engine == nil {
		x.adm.WorkTime = x.gateway.workTimes.Usual(x.service)
	} else {
		x.adm.Answer = x.expectedAnswer(engine)
	}
	if x.route.Kind == catalog.Stream {
		x.adm.Patience = admission.Patience(x.route.Target, x.route.Gap)
	}
	x.adm.SetDeadline(x.route.Timeout, x.req.Deadline)
	x.adm.LimitDeadline(x.gateway.stop.limit(x.adm.Deadline))
}

// expectedAnswer returns the expected number of tokens of the answer. The caller's own estimate is often far
// off, and would keep requests with a large one from waiting.
func (x *exchange) expectedAnswer(engine *catalog.Engine) int {
	if x.req.MaxAnswer > 0 {
		return min(engine.MeanAnswerTokens, x.req.MaxAnswer)
	}
	return engine.MeanAnswerTokens
}

// waitQueue orders the requests that wait for a free slot at one service. Only its head waits for
// capacity changes, so that an engine's state report wakes one request and not all of them.
type waitQueue struct {
	mu      sync.Mutex
	order   admission.Line
	wakeups map[*admission.Request]chan struct{} // receives when the request should try again
}

// waitQueue returns the queue of a service and creates it on first use.
func (g *Gateway) waitQueue(service string) *waitQueue {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.waitQueues[service]
	if q == nil {
		q = &waitQueue{wakeups: map[*admission.Request]chan struct{}{}}
		g.waitQueues[service] = q
	}
	return q
}

// add enqueues a request that found no free slot.
func (q *waitQueue) add(req *admission.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.order.Enter(req)
	q.wakeups[req] = make(chan struct{}, 1)
	if q.order.Len() == 1 {
		return // it has just tried without success
	}
	if q.order.Head() == req {
		q.wake(req) // it precedes requests that already tried
	}
	if last := q.order.Last(); last != req {
		q.wake(last) // its turn may come too late now
	}
}

// wake tells a waiting request to check its place again. The caller holds q.mu.
func (q *waitQueue) wake(req *admission.Request) {
	select {
	case q.wakeups[req] <- struct{}{}:
	default:
	}
}

// remove dequeues a request and wakes the new head.
func (q *waitQueue) remove(req *admission.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.order.Leave(req)
	delete(q.wakeups, req)
	q.wakeHead()
}

// wakeHead tells the head of the queue to try for a slot. The caller holds q.mu.
func (q *waitQueue) wakeHead() {
	if head := q.order.Head(); head != nil {
		q.wake(head)
	}
}

// isNext reports whether no other request precedes this one. A request that is not queued yet is
// next only if the queue is empty.
func (q *waitQueue) isNext(req *admission.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	head := q.order.Head()
	return head == nil || head == req
}

// status returns the channel that wakes the request, and whether it is the head.
func (q *waitQueue) status(req *admission.Request) (wakeup <-chan struct{}, isHead bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	head := q.order.Head()
	if head != req {
		q.wakeHead()
	}
	return q.wakeups[req], head == req
}

// ahead returns the number of requests that precede this one.
func (q *waitQueue) ahead(req *admission.Request) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.order.Ahead(req)
}

func (q *waitQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.order.Len()
}

// need returns the criteria by which an endpoint is chosen for the next attempt.
func (x *exchange) need() fleet.Need {
	g := x.gateway
	need := x.adm.Need(x.req.Model, g.cfg.Domain, g.cfg.Entries())
	need.Exclude = x.tried
	if x.adm.Engine != nil {
		need.FinalAttempt = !x.route.Repeatable() || !x.attemptsLeft(x.attemptsUsed+1)
		need.Floor = g.minVersion(x.req.Model)
		need.SoonFloor = g.cfg.State.Floor(x.req.Model, g.cfg.Bounds().VersionRollout-nextMinVersionMargin)
		need.VersionEndsIn = g.cfg.State.OlderVersionsEndIn(x.req.Model, need.SoonFloor, g.cfg.Bounds().VersionRollout)
		want, _ := g.cfg.State.WantedOf(x.req.Model)
		need.Wanted = want.Version
	}
	return need
}

// minVersionMargin is how long before the deadline of a version rollout only endpoints that have
// loaded the version are chosen. It covers requests in transit and clock differences.
const minVersionMargin = 1200 * time.Millisecond

// nextMinVersionMargin is how long before the deadline of a version rollout engines with an older
// version only get requests that they can start at once.
const nextMinVersionMargin = 2500 * time.Millisecond

// minVersion returns the lowest version of a model that may still serve requests, 0 for any.
func (g *Gateway) minVersion(model string) uint64 {
	return g.cfg.State.Floor(model, g.cfg.Bounds().VersionRollout-minVersionMargin)
}

// engine returns the engine settings of the request's service, nil if it runs no engine.
func (x *exchange) engine() *catalog.Engine {
	svc, ok := x.catalog.Service(x.service)
	if !ok {
		return nil
	}
	return svc.Engine
}

// acquireEndpoint waits until an endpoint has a free slot and takes it. If none is free in time,
// the refusal says when the caller should retry.
func (x *exchange) acquireEndpoint(ctx context.Context) (*fleet.Grant, *refusal) {
	if grant := x.reserved; grant != nil && grant.AcceptsRequests() {
		x.reserved = nil
		return grant, nil
	}
	x.releaseReserved()
	g := x.gateway
	group := g.cfg.State.Fleet().Group(x.service)
	queue := g.waitQueue(x.service)
	holdUntil := g.stop.limit(x.adm.LatestStart())
	waiting := false
	defer func() {
		if waiting {
			queue.remove(&x.adm)
			x.queuedFor = g.cfg.Clock.Since(x.arrived)
		}
	}()
	if x.adm.Hopeless(g.cfg.Clock.Now()) {
		return nil, x.refuseUnserved("the caller has too little time left", x.queueTime(group, x.need(), queue.length()))
	}
	verdict := fleet.Full
	for {
		if g.stop.draining() && !x.adm.Sent {
			return nil, refuseDraining()
		}
		// Both are read before the choice: what changes or ends after it must wake the request.
		changed, admitsAt := group.Changed(), group.AdmitsAt()
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
		if refused := x.refuseBlocked(group, need, queue, holdUntil); refused != nil {
			return nil, refused
		}
		turnAt := g.cfg.Clock.Now().Add(x.queueTime(group, need, queue.ahead(&x.adm)))
		if !turnAt.Before(holdUntil) || ctx.Err() != nil {
			return nil, x.refuseNoRoom(ctx, verdict, x.queueTime(group, need, queue.length()))
		}
		x.waitForRoom(ctx, queue, changed, admitsAt, holdUntil)
	}
}

// refuseBlocked refuses a request that no endpoint will accept in time, because of their rate
// limits or because they asked this entry to pause. It returns nil if one may accept it.
func (x *exchange) refuseBlocked(group *fleet.Group, need fleet.Need, queue *waitQueue, holdUntil time.Time) *refusal {
	backlog, ok := group.Backlog(need, queue.ahead(&x.adm))
	admissible := !x.gateway.cfg.Clock.Now().Add(backlog.Wait).After(holdUntil) && !backlog.NoShare && !backlog.AllTried
	if !ok || admissible {
		return nil
	}
	reason := "endpoints limit their requests"
	if backlog.BackOff {
		reason = "endpoints ask for rest"
	}
	refused := x.refuseUnserved(reason, backlog.Wait)
	// The pause applies to this entry only, so another entry may serve the caller.
	refused.closeConn = backlog.NoShare || backlog.BackOff
	return refused
}

// waitForRoom waits until the request should try for a slot again: until it is woken as the new
// head of the queue, or, if it is the head, until capacity may have changed or an endpoint that blocks
// requests admits them.
func (x *exchange) waitForRoom(ctx context.Context, queue *waitQueue, changed <-chan struct{}, admitsAt, until time.Time) {
	clock := x.gateway.cfg.Clock
	wakeup, isHead := queue.status(&x.adm)
	if isHead {
		until = earliest(until, admitsAt)
	} else {
		changed = nil
	}
	timer := clock.NewTimer(until.Sub(clock.Now()))
	defer timer.Stop()
	var drained <-chan struct{}
	if !x.adm.Sent {
		drained = x.gateway.stop.drained.Done()
	}
	select {
	case <-ctx.Done():
	case <-drained:
	case <-wakeup:
	case <-changed:
	case <-timer.Chan():
	}
}

// earliest returns the earliest of the times. It ignores zero values among others.
func earliest(first time.Time, others ...time.Time) time.Time {
	for _, other := range others {
		if !other.IsZero() && other.Before(first) {
			first = other
		}
	}
	return first
}

// queueTime returns the expected time until this entry has served a number of waiting requests.
func (x *exchange) queueTime(group *fleet.Group, need fleet.Need, requests int) time.Duration {
	return x.adm.QueueTime(requests, group.Slots(need), x.gateway.cfg.Entries())
}

// refuseNoRoom refuses a request that got no slot, or whose turn would come too late, with the reason and the
// time to retry.
func (x *exchange) refuseNoRoom(ctx context.Context, verdict fleet.Verdict, queueTime time.Duration) *refusal {
	if ctx.Err() != nil {
		return x.refuseCanceled(ctx)
	}
	reason := "no endpoint serves this"
	if verdict == fleet.Full {
		reason = "all endpoints are full"
	}
	return x.refuseUnserved(reason, x.adm.RetryAfter(verdict, queueTime))
}

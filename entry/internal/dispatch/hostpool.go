package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/limit"
	"comfreyrelay.example/relay/route"
)

// Constants of a lane.
const (
	tickInterval = 20 * time.Millisecond // while requests wait
	maxWaiting   = limit.DefaultMaxWaiting
	noHostRetry  = time.Second
	minRetry     = 50 * time.Millisecond
	maxRetry     = 5 * time.Second
	// defaultServiceTime stands for the time that an answer takes until one did.
	defaultServiceTime = 100 * time.Millisecond
	// estimateMargin makes the estimates pessimistic: what is late is worth nothing,
	// and the room it took is lost.
	estimateMargin = 1.4
	// maxQueueShare is the part of a request's time that it may spend waiting: a
	// queue longer than that only makes all answers late.
	maxQueueShare = 0.5
)

// hostPool is the queue for the hosts of one model or one service, with what this
// entry knows of them, under one lock.
type hostPool struct {
	clock   clockwork.Clock
	refresh func() // brings the hosts up to date; called without the lock

	mu          sync.Mutex
	table       *route.Table
	queue       *limit.Queue // costs are expected seconds on a host
	inFlight    int          // attempts placed and not finished
	tickPending bool         // a tick is due
}

// waiter is a request in the queue.
type waiter struct {
	req      *Request
	criteria func() route.Ask // evaluated at each try: versions move meanwhile
	item     limit.Item
	result   chan placement // holds one; written once, by whoever takes it out
}

type placement struct {
	choice route.Choice
	err    *failure.Error // nil with a choice
}

func newHostPool(clock clockwork.Clock, options route.Options, refresh func()) *hostPool {
	return &hostPool{
		clock:   clock,
		refresh: refresh,
		table:   route.NewTable(options),
		queue:   limit.NewQueue(maxWaiting),
	}
}

func (p *hostPool) update(hosts []route.Host, entries int) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Update(now, hosts, entries)
	p.placeWaiting(now)
}

// acquire waits for a host with room until ctx ends or the request cannot be
// on time any more; it returns at once if that is plain from the start.
func (p *hostPool) acquire(ctx context.Context, req *Request, criteria func() route.Ask) (route.Choice, *failure.Error) {
	waiting, immediate := p.placeOrEnqueue(req, criteria)
	if waiting == nil {
		return immediate.choice, immediate.err
	}
	select {
	case got := <-waiting.result:
		return got.choice, got.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	removed := p.queue.Remove(&waiting.item)
	p.mu.Unlock()
	if !removed {
		got := <-waiting.result // it was placed at the same moment
		return got.choice, got.err
	}
	return route.Choice{}, errLate(minRetry)
}

// placeOrEnqueue places the request or puts it into the queue.
func (p *hostPool) placeOrEnqueue(req *Request, criteria func() route.Ask) (*waiter, placement) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.missesDeadline(now, req) {
		return nil, placement{err: errLate(p.drainTime())}
	}
	if p.queue.Len() == 0 {
		choice, reason := p.pick(now, req, criteria)
		switch reason {
		case route.Chosen:
			return nil, placement{choice: choice}
		case route.NoHost:
			return nil, placement{err: errNoHost()}
		case route.Busy:
		}
	}
	if wait, late := p.waitsTooLong(now, req); late {
		return nil, placement{err: errLate(wait)}
	}
	waiting := &waiter{req: req, criteria: criteria, result: make(chan placement, 1)}
	waiting.item = limit.Item{
		Customer: req.Customer, Weight: req.Weight, Cost: p.serviceTime(now, req).Seconds(), Deadline: req.Deadline, Value: waiting,
	}
	if dropped := p.queue.Push(&waiting.item); dropped != nil {
		dropped.Value.(*waiter).result <- placement{err: errQueueFull(p.drainTime())}
	}
	p.placeWaiting(now)
	p.scheduleTick()
	return waiting, placement{}
}

// reserve takes a place at another host than that of a choice, without waiting, for an answer in
// progress there; false: none has room.
func (p *hostPool) reserve(req *Request, criteria func() route.Ask, current route.Choice) (route.Choice, bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, reason := p.pick(now, req, criteria)
	if reason != route.Chosen {
		return route.Choice{}, false
	}
	if choice.Host.ID == current.Host.ID { // no other host serves it
		p.table.Finish(now, choice, route.Result{End: route.EndCancelled})
		p.inFlight--
		return route.Choice{}, false
	}
	return choice, true
}

// pick reserves a host with room. The lock is held.
func (p *hostPool) pick(now time.Time, req *Request, criteria func() route.Ask) (route.Choice, route.Reason) {
	want := criteria()
	want.Large = req.Large
	choice, reason := p.table.Pick(now, want)
	if reason == route.Chosen {
		p.inFlight++
	}
	return choice, reason
}

// serviceTime estimates the time that the request takes on a host.
func (p *hostPool) serviceTime(now time.Time, req *Request) time.Duration {
	if service := p.table.Service(now, req.MaxTokens); service > 0 {
		return service
	}
	return defaultServiceTime
}

// missesDeadline reports whether the request could not be answered by its deadline
// even if a host took it now. With no attempt in progress there is none that
// could correct the estimate, and the request is let through.
func (p *hostPool) missesDeadline(now time.Time, req *Request) bool {
	if p.inFlight == 0 {
		return false
	}
	service := p.table.Service(now, req.MaxTokens)
	return service > 0 && now.Add(withMargin(service)).After(req.Deadline)
}

// waitsTooLong estimates whether the request would wait too long. By Little's law
// the work ahead leaves at the rate of the attempts in progress over the time
// each takes; with none in progress there is no estimate.
func (p *hostPool) waitsTooLong(now time.Time, req *Request) (wait time.Duration, late bool) {
	if p.inFlight == 0 || p.table.Service(now, req.MaxTokens) == 0 {
		return 0, false
	}
	ahead := p.queue.Ahead(req.Customer, req.Weight)
	wait = time.Duration(ahead / float64(p.inFlight) * float64(time.Second))
	left := req.Deadline.Sub(now)
	late = wait > time.Duration(maxQueueShare*float64(left)) || withMargin(wait+p.serviceTime(now, req)) > left
	return wait, late
}

func withMargin(estimate time.Duration) time.Duration {
	return time.Duration(estimateMargin * float64(estimate))
}

func (p *hostPool) drainTime() time.Duration {
	return time.Duration(p.queue.Cost() / float64(max(1, p.inFlight)) * float64(time.Second))
}

// placeWaiting places waiting requests while there is room. The lock is held.
func (p *hostPool) placeWaiting(now time.Time) {
	for p.queue.Len() > 0 {
		placed := p.queue.Next(func(item *limit.Item) bool {
			waiting := item.Value.(*waiter)
			if p.missesDeadline(now, waiting.req) {
				waiting.result <- placement{err: errLate(p.drainTime())}
				return true
			}
			choice, reason := p.pick(now, waiting.req, waiting.criteria)
			switch reason {
			case route.Chosen:
				waiting.result <- placement{choice: choice}
				return true
			case route.NoHost:
				waiting.result <- placement{err: errNoHost()}
				return true
			default:
				return false
			}
		})
		if placed == nil {
			return
		}
	}
}

// scheduleTick makes sure that waiting requests are looked at again although
// nothing of this entry's own ends: other entries' requests do. The lock is
// held.
func (p *hostPool) scheduleTick() {
	if p.tickPending || p.queue.Len() == 0 {
		return
	}
	p.tickPending = true
	p.clock.AfterFunc(tickInterval, p.tick)
}

func (p *hostPool) tick() {
	p.refresh()
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tickPending = false
	p.rejectLate(now)
	p.placeWaiting(now)
	p.scheduleTick()
}

// rejectLate answers those at once that can no longer be on time: holding them
// until their deadline would only delay the caller's next try.
func (p *hostPool) rejectLate(now time.Time) {
	for _, item := range p.queue.Expired(now.Add(p.table.Service(now, 0))) {
		item.Value.(*waiter).result <- placement{err: errLate(p.drainTime())}
	}
}

// finish gives a choice back and places others on the room.
func (p *hostPool) finish(choice route.Choice, result route.Result) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Finish(now, choice, result)
	p.inFlight--
	p.placeWaiting(now)
}

// observeLoad takes the load that came with a frame.
func (p *hostPool) observeLoad(choice route.Choice, running, queued uint32) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Load(now, choice.Host.ID, int(running), int(queued))
}

// recordSpeed takes the time between tokens of an answer that is still coming, and
// reports whether it should go on elsewhere: its host is slow, and there are
// others.
func (p *hostPool) recordSpeed(choice route.Choice, gap time.Duration) (leave bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Speed(now, choice, gap) && p.table.Hosts() > 1
}

// patience returns how long a silent host is waited for: before the first
// token, and between tokens.
func (p *hostPool) typicalTimes() (first, between time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.FirstToken(), p.table.TokenGap()
}

// Causes of the errors that a Result bears, for errors.Is.
var (
	ErrNoHost = errors.New("no host")
	ErrLate   = errors.New("too late")
)

func errNoHost() *failure.Error {
	return failure.Wrap(ErrNoHost, failure.Unavailable, "no host serves this model or service now",
		"try again later, or ask an operator whether it should be serving").WithRetryAfter(noHostRetry)
}

func errLate(wait time.Duration) *failure.Error {
	return failure.Wrap(ErrLate, failure.Exhausted, "the request cannot be answered by its deadline",
		"try again later, or allow more time in deadlineMillis").WithRetryAfter(clampRetry(wait))
}

func errQueueFull(wait time.Duration) *failure.Error {
	return failure.New(failure.Exhausted, "too many requests wait",
		"try again later, and send fewer at once").WithRetryAfter(clampRetry(wait))
}

func clampRetry(wait time.Duration) time.Duration { return min(maxRetry, max(minRetry, wait)) }

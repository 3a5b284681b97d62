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

// Limits and estimates of a host pool.
const (
	tickInterval = 20 * time.Millisecond // how often waiting requests are placed again
	maxWaiting   = limit.DefaultMaxWaiting
	// noHostRetry is the retry-after time that callers receive if no host serves the
	// request or the retry budget is exhausted.
	noHostRetry = time.Second
	// Other retry-after times are clamped to these bounds.
	minRetry = 50 * time.Millisecond
	maxRetry = 5 * time.Second
	// defaultServiceTime is the assumed duration of an answer until one was measured.
	defaultServiceTime = 100 * time.Millisecond
	// estimateMargin makes estimates pessimistic: a late answer is useless, and the
	// capacity that it used is wasted.
	estimateMargin = 1.4
	// maxQueueShare is the fraction of the time to its deadline that a request may
	// spend in the queue. A longer queue would only make all answers late.
	maxQueueShare = 0.5
)

// hostPool holds the hosts of one model or service, as far as this entry knows them,
// and the queue of requests that wait for one. One lock guards both.
type hostPool struct {
	clock   clockwork.Clock
	refresh func() // updates the hosts; called without the lock

	mu          sync.Mutex
	table       *route.Table
	queue       *limit.Queue // an item's cost is its expected seconds on a host
	inFlight    int          // attempts placed and not yet finished
	tickPending bool         // a call of tick is scheduled
}

// waiter is a queued request.
type waiter struct {
	req      *Request
	criteria func() route.Requirements // evaluated at each try, because the allowed versions change
	item     limit.Item
	result   chan placement // capacity 1; written once, by the goroutine that removes the waiter from the queue
}

// placement is the result of a request for a host.
type placement struct {
	choice route.Choice
	err    *failure.Error // nil if a host was chosen
}

func newHostPool(clock clockwork.Clock, options route.Options, refresh func()) *hostPool {
	return &hostPool{
		clock:   clock,
		refresh: refresh,
		table:   route.NewTable(options),
		queue:   limit.NewQueue(maxWaiting),
	}
}

// update replaces the hosts and places waiting requests on them.
func (p *hostPool) update(hosts []route.Host, entries int) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Update(now, hosts, entries)
	p.placeWaiting(now)
}

// acquire waits for a host with capacity until ctx ends or the request can no longer
// meet its deadline. It returns at once if the deadline is already out of reach.
func (p *hostPool) acquire(ctx context.Context, req *Request, criteria func() route.Requirements) (route.Choice, *failure.Error) {
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
		got := <-waiting.result // the request left the queue at the same moment
		return got.choice, got.err
	}
	return route.Choice{}, errLate(minRetry)
}

// placeOrEnqueue places or rejects the request at once, or puts it into the queue and
// returns its waiter.
func (p *hostPool) placeOrEnqueue(req *Request, criteria func() route.Requirements) (*waiter, placement) {
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

// reserve reserves a place, without waiting, for an answer in progress on the current
// host. It returns false if no other host has capacity.
func (p *hostPool) reserve(req *Request, criteria func() route.Requirements, current route.Choice) (route.Choice, bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, reason := p.pick(now, req, criteria)
	if reason != route.Chosen {
		return route.Choice{}, false
	}
	if choice.Host.ID == current.Host.ID { // no other host serves the request
		p.table.Finish(now, choice, route.Result{End: route.EndCancelled})
		p.inFlight--
		return route.Choice{}, false
	}
	return choice, true
}

// pick reserves a host with capacity. The caller holds the lock.
func (p *hostPool) pick(now time.Time, req *Request, criteria func() route.Requirements) (route.Choice, route.Reason) {
	want := criteria()
	want.Large = req.Large
	choice, reason := p.table.Pick(now, want)
	if reason == route.Chosen {
		p.inFlight++
	}
	return choice, reason
}

// serviceTime estimates how long the request takes on a host.
func (p *hostPool) serviceTime(now time.Time, req *Request) time.Duration {
	if service := p.table.EstimateDuration(now, req.MaxTokens); service > 0 {
		return service
	}
	return defaultServiceTime
}

// missesDeadline reports whether the request would miss its deadline even if it were
// placed now. If no attempt is in progress, the request is let through, because
// otherwise no attempt could ever correct the estimate.
func (p *hostPool) missesDeadline(now time.Time, req *Request) bool {
	if p.inFlight == 0 {
		return false
	}
	service := p.table.EstimateDuration(now, req.MaxTokens)
	return service > 0 && now.Add(withMargin(service)).After(req.Deadline)
}

// waitsTooLong estimates the wait in the queue and reports whether it is too long.
// By Little's law, the throughput is the number of attempts in progress divided by
// the time that each takes. With none in progress there is no estimate.
func (p *hostPool) waitsTooLong(now time.Time, req *Request) (wait time.Duration, late bool) {
	if p.inFlight == 0 || p.table.EstimateDuration(now, req.MaxTokens) == 0 {
		return 0, false
	}
	ahead := p.queue.Ahead(req.Customer, req.Weight)
	wait = time.Duration(ahead / float64(p.inFlight) * float64(time.Second))
	left := req.Deadline.Sub(now)
	late = wait > time.Duration(maxQueueShare*float64(left)) || withMargin(wait+p.serviceTime(now, req)) > left
	return wait, late
}

// withMargin multiplies the estimate by estimateMargin.
func withMargin(estimate time.Duration) time.Duration {
	return time.Duration(estimateMargin * float64(estimate))
}

// drainTime estimates how long the current queue takes to empty.
func (p *hostPool) drainTime() time.Duration {
	return time.Duration(p.queue.Cost() / float64(max(1, p.inFlight)) * float64(time.Second))
}

// placeWaiting places waiting requests while hosts have capacity. The caller holds
// the lock.
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

// scheduleTick schedules another attempt to place the waiting requests. Capacity can
// become free without an event in this entry, when requests of other entries end.
// The caller holds the lock.
func (p *hostPool) scheduleTick() {
	if p.tickPending || p.queue.Len() == 0 {
		return
	}
	p.tickPending = true
	p.clock.AfterFunc(tickInterval, p.tick)
}

// tick updates the hosts, rejects late requests and places waiting ones.
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

// rejectLate rejects the waiting requests that can no longer meet their deadline.
// Keeping them until the deadline would only delay the caller's next try.
func (p *hostPool) rejectLate(now time.Time) {
	for _, item := range p.queue.Expired(now.Add(p.table.EstimateDuration(now, 0))) {
		item.Value.(*waiter).result <- placement{err: errLate(p.drainTime())}
	}
}

// finish releases a choice and places waiting requests on the freed capacity.
func (p *hostPool) finish(choice route.Choice, result route.Result) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Finish(now, choice, result)
	p.inFlight--
	p.placeWaiting(now)
}

// observeLoad records the host load that a frame reported.
func (p *hostPool) observeLoad(choice route.Choice, running, queued uint32) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.RecordLoad(now, choice.Host.ID, int(running), int(queued))
}

// recordSpeed records the time between tokens of an answer in progress. It reports
// whether the answer should move to another host, because this one is slow and
// there are others.
func (p *hostPool) recordSpeed(choice route.Choice, gap time.Duration) (leave bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.RecordTokenGap(now, choice, gap) && p.table.Hosts() > 1
}

// typicalTimes returns the typical time to the first token and between tokens, or 0
// while unknown.
func (p *hostPool) typicalTimes() (first, between time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.TypicalFirstToken(), p.table.TypicalTokenGap()
}

// Causes of Result.Err, for use with errors.Is.
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
	return failure.New(failure.Exhausted, "too many requests are waiting",
		"try again later, with fewer concurrent requests").WithRetryAfter(clampRetry(wait))
}

// clampRetry keeps a retry-after time within minRetry and maxRetry.
func clampRetry(wait time.Duration) time.Duration { return min(maxRetry, max(minRetry, wait)) }

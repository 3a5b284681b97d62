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
	// unknownService stands for the time that an answer takes until one did.
	unknownService = 100 * time.Millisecond
	// lateFactor makes the estimates pessimistic: what is late is worth nothing,
	// and the room it took is lost.
	lateFactor = 1.4
	// queueShare is the part of a request's time that it may spend waiting: a
	// queue longer than that only makes all answers late.
	queueShare = 0.5
)

// Lane is the queue for the hosts of one model or one service, with what this
// entry knows of them, under one lock.
type lane struct {
	clock   clockwork.Clock
	refresh func() // brings the hosts up to date; called without the lock

	mu       sync.Mutex
	table    *route.Table
	queue    *limit.Queue // costs are expected seconds on a host
	inFlight int          // attempts placed and not finished
	ticking  bool         // a tick is due
}

// waiter is a request in the queue.
type waiter struct {
	req    *Request
	ask    func() route.Ask // evaluated at each try: versions move meanwhile
	item   limit.Item
	placed chan placement // holds one; written once, by whoever takes it out
}

type placement struct {
	choice route.Choice
	err    *failure.Error // nil with a choice
}

func newLane(clock clockwork.Clock, options route.Options, refresh func()) *lane {
	return &lane{
		clock:   clock,
		refresh: refresh,
		table:   route.NewTable(options),
		queue:   limit.NewQueue(maxWaiting),
	}
}

func (l *lane) update(hosts []route.Host, entries int) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Update(now, hosts, entries)
	l.pump(now)
}

// acquire waits for a host with room until ctx ends or the request cannot be
// on time any more; it returns at once if that is plain from the start.
func (l *lane) acquire(ctx context.Context, req *Request, ask func() route.Ask) (route.Choice, *failure.Error) {
	wait, now := l.enter(req, ask)
	if wait == nil {
		return now.choice, now.err
	}
	select {
	case got := <-wait.placed:
		return got.choice, got.err
	case <-ctx.Done():
	}
	l.mu.Lock()
	removed := l.queue.Remove(&wait.item)
	l.mu.Unlock()
	if !removed {
		got := <-wait.placed // it was placed at the same moment
		return got.choice, got.err
	}
	return route.Choice{}, errLate(minRetry)
}

// enter places the request or puts it into the queue.
func (l *lane) enter(req *Request, ask func() route.Ask) (*waiter, placement) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.missed(now, req) {
		return nil, placement{err: errLate(l.drainTime())}
	}
	if l.queue.Len() == 0 {
		choice, reason := l.pick(now, req, ask)
		switch reason {
		case route.Chosen:
			return nil, placement{choice: choice}
		case route.NoHost:
			return nil, placement{err: errNoHost()}
		case route.Busy:
		}
	}
	if wait, late := l.tooLate(now, req); late {
		return nil, placement{err: errLate(wait)}
	}
	waiting := &waiter{req: req, ask: ask, placed: make(chan placement, 1)}
	waiting.item = limit.Item{
		Customer: req.Customer, Weight: req.Weight, Cost: l.service(now, req).Seconds(), Deadline: req.Deadline, Value: waiting,
	}
	if dropped := l.queue.Push(&waiting.item); dropped != nil {
		dropped.Value.(*waiter).placed <- placement{err: errFull(l.drainTime())}
	}
	l.pump(now)
	l.keepTicking()
	return waiting, placement{}
}

// reserve takes a place at another host than that of a choice, without waiting, for an answer in
// progress there; false: none has room.
func (l *lane) reserve(req *Request, ask func() route.Ask, from route.Choice) (route.Choice, bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	choice, reason := l.pick(now, req, ask)
	if reason != route.Chosen {
		return route.Choice{}, false
	}
	if choice.Host.ID == from.Host.ID { // no other host serves it
		l.table.Finish(now, choice, route.Result{End: route.EndCancelled})
		l.inFlight--
		return route.Choice{}, false
	}
	return choice, true
}

// pick reserves a host with room. The lock is held.
func (l *lane) pick(now time.Time, req *Request, ask func() route.Ask) (route.Choice, route.Reason) {
	want := ask()
	want.Large = req.Large
	choice, reason := l.table.Pick(now, want)
	if reason == route.Chosen {
		l.inFlight++
	}
	return choice, reason
}

// service estimates the time that the request takes on a host.
func (l *lane) service(now time.Time, req *Request) time.Duration {
	if service := l.table.Service(now, req.MaxTokens); service > 0 {
		return service
	}
	return unknownService
}

// missed reports whether the request could not be answered by its deadline
// even if a host took it now. With no attempt in progress there is none that
// could correct the estimate, and the request is let through.
func (l *lane) missed(now time.Time, req *Request) bool {
	if l.inFlight == 0 {
		return false
	}
	service := l.table.Service(now, req.MaxTokens)
	return service > 0 && now.Add(stretch(service)).After(req.Deadline)
}

// tooLate estimates whether the request would wait too long. By Little's law
// the work ahead leaves at the rate of the attempts in progress over the time
// each takes; with none in progress there is no estimate.
func (l *lane) tooLate(now time.Time, req *Request) (wait time.Duration, late bool) {
	if l.inFlight == 0 || l.table.Service(now, req.MaxTokens) == 0 {
		return 0, false
	}
	ahead := l.queue.Ahead(req.Customer, req.Weight)
	wait = time.Duration(ahead / float64(l.inFlight) * float64(time.Second))
	left := req.Deadline.Sub(now)
	late = wait > time.Duration(queueShare*float64(left)) || stretch(wait+l.service(now, req)) > left
	return wait, late
}

func stretch(estimate time.Duration) time.Duration {
	return time.Duration(lateFactor * float64(estimate))
}

func (l *lane) drainTime() time.Duration {
	return time.Duration(l.queue.Cost() / float64(max(1, l.inFlight)) * float64(time.Second))
}

// pump places waiting requests while there is room. The lock is held.
func (l *lane) pump(now time.Time) {
	for l.queue.Len() > 0 {
		placed := l.queue.Next(func(item *limit.Item) bool {
			waiting := item.Value.(*waiter)
			if l.missed(now, waiting.req) {
				waiting.placed <- placement{err: errLate(l.drainTime())}
				return true
			}
			choice, reason := l.pick(now, waiting.req, waiting.ask)
			switch reason {
			case route.Chosen:
				waiting.placed <- placement{choice: choice}
				return true
			case route.NoHost:
				waiting.placed <- placement{err: errNoHost()}
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

// keepTicking makes sure that waiting requests are looked at again although
// nothing of this entry's own ends: other entries' requests do. The lock is
// held.
func (l *lane) keepTicking() {
	if l.ticking || l.queue.Len() == 0 {
		return
	}
	l.ticking = true
	l.clock.AfterFunc(tickInterval, l.tick)
}

func (l *lane) tick() {
	l.refresh()
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ticking = false
	l.refuseLate(now)
	l.pump(now)
	l.keepTicking()
}

// refuseLate answers those at once that can no longer be on time: holding them
// until their deadline would only delay the caller's next try.
func (l *lane) refuseLate(now time.Time) {
	for _, item := range l.queue.Expired(now.Add(l.table.Service(now, 0))) {
		item.Value.(*waiter).placed <- placement{err: errLate(l.drainTime())}
	}
}

// finish gives a choice back and places others on the room.
func (l *lane) finish(choice route.Choice, result route.Result) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Finish(now, choice, result)
	l.inFlight--
	l.pump(now)
}

// observeLoad takes the load that came with a frame.
func (l *lane) observeLoad(choice route.Choice, running, queued uint32) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Load(now, choice.Host.ID, int(running), int(queued))
}

// speed takes the time between tokens of an answer that is still coming, and
// reports whether it should go on elsewhere: its host is slow, and there are
// others.
func (l *lane) speed(choice route.Choice, gap time.Duration) (leave bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Speed(now, choice, gap) && l.table.Hosts() > 1
}

// patience returns how long a silent host is waited for: before the first
// token, and between tokens.
func (l *lane) patience() (first, between time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.FirstToken(), l.table.TokenGap()
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

func errFull(wait time.Duration) *failure.Error {
	return failure.New(failure.Exhausted, "too many requests wait",
		"try again later, and send fewer at once").WithRetryAfter(clampRetry(wait))
}

func clampRetry(wait time.Duration) time.Duration { return min(maxRetry, max(minRetry, wait)) }

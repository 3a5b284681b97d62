// Package budget limits one process's calls to the platform's key-value service to its
// share of what the service accepts from the whole fleet, and counts the calls.
package budget

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
)

// The default share of one process: a ninth of the 2000 reads and 300 writes per
// second that the service accepts.
const (
	DefaultReadsPerSecond  = 2000.0 / 9
	DefaultWritesPerSecond = 300.0 / 9
)

// maxStartDelay is the interval over which processes that start at the same time spread
// their first calls.
const maxStartDelay = 500 * time.Millisecond

// burstFraction is the part of a second's share that may be used at once; the rest is
// refilled over the second. Submitting a document makes a few writes in a row, which
// should not have to wait even if the share is small. In return the sustained rate is
// lower.
const burstFraction = 0.4

// minWait prevents rounding errors from causing a busy loop of timers.
const minWait = time.Millisecond

// Options configures a Budget.
type Options struct {
	// Role labels the counters, for example "entry".
	Role string
	// ReadsPerSecond and WritesPerSecond are the maximum numbers of calls in any second;
	// 0 stands for the default.
	ReadsPerSecond, WritesPerSecond float64
	Clock                           clockwork.Clock
	// Jitter returns a random number in [0,1); nil stands for rand.Float64.
	Jitter func() float64
}

// Budget delays calls that exceed the process's share. Reads and writes are scheduled
// separately, each with its own lock.
type Budget struct {
	role   string
	reads  *scheduler
	writes *scheduler
}

// New returns a Budget. Its first calls are delayed by a random time of up to
// maxStartDelay, so that processes that restart together do not call at the same time.
func New(opts Options) *Budget {
	jitter := opts.Jitter
	if jitter == nil {
		jitter = rand.Float64
	}
	now := opts.Clock.Now()
	notBefore := now.Add(time.Duration(jitter() * float64(maxStartDelay)))
	return &Budget{
		role:   opts.Role,
		reads:  newScheduler(opts.Clock, newQueue(orDefault(opts.ReadsPerSecond, DefaultReadsPerSecond), notBefore)),
		writes: newScheduler(opts.Clock, newQueue(orDefault(opts.WritesPerSecond, DefaultWritesPerSecond), notBefore)),
	}
}

func orDefault(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}

// Wait blocks until the call may be made. It returns an error of kind Exhausted if the
// context ends first or too many calls are waiting.
func (b *Budget) Wait(ctx context.Context, call Call) error {
	scheduler := b.reads
	if call.Kind.Writes() {
		scheduler = b.writes
	}
	if err := scheduler.wait(ctx, call.priority()); err != nil {
		count(b.role, "refused", call)
		return err
	}
	count(b.role, "sent", call)
	return nil
}

// scheduler grants the calls of one queue as their turn comes.
type scheduler struct {
	clock clockwork.Clock

	mu         sync.Mutex
	queue      *queue
	granted    map[uint64]chan struct{} // by ticket; closed when the call is granted
	lastTicket uint64                   // highest ticket issued
	timerSet   bool                     // a timer that will call grantDue is running
}

func newScheduler(clock clockwork.Clock, queue *queue) *scheduler {
	return &scheduler{clock: clock, queue: queue, granted: map[uint64]chan struct{}{}}
}

// wait blocks until the call is granted or the context ends.
func (s *scheduler) wait(ctx context.Context, level priority) error {
	ticket, granted, err := s.enqueue(level)
	if err != nil {
		return err
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.cancel(ticket)
		return failure.Wrap(ctx.Err(), failure.Exhausted, "the call waited too long for the key-value service's budget",
			"try again later; if it persists, raise kvReadsPerSecond and kvWritesPerSecond in the settings")
	}
}

// enqueue adds a call to the queue. The returned channel is closed when it is granted.
func (s *scheduler) enqueue(level priority) (uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTicket++
	if err := s.queue.add(s.lastTicket, level); err != nil {
		return 0, nil, err
	}
	granted := make(chan struct{})
	s.granted[s.lastTicket] = granted
	ticket := s.lastTicket
	s.grantDue()
	return ticket, granted, nil
}

// cancel removes a call whose caller gave up.
func (s *scheduler) cancel(ticket uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.remove(ticket)
	delete(s.granted, ticket)
}

// grantDue grants the calls whose turn has come and sets a timer for the next one. The
// caller holds s.mu.
func (s *scheduler) grantDue() {
	tickets, next := s.queue.grantDue(s.clock.Now())
	for _, ticket := range tickets {
		close(s.granted[ticket])
		delete(s.granted, ticket)
	}
	if next == 0 || s.timerSet {
		return
	}
	s.timerSet = true
	s.clock.AfterFunc(next, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timerSet = false
		s.grantDue()
	})
}

// counters counts the calls of this process by role, result, kind and key prefix, for
// example "entry.sent.swap.document".
var counters = expvar.NewMap("kvBudget")

func count(role, verdict string, call Call) {
	name := role + "." + verdict + "." + string(call.Kind)
	if prefix := call.Prefix(); prefix != "" {
		name += "." + prefix
	}
	counters.Add(name, 1)
}

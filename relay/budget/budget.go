// Package budget keeps one process within its share of the calls that the
// platform's key-value service takes from the whole fleet, and counts them.
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

// The share of one process where its settings name none: a ninth of the 2000
// reads and 300 writes that the service takes in a second.
const (
	DefaultReadsPerSecond  = 2000.0 / 9
	DefaultWritesPerSecond = 300.0 / 9
)

// startSpread is the time over which processes that start at the same moment
// spread their first calls.
const maxStartDelay = 500 * time.Millisecond

// burstFraction is the part of a second's share that may go out at once; the
// rest is what comes back in a second. A submission of a document makes a few
// writes in a row, which should not wait even where the share is small; what
// is sustained is less in exchange.
const burstFraction = 0.4

// minWait keeps rounding errors from making the timer spin.
const minWait = time.Millisecond

// Options configure a Budget.
type Options struct {
	// Role labels the counters, for example "entry".
	Role string
	// ReadsPerSecond and WritesPerSecond are the most calls that go out in any
	// second; 0 stands for the default.
	ReadsPerSecond, WritesPerSecond float64
	Clock                           clockwork.Clock
	// Jitter returns a random number in [0,1); nil stands for math/rand/v2.
	Jitter func() float64
}

// Budget holds back calls over the process's share. Reads and writes have a
// lane each, with its own lock.
type Budget struct {
	role   string
	reads  *scheduler
	writes *scheduler
}

// New makes a Budget. Its first calls wait a random moment of up to half a
// second, so that a fleet that restarts as one does not call as one.
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

// Wait returns nil once the call may go out. Kind Exhausted: the context ended
// first or too many calls wait already.
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

// lane hands out the grants of one queue.
type scheduler struct {
	clock clockwork.Clock

	mu         sync.Mutex
	queue      *queue
	granted    map[uint64]chan struct{} // closed when the ticket is granted
	lastTicket uint64                   // the highest ticket handed out
	timerSet   bool                     // a timer that will pump is running
}

func newScheduler(clock clockwork.Clock, queue *queue) *scheduler {
	return &scheduler{clock: clock, queue: queue, granted: map[uint64]chan struct{}{}}
}

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

func (s *scheduler) cancel(ticket uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.remove(ticket)
	delete(s.granted, ticket)
}

// pump grants what is due and sets the timer for the rest; s.mu is held.
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

// counters holds the calls of this process by role, verdict, kind and key
// prefix: "entry.sent.swap.document".
var counters = expvar.NewMap("kvBudget")

func count(role, verdict string, call Call) {
	name := role + "." + verdict + "." + string(call.Kind)
	if prefix := call.Prefix(); prefix != "" {
		name += "." + prefix
	}
	counters.Add(name, 1)
}

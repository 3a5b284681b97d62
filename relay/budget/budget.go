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
const startSpread = 500 * time.Millisecond

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
	reads  *lane
	writes *lane
}

// New makes a Budget. Its first calls wait a random moment of up to half a
// second, so that a fleet that restarts as one does not call as one.
func New(opts Options) *Budget {
	jitter := opts.Jitter
	if jitter == nil {
		jitter = rand.Float64
	}
	now := opts.Clock.Now()
	opensAt := now.Add(time.Duration(jitter() * float64(startSpread)))
	return &Budget{
		role:   opts.Role,
		reads:  newLane(opts.Clock, newQueue(orDefault(opts.ReadsPerSecond, DefaultReadsPerSecond), opensAt)),
		writes: newLane(opts.Clock, newQueue(orDefault(opts.WritesPerSecond, DefaultWritesPerSecond), opensAt)),
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
	lane := b.reads
	if call.Kind.Writes() {
		lane = b.writes
	}
	if err := lane.wait(ctx, call.rank()); err != nil {
		count(b.role, "refused", call)
		return err
	}
	count(b.role, "sent", call)
	return nil
}

// lane hands out the grants of one queue.
type lane struct {
	clock clockwork.Clock

	mu      sync.Mutex
	queue   *queue
	ready   map[uint64]chan struct{} // closed when the ticket is granted
	last    uint64                   // the highest ticket handed out
	pending bool                     // a timer that will pump is running
}

func newLane(clock clockwork.Clock, queue *queue) *lane {
	return &lane{clock: clock, queue: queue, ready: map[uint64]chan struct{}{}}
}

func (l *lane) wait(ctx context.Context, rank priority) error {
	ticket, ready, err := l.ask(rank)
	if err != nil {
		return err
	}
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		l.cancel(ticket)
		return failure.Wrap(ctx.Err(), failure.Exhausted, "the call waited too long for the key-value service's budget",
			"try again later; if it persists, raise kvReadsPerSecond and kvWritesPerSecond in the settings")
	}
}

func (l *lane) ask(rank priority) (uint64, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	if err := l.queue.add(l.last, rank); err != nil {
		return 0, nil, err
	}
	ready := make(chan struct{})
	l.ready[l.last] = ready
	ticket := l.last
	l.pump()
	return ticket, ready, nil
}

func (l *lane) cancel(ticket uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.remove(ticket)
	delete(l.ready, ticket)
}

// pump grants what is due and sets the timer for the rest; l.mu is held.
func (l *lane) pump() {
	granted, next := l.queue.pump(l.clock.Now())
	for _, ticket := range granted {
		close(l.ready[ticket])
		delete(l.ready, ticket)
	}
	if next == 0 || l.pending {
		return
	}
	l.pending = true
	l.clock.AfterFunc(next, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pending = false
		l.pump()
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

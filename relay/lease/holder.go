package lease

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

// releaseTimeout limits the revocation of the lease at shutdown.
const releaseTimeout = 2 * time.Second

// counters counts how often this process acquired and lost each lease, under
// keys such as "acquired.planner" and "lapsed.planner".
var counters = expvar.NewMap("lease")

// Holder acquires and renews a named lease on behalf of one process.
type Holder struct {
	name    string
	store   *kv.Store
	clock   clockwork.Clock
	opts    options
	log     *slog.Logger
	changes chan struct{} // holds at most one signal
	ended   chan struct{} // closed when run returns

	mu       sync.Mutex
	state    State
	fence    uint64    // fencing token; valid while state is Holding, only increases
	deadline time.Time // the lease counts as expired from this time on
	stopped  bool      // the context ended; the lease is never held again
}

// Run starts a goroutine that acquires and renews the named lease, and returns
// immediately. When the context ends, the goroutine revokes the lease. The
// margin must cover how far this host's clock may fall behind the service's
// within the ttl, and the ttl must be longer than a few calls to the service.
func Run(ctx context.Context, store *kv.Store, clock clockwork.Clock, name, incarnation string,
	ttl, margin time.Duration, log *slog.Logger) *Holder {
	holder := &Holder{
		name:    name,
		store:   store,
		clock:   clock,
		opts:    options{incarnation: incarnation, ttl: ttl, margin: margin, jitter: rand.Float64},
		log:     log.With("lease", name),
		changes: make(chan struct{}, 1),
		ended:   make(chan struct{}),
		state:   Idle,
	}
	go holder.run(ctx)
	return holder
}

// Holding returns the fencing token while this process holds the lease. It
// checks the clock on each call, so that a process that resumes after a pause
// longer than its lease gets false before it has processed any other event.
//
// Rule OWNCLOCK of spec/lease.pml.
func (h *Holder) Holding() (fence uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != Holding || h.stopped || expired(h.deadline, h.clock.Now()) {
		return 0, false
	}
	return h.fence, true
}

// State returns the current state. It returns Lapsed once the deadline has
// passed, even if the state machine has not run since.
func (h *Holder) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == Holding && expired(h.deadline, h.clock.Now()) {
		return Lapsed
	}
	return h.state
}

// Changes returns a channel that receives a value after the lease was acquired
// or lost. Several changes may be merged into one value; call Holding for the
// current state.
func (h *Holder) Changes() <-chan struct{} { return h.changes }

// Done returns a channel that is closed once the context has ended and the
// attempt to revoke the lease has finished.
func (h *Holder) Done() <-chan struct{} { return h.ended }

func (h *Holder) run(ctx context.Context) {
	defer close(h.ended)
	machine := newMachine(h.opts)
	stop := context.AfterFunc(ctx, h.stop)
	defer stop()
	for ctx.Err() == nil {
		act := machine.next(h.clock.Now())
		h.publish(machine)
		res := h.execute(ctx, act)
		machine.handleResult(act, res, h.clock.Now())
		h.publish(machine)
	}
	h.stop()
	h.release(machine.lease)
}

// stop makes Holding return false at once when the context ends, before the
// lease is revoked.
func (h *Holder) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
}

// publish copies the machine's state to the fields that Holding and State read,
// and signals an acquisition or a loss of the lease.
func (h *Holder) publish(machine *machine) {
	fence, deadline, holding := machine.holding()
	h.mu.Lock()
	before := h.state
	fenceGrew := !holding || before == Holding || fence > h.fence
	h.state = machine.state
	h.deadline = deadline
	if holding {
		h.fence = fence
	}
	h.mu.Unlock()
	if (before == Holding) != holding {
		h.notify(holding, fence)
	}
	if !fenceGrew {
		h.reportFenceDecrease(fence)
	}
}

// notify counts and logs that the lease was acquired or lost, and signals it on
// the Changes channel.
func (h *Holder) notify(holding bool, fence uint64) {
	event := "lapsed"
	if holding {
		event = "acquired"
	}
	counters.Add(event+"."+h.name, 1)
	h.log.Info("lease "+event, "fence", fence)
	select {
	case h.changes <- struct{}{}:
	default: // a signal is already pending
	}
}

// reportFenceDecrease logs that the fencing token did not increase, which means
// that the key-value service lost its state. Engines would then reject the new
// holder's orders, or accept a former holder's orders as newer.
func (h *Holder) reportFenceDecrease(fence uint64) {
	counters.Add("fenceFell", 1)
	h.log.Error("invariant broke", "rule", "fencing numbers grow", "fence", fence)
	onInvariantViolation()
}

// onInvariantViolation is called when an invariant is violated; tests replace
// it with a function that panics.
var onInvariantViolation = func() {}

// execute runs one action: a sleep, or a call with its timeout.
func (h *Holder) execute(ctx context.Context, act action) result {
	if act.step == stepSleep {
		h.sleep(ctx, act.until)
		return result{}
	}
	timeout := act.timeout
	if act.step == stepWatch {
		timeout += h.opts.ttl
	}
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, timeout)
	defer cancel()
	return h.call(ctx, act)
}

func (h *Holder) sleep(ctx context.Context, until time.Time) {
	timer := h.clock.NewTimer(until.Sub(h.clock.Now()))
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// call makes the key-value service call of the action.
func (h *Holder) call(ctx context.Context, act action) result {
	key := Key(h.name)
	switch act.step {
	case stepLatest:
		_, revision, err := h.store.Watch(ctx, key, kv.Latest, 0)
		return result{revision: revision, err: err}
	case stepGet:
		entry, found, err := h.store.Get(ctx, key)
		return result{found: found, holder: string(entry.Value()), revision: entry.Revision(), err: err}
	case stepWatch:
		changes, revision, err := h.store.Watch(ctx, key, act.after, h.opts.ttl)
		return result{found: containsKey(changes, key), revision: revision, err: err}
	case stepGrant:
		lease, err := h.store.Grant(ctx, act.ttl)
		return result{lease: lease, err: err}
	case stepSwap:
		value := []byte(holderValue(h.opts.incarnation, act.lease))
		revision, err := h.store.Swap(ctx, key, value, 0, act.lease)
		return result{revision: revision, err: err}
	case stepKeepAlive:
		return result{err: h.store.KeepAlive(ctx, act.lease)}
	case stepRevoke:
		return result{err: h.store.Revoke(ctx, act.lease)}
	default:
		return result{err: failure.New(failure.Internal, "unknown lease action "+string(act.step), "report it")}
	}
}

// containsKey reports whether the changes include the key itself. A watch
// matches by prefix, so it also reports longer keys that start with this one.
func containsKey(changes []kv.Entry, key string) bool {
	for _, change := range changes {
		if change.Key() == key {
			return true
		}
	}
	return false
}

// release revokes the lease, so that the next holder need not wait for it to
// expire.
func (h *Holder) release(lease string) {
	if lease == "" {
		return
	}
	ctx, cancel := clockwork.WithTimeout(context.Background(), h.clock, releaseTimeout)
	defer cancel()
	if err := h.store.Revoke(ctx, lease); err != nil {
		h.log.Warn("failed to revoke lease, it will expire on its own", "err", err)
	}
}

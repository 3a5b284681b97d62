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

// releaseTimeout bounds giving the lease back at the end of a process.
const releaseTimeout = 2 * time.Second

// counters counts how often leases of this process were acquired and lapsed:
// "acquired.planner", "lapsed.planner".
var counters = expvar.NewMap("lease")

// Holder keeps one process's claim on a lease.
type Holder struct {
	name    string
	store   *kv.Store
	clock   clockwork.Clock
	opts    options
	log     *slog.Logger
	changes chan struct{} // holds at most one signal
	ended   chan struct{} // closed when the runner is done

	mu       sync.Mutex
	state    State
	fence    uint64    // valid while state is Holding; grows
	deadline time.Time // the claim is not to be trusted from then on
	stopped  bool      // the context ended: never in charge again
}

// Run starts claiming the lease with the name and returns at once. It goes on
// until the context ends, then gives the lease back. The margin must cover how
// far this host's clock may fall behind the service's within the ttl, and the
// ttl must be longer than a few calls to the service.
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

// Holding returns the fencing number while this process is in charge. It looks
// at the clock on each call: a process that was paused past its lease and wakes
// gets false before it knows anything else.
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

// State returns where the process stands.
func (h *Holder) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == Holding && expired(h.deadline, h.clock.Now()) {
		return Lapsed
	}
	return h.state
}

// Changes receives a value after the lease was acquired or lost; several
// changes may make one. Read Holding then.
func (h *Holder) Changes() <-chan struct{} { return h.changes }

// Done is closed when the context ended and the lease is given back.
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

// stop ends being in charge before anything else happens at the end.
func (h *Holder) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
}

// publish makes the machine's decision visible to Holding.
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

func (h *Holder) notify(holding bool, fence uint64) {
	event := "lapsed"
	if holding {
		event = "acquired"
	}
	counters.Add(event+"."+h.name, 1)
	h.log.Info("lease "+event, "fence", fence)
	select {
	case h.changes <- struct{}{}:
	default: // one signal waits already
	}
}

// fenceFell reports a service that lost its state: engines would refuse the new
// holder's orders, or take a former holder's for newer.
func (h *Holder) reportFenceDecrease(fence uint64) {
	counters.Add("fenceFell", 1)
	h.log.Error("invariant broke", "rule", "fencing numbers grow", "fence", fence)
	onInvariantViolation()
}

// onBroken is called where an invariant broke; tests let it panic.
var onInvariantViolation = func() {}

// perform makes one call, or sleeps.
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
		return result{err: failure.New(failure.Internal, "unknown step "+string(act.step), "report it")}
	}
}

// touches reports whether one of the changes is the key's; a watch on it also
// reports longer keys that begin alike.
func containsKey(changes []kv.Entry, key string) bool {
	for _, change := range changes {
		if change.Key() == key {
			return true
		}
	}
	return false
}

// release gives the lease back, so that the next holder need not wait for it
// to lapse.
func (h *Holder) release(lease string) {
	if lease == "" {
		return
	}
	ctx, cancel := clockwork.WithTimeout(context.Background(), h.clock, releaseTimeout)
	defer cancel()
	if err := h.store.Revoke(ctx, lease); err != nil {
		h.log.Warn("lease not given back, it lapses by itself", "err", err)
	}
}

// Package planner computes the plan while this process holds the planner lease and
// stores it in the key-value service by compare-and-swap.
package planner

import (
	"context"
	"expvar"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/placement"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// PlanKey is the key of the plan in the service.
const PlanKey = "plan"

const (
	// minPlanInterval is the minimum time between two plans, so that a burst of
	// changes causes one plan and one write.
	minPlanInterval = 200 * time.Millisecond
	// maxPlanInterval is how long to wait for a change before planning anyway,
	// because a host that stays absent produces no event.
	maxPlanInterval = time.Second
	// retryDelay is the pause after a failed step.
	retryDelay = time.Second
	// callTimeout limits one Step with all its calls to the service.
	callTimeout = 3 * time.Second
)

var counters = expvar.NewMap("planner")

// Config holds the dependencies and limits of a Planner.
type Config struct {
	View    *view.Holder
	Service *kv.Store
	// Holding returns the fencing number while this process holds the planner lease.
	Holding func() (fence uint64, ok bool)
	// Offer puts a plan in force in this process without waiting for a watch.
	Offer func(plan *wire.Plan)
	Clock clockwork.Clock
	Log   *slog.Logger
	// Limits of the placement; the zero value selects the defaults.
	Limits placement.Limits
}

// Planner computes and stores plans. It is idle while this process does not hold
// the planner lease. It is not safe for concurrent use.
type Planner struct {
	cfg Config
	// fence is the fencing number under which stored was read, or 0 if it must be
	// read again.
	fence uint64
	// stored is the last known plan in the service, and storedRevision its revision
	// there.
	stored         *wire.Plan
	storedRevision uint64
	// observer tracks since when hosts have been out of use.
	observer *placement.Observer
}

// New returns a Planner.
func New(cfg Config) *Planner {
	if cfg.Limits == (placement.Limits{}) {
		cfg.Limits = placement.DefaultLimits()
	}
	return &Planner{cfg: cfg, observer: placement.NewObserver()}
}

// Run plans on every change and at least periodically until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_, changed := p.cfg.View.Load()
		pause := minPlanInterval
		if err := p.Step(ctx); err != nil {
			counters.Add("failed", 1)
			p.cfg.Log.Warn("plan not written", "error", err)
			pause = retryDelay
		}
		p.sleep(ctx, pause, nil)
		p.sleep(ctx, maxPlanInterval, changed)
	}
}

// sleep waits for the duration, or until early is closed or ctx ends.
func (p *Planner) sleep(ctx context.Context, wait time.Duration, early <-chan struct{}) {
	timer := p.cfg.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-early:
	case <-ctx.Done():
	}
}

// Step computes the plan once and writes it if it changed. It does nothing while
// this process does not hold the lease.
func (p *Planner) Step(ctx context.Context) error {
	fence, ok := p.cfg.Holding()
	if !ok {
		p.fence = 0
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if p.fence != fence {
		if err := p.loadStoredPlan(ctx, fence); err != nil {
			return err
		}
	}
	snap, _ := p.cfg.View.Load()
	if snap.Document == nil {
		return nil
	}
	if p.stored.GetRevision() > snap.Revision {
		return nil // A previous lease holder planned for a newer document, which will reach this process soon.
	}
	next := placement.Next(placement.Input{
		Document: snap.Document,
		Revision: snap.Revision,
		Hosts:    p.observer.Hosts(snap, p.stored, p.cfg.Clock.Now()),
		Previous: p.stored,
		Fence:    fence,
		Limits:   p.cfg.Limits,
	})
	if next == nil {
		return nil
	}
	return p.write(ctx, next)
}

// loadStoredPlan reads the stored plan after this process has acquired the lease or
// lost track of the plan: the previous holder may have written one that this process
// never saw.
func (p *Planner) loadStoredPlan(ctx context.Context, fence uint64) error {
	entry, found, err := p.cfg.Service.Get(ctx, PlanKey)
	if err != nil {
		return err
	}
	stored := &wire.Plan{}
	if err := proto.Unmarshal(entry.Value(), stored); err != nil {
		return failure.Wrap(err, failure.Corrupt, "the stored plan cannot be read", "delete the key plan; the planner then writes a new plan")
	}
	if stored.GetFence() > fence {
		return failure.New(failure.Stale, "a lease holder with a higher fencing number has already written a plan",
			"no action needed: this process no longer holds the planner lease")
	}
	if !found {
		stored = nil
	}
	snap, _ := p.cfg.View.Load()
	if known := snap.Plan; known.GetPlanRevision() > stored.GetPlanRevision() {
		// The service lost the newest plan. Continuing from the known plan keeps
		// plan revisions increasing in every process.
		stored = known
	}
	p.fence, p.stored, p.storedRevision = fence, stored, entry.Revision()
	p.observer = placement.NewObserver()
	p.cfg.Log.Info("planner loaded stored plan", "fence", fence, "planRevision", stored.GetPlanRevision())
	return nil
}

// write stores the plan by compare-and-swap. After a conflict or a lost reply, the
// next step reads the stored plan again and continues from it.
//
// Rule PLANCAS of spec/lease.pml.
func (p *Planner) write(ctx context.Context, next *wire.Plan) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "cannot encode the plan", "report this")
	}
	if len(value) > kv.MaxValueBytes {
		return failure.New(failure.Exhausted, "the plan exceeds the maximum value size of the key-value service", "spread the models over more deployments")
	}
	if _, ok := p.cfg.Holding(); !ok {
		p.fence = 0
		return nil
	}
	revision, err := p.cfg.Service.Swap(ctx, PlanKey, value, p.storedRevision, "")
	if err != nil {
		p.fence = 0
		return err
	}
	p.stored, p.storedRevision = next, revision
	counters.Add("written", 1)
	p.cfg.Log.Info("plan written", "planRevision", next.GetPlanRevision(), "revision", next.GetRevision(),
		"fence", next.GetFence(), "assignments", len(next.GetAssignments()))
	p.cfg.Offer(next)
	return nil
}

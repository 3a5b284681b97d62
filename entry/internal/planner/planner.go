// Package planner computes the plan while this process holds the planner's
// lease, and swaps it into the key-value service.
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

// PlanKey is the plan's key in the service.
const PlanKey = "plan"

const (
	// planGap is the least time between two plans: a burst of changes makes one
	// plan and one write.
	minPlanInterval = 200 * time.Millisecond
	// planInterval is the most time between two looks: hosts' absences grow
	// without an event.
	maxPlanInterval = time.Second
	// failurePause follows a failed write.
	retryDelay = time.Second
	// callTimeout bounds one call to the service.
	callTimeout = 3 * time.Second
)

var counters = expvar.NewMap("planner")

// Config is what a Planner needs.
type Config struct {
	View    *view.Holder
	Service *kv.Store
	// Holding returns the fencing number while this process is in charge.
	Holding func() (fence uint64, ok bool)
	// Offer brings a plan into force here, without waiting for a watch.
	Offer func(plan *wire.Plan)
	Clock clockwork.Clock
	Log   *slog.Logger
	// Limits of placement; zero stands for the default.
	Limits placement.Limits
}

// Planner is one process's planner, in charge or not. It is not safe for
// concurrent use.
type Planner struct {
	cfg Config
	// fence is that of the lease under which stored was read; 0: not read.
	fence uint64
	// stored is the plan in the service, as far as known, and its revision there.
	stored         *wire.Plan
	storedRevision uint64
	// observer remembers since when hosts are out of use.
	observer *placement.Observer
}

// New returns a Planner.
func New(cfg Config) *Planner {
	if cfg.Limits == (placement.Limits{}) {
		cfg.Limits = placement.DefaultLimits()
	}
	return &Planner{cfg: cfg, observer: placement.NewObserver()}
}

// Run plans until ctx ends.
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

func (p *Planner) sleep(ctx context.Context, wait time.Duration, early <-chan struct{}) {
	timer := p.cfg.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-early:
	case <-ctx.Done():
	}
}

// Step computes the plan once and writes it where it changed. It does nothing
// where this process is not in charge.
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
		return nil // An older holder knew a newer document; this process soon will.
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

// takeCharge reads the stored plan anew: the former holder may have written
// one that this process never saw.
func (p *Planner) loadStoredPlan(ctx context.Context, fence uint64) error {
	entry, found, err := p.cfg.Service.Get(ctx, PlanKey)
	if err != nil {
		return err
	}
	stored := &wire.Plan{}
	if err := proto.Unmarshal(entry.Value(), stored); err != nil {
		return failure.Wrap(err, failure.Corrupt, "the stored plan cannot be read", "delete the key plan; the planner writes it anew")
	}
	if stored.GetFence() > fence {
		return failure.New(failure.Stale, "a holder with a higher fencing number has planned",
			"nothing to do: this process is no longer in charge")
	}
	if !found {
		stored = nil
	}
	snap, _ := p.cfg.View.Load()
	if known := snap.Plan; known.GetPlanRevision() > stored.GetPlanRevision() {
		// The service lost the newest plan; going on from it keeps plan revisions
		// growing in every process.
		stored = known
	}
	p.fence, p.stored, p.storedRevision = fence, stored, entry.Revision()
	p.observer = placement.NewObserver()
	p.cfg.Log.Info("planner in charge", "fence", fence, "planRevision", stored.GetPlanRevision())
	return nil
}

// write swaps the plan in. A lost reply or a conflict makes the next step read
// the stored plan again, which settles it.
//
// Rule PLANCAS of spec/lease.pml.
func (p *Planner) write(ctx context.Context, next *wire.Plan) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "a plan cannot be encoded", "report this")
	}
	if len(value) > kv.MaxValueBytes {
		return failure.New(failure.Exhausted, "the plan is larger than the service's largest value", "spread the models over more deployments")
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

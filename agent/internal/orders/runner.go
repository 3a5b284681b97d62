// Package orders brings the engine of this host to what the plan assigns: it
// has the weights fetched, drains the gate, orders the load with a fencing
// number, and opens the gate once the engine confirms what it has.
package orders

import (
	"context"
	"sync"
	"time"

	"comfreyrelay.example/agent/internal/engine"
	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/drain"
	"comfreyrelay.example/relay/fence"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	// stepInterval is how often the runner decides without being woken.
	stepInterval = 200 * time.Millisecond
	// statusInterval is how often the engine is asked for its state.
	statusInterval = 500 * time.Millisecond
	statusTimeout  = 2 * time.Second
	// orderTimeout bounds one order: a large model loads for minutes.
	orderTimeout = 10 * time.Minute
	// confirmTimeout is how long after the reply to an order the status may
	// lag before the order counts as dropped.
	confirmTimeout = 3 * time.Second
	// failureBackoff keeps an order that fails from being repeated at once.
	failureBackoff = time.Second
	// unassignedGrace is how long a plan must leave a host out before the engine
	// gives up its weights: a planner that missed one report must not cost a
	// whole model's bytes.
	unassignedGrace = 30 * time.Second
	// absentLostAfter is how long other hosts have to report.
	absentLostAfter = 10 * time.Second
	// newerPlanWait is how long an agent that started beside a loaded engine waits
	// for a newer plan before it orders anything: an entry receives another one's news
	// within an exchange of 5 seconds.
	newerPlanWait = 6 * time.Second
	// refetchPause is how long nothing is targeted after the engine said that a
	// chunk is missing or wrong: an engine that restarted has lost the bytes
	// that the weights manager believes to be there. It drops them meanwhile
	// and fetches them anew afterwards.
	refetchPause = 2 * time.Second
	// failedPollLimit is the number of failed polls after which nothing is
	// known of the engine's content.
	failedPollLimit = 3
	// mismatchLimit is the number of polls that must contradict a confirmed
	// content: one may come from before the order.
	mismatchLimit = 2
)

// holdUpStale is what a report says where the fence refuses the plan.
const holdUpStalePlan = "the plan known here is older than one that was obeyed before"

// Runner is driven by Run; its accessors are safe for concurrent use.
type Runner struct {
	cfg  Config
	wake chan struct{}

	mu     sync.Mutex
	guard  *fence.Guard
	status *engine.Status // newest; nil before the first
	// actual is what the engine was confirmed to have; valid while haveKnown.
	actual             gate.Loaded
	actualKnown        bool
	pending            *pendingOrder // nil unless an order is out or unconfirmed
	desired            gate.Loaded
	desiredAssignment  *wire.Assignment // nil: nothing is assigned
	drainedFor         gate.Loaded      // what the gate was drained for; empty: nothing
	holdUp             string
	lastOrderError     string // why the last order failed; empty after a good one
	backoffUntil       time.Time
	noTargetsUntil     time.Time // until when nothing is targeted
	unassignedSince    time.Time // since when nothing is assigned; zero: something is
	syncedAt           time.Time // first seen synced; zero: not yet
	failedPolls        int       // polls in a row that failed
	mismatchedPolls    int       // polls in a row that contradicted have
	recheck            bool      // the gate saw a contradiction
	lastTargets        string    // last ones given to weights, as text
	lastReportedStates string    // last states passed to Changed, as text
}

// New returns a Runner.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, wake: make(chan struct{}, 1), guard: fence.NewGuard()}
}

// Suspect makes the runner look at the engine at once.
func (r *Runner) Suspect() {
	r.mu.Lock()
	r.recheck = true
	r.mu.Unlock()
	r.Wake()
}

// Wake makes the runner decide at once.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run drives the engine until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	if r.cfg.Service != "" {
		return r.runService(ctx)
	}
	ticker := r.cfg.Clock.NewTicker(stepInterval)
	defer ticker.Stop()
	var polled time.Time
	for ctx.Err() == nil {
		if now := r.cfg.Clock.Now(); now.Sub(polled) >= statusInterval || r.takeRecheck() {
			polled = now
			r.poll(ctx)
		}
		r.Step(ctx)
		_, viewChanged := r.cfg.View.Load()
		select {
		case <-ctx.Done():
		case <-ticker.Chan():
		case <-viewChanged:
		case <-r.wake:
		case <-r.cfg.Weights.Changed:
		}
	}
	return nil
}

func (r *Runner) takeRecheck() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	recheck := r.recheck
	r.recheck = false
	if recheck {
		r.mismatchedPolls = mismatchLimit
	}
	return recheck
}

// runService opens the gate as soon as the service listens. It stays open: a
// service that is gone refuses connections, which proves that nothing ran.
func (r *Runner) runService(ctx context.Context) error {
	ticker := r.cfg.Clock.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		err := r.cfg.Engine.Reach(ctx)
		r.mu.Lock()
		r.actualKnown = err == nil
		r.mu.Unlock()
		if err == nil && r.cfg.Gate.State().Phase() == drain.Drained {
			r.cfg.Gate.Open(gate.Loaded{})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// Step decides once and acts.
func (r *Runner) Step(ctx context.Context) {
	snap, _ := r.cfg.View.Load()
	r.updateDesired(snap)
	inputs := r.decisionInputs(snap)
	r.execute(ctx, snap, Decide(inputs))
	r.notifyChanges()
}

// updateDesired takes the assignment from the plan and has its weights fetched.
func (r *Runner) updateDesired(snap *view.Snapshot) {
	assignment := r.currentAssignment(snap)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	if r.syncedAt.IsZero() && r.cfg.Synced() {
		r.syncedAt = now
	}
	r.desired, r.desiredAssignment = contentOfAssignment(assignment), assignment
	switch {
	case assignment != nil:
		r.unassignedSince = time.Time{}
	case r.unassignedSince.IsZero():
		r.unassignedSince = now
	}
	if !r.drainedFor.Equal(r.desired) {
		r.drainedFor = gate.Loaded{}
	}
	r.updateTargets(snap)
}

// currentAssignment returns this host's part of the plan, else what Placement gives;
// nil: nothing. Placement is asked in any case, so that it notices the plan
// taking over.
func (r *Runner) currentAssignment(snap *view.Snapshot) *wire.Assignment {
	var placed *wire.Assignment
	if r.cfg.Placement != nil {
		placed = r.cfg.Placement(snap, r.ownReport())
	}
	for _, assignment := range snap.Plan.GetAssignments() {
		if assignment.GetHost() == r.cfg.Self.GetId() {
			return assignment
		}
	}
	return placed
}

func (r *Runner) ownReport() *wire.HostReport {
	return &wire.HostReport{Node: r.cfg.Self, Leaving: r.cfg.Gate.State().Leaving(), Versions: r.States()}
}

func contentOfAssignment(assignment *wire.Assignment) gate.Loaded {
	if assignment == nil {
		return gate.Loaded{}
	}
	content := gate.Loaded{
		Model:    assignment.GetModel(),
		Version:  assignment.GetVersion(),
		Adapters: map[string]string{},
		Role:     assignment.GetRole(),
	}
	for _, adapter := range assignment.GetAdapters() {
		content.Adapters[adapter.GetName()] = adapter.GetVersion()
	}
	return content
}

// updateTargets passes what is wanted to the weights manager, if that changed.
func (r *Runner) updateTargets(snap *view.Snapshot) {
	var targets []weights.Target
	if !r.cfg.Clock.Now().Before(r.noTargetsUntil) {
		for _, version := range versionsOf(r.desired) {
			targets = append(targets, weights.Target{Version: version, Priority: 1})
		}
	}
	policy := weights.Policy{
		Objective:    snap.Document.GetObjective(),
		OriginCopies: int(snap.Document.GetOriginCopies()),
		Keep:         r.versionsInUse(),
	}
	description := describeTargets(targets, policy)
	if description == r.lastTargets || r.syncedAt.IsZero() {
		return
	}
	r.lastTargets = description
	r.cfg.Weights.SetTargets(targets, policy)
}

// versionsInUse lists the versions that the engine has or may have.
func (r *Runner) versionsInUse() []string {
	versions := versionsOf(r.actual)
	if r.pending != nil {
		versions = append(versions, versionsOf(r.pending.content)...)
	}
	return versions
}

// execute carries the decision out.
func (r *Runner) execute(ctx context.Context, snap *view.Snapshot, action Action) {
	switch action {
	case NoAction:
		return
	case Serve:
		r.openGate()
	case Resume:
		r.cfg.Gate.Abandon()
	case CloseGate:
		r.cfg.Gate.Drain(0)
	case Drain:
		r.startDrain(snap)
	case Load, Unload, SetRole:
		r.issueOrder(ctx, snap, action)
	}
	r.cfg.Counters.Add("action."+action.String(), 1)
}

// openGate opens the gate for what the engine confirmed.
//
// Rule CONFIRM of spec/gate.pml.
func (r *Runner) openGate() {
	r.mu.Lock()
	actual := r.actual
	r.drainedFor = gate.Loaded{}
	r.mu.Unlock()
	if r.cfg.Gate.Open(actual) {
		r.cfg.Log.Info("serving", "model", actual.Model, "version", actual.Version, "adapters", len(actual.Adapters))
	}
}

func (r *Runner) startDrain(snap *view.Snapshot) {
	limit := document.DrainTimeout(snap.Document)
	r.mu.Lock()
	r.drainedFor = r.desired
	desired := r.desired
	r.mu.Unlock()
	r.cfg.Gate.Drain(limit)
	r.cfg.Log.Info("draining before a load", "model", desired.Model, "version", desired.Version, "limit", limit)
}

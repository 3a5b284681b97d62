// Package orders reconciles the engine of this host with the plan. It has the
// assigned weights fetched, drains the gate, orders the engine to load them, and
// opens the gate once the engine's status confirms the load.
//
// An order is a command to the engine: load, unload or set the role. It carries
// a fencing number, so that a planner whose lease lapsed cannot change weights.
//
// Content means the model, version, adapters and role of an engine
// (gate.Loaded). Desired content comes from the plan; actual content comes from
// the engine's status.
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
	// stepInterval is the time between reconciliation steps when nothing wakes
	// the runner.
	stepInterval = 200 * time.Millisecond
	// statusInterval is the time between polls of the engine's status.
	statusInterval = 500 * time.Millisecond
	statusTimeout  = 2 * time.Second
	// orderTimeout limits one order; a large model takes minutes to load.
	orderTimeout = 10 * time.Minute
	// confirmTimeout is how long the status may lag behind the reply to an
	// order before the order counts as dropped.
	confirmTimeout = 3 * time.Second
	// failureBackoff delays the next order after a failed one.
	failureBackoff = time.Second
	// unassignedGrace is how long the host must be without an assignment before
	// the engine unloads its weights. A planner that missed one report of this
	// host must not cause a whole model to be transferred again.
	unassignedGrace = 30 * time.Second
	// absentLostAfter is how long after the first contact with the entries a
	// host without any report counts as lost.
	absentLostAfter = 10 * time.Second
	// newerPlanWait is how long a restarted agent whose engine has weights loaded
	// waits for a newer plan before its first order. An entry learns another
	// entry's news within one exchange, which takes up to 5 seconds.
	newerPlanWait = 6 * time.Second
	// refetchPause is how long the weights manager gets no targets after the
	// engine reported a missing or wrong chunk. A restarted engine has lost
	// chunks that the weights manager still counts as present. During the pause
	// the manager drops them, and afterwards it fetches them again.
	refetchPause = 2 * time.Second
	// failedPollLimit is the number of consecutive failed polls after which the
	// engine's content counts as unknown.
	failedPollLimit = 3
	// mismatchLimit is the number of consecutive polls that must contradict the
	// confirmed content before it is replaced. A single one may show the state
	// before the order.
	mismatchLimit = 2
)

// holdUpStalePlan is the reported reason for a delay when the plan is refused as
// outdated.
const holdUpStalePlan = "the known plan is older than one that was already applied"

// Runner runs the reconciliation loop for the engine of this host. Run drives it;
// the other exported methods except Step are safe for concurrent use.
type Runner struct {
	cfg  Config
	wake chan struct{}

	mu     sync.Mutex
	guard  *fence.Guard
	status *engine.Status // latest status; nil before the first
	// actual is the content that the engine confirmed; valid while actualKnown.
	actual             gate.Loaded
	actualKnown        bool
	pending            *pendingOrder // order that runs or is unconfirmed; nil if none
	desired            gate.Loaded
	desiredAssignment  *wire.Assignment // nil if nothing is assigned
	drainedFor         gate.Loaded      // content that the gate drain was started for; empty if none
	holdUp             string           // why the switch is delayed; empty if it is not
	lastOrderError     string           // error of the last order; empty after a success
	backoffUntil       time.Time        // no order is issued before this time
	noTargetsUntil     time.Time        // the weights manager gets no targets before this time
	unassignedSince    time.Time        // zero while something is assigned
	syncedAt           time.Time        // when the entries were first known to have answered; zero before
	failedPolls        int              // consecutive polls that failed
	mismatchedPolls    int              // consecutive polls that contradicted actual
	recheck            bool             // the gate asked for an immediate poll
	lastTargets        string           // targets and policy last passed to the weights manager, as text
	lastReportedStates string           // version states at the last call of Changed, as text
}

// New returns a Runner that starts with Run.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, wake: make(chan struct{}, 1), guard: fence.NewGuard()}
}

// PollNow makes the runner poll the engine's status at once. The gate calls it
// when the endpoint's replies contradict the confirmed content; a single poll
// that also contradicts it is then enough to replace it.
func (r *Runner) PollNow() {
	r.mu.Lock()
	r.recheck = true
	r.mu.Unlock()
	r.Wake()
}

// Wake makes the runner take its next step at once.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run polls the engine and reconciles it with the plan until ctx ends. For a
// plain service it only opens the gate.
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

// takeRecheck returns and clears the request for an immediate poll. If there was
// one, the next mismatch replaces the confirmed content.
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

// runService opens the gate as soon as the service accepts connections. The gate
// stays open when the service stops, because a refused connection proves that
// the call did not run.
func (r *Runner) runService(ctx context.Context) error {
	ticker := r.cfg.Clock.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		err := r.cfg.Engine.CheckReachable(ctx)
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

// Step runs one reconciliation step: it reads the plan, decides on the next
// action and executes it.
func (r *Runner) Step(ctx context.Context) {
	snap, _ := r.cfg.View.Load()
	r.updateDesired(snap)
	inputs := r.decisionInputs(snap)
	r.execute(ctx, snap, Decide(inputs))
	r.notifyChanges()
}

// updateDesired sets the desired content from the current assignment and has the
// weights manager fetch it.
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

// currentAssignment returns this host's assignment in the plan, or else the one
// from FallbackAssignment, or nil. FallbackAssignment is called in either case, so
// that it notices when the plan takes over.
func (r *Runner) currentAssignment(snap *view.Snapshot) *wire.Assignment {
	var placed *wire.Assignment
	if r.cfg.FallbackAssignment != nil {
		placed = r.cfg.FallbackAssignment(snap, r.ownReport())
	}
	for _, assignment := range snap.Plan.GetAssignments() {
		if assignment.GetHost() == r.cfg.Self.GetId() {
			return assignment
		}
	}
	return placed
}

// ownReport returns the part of this host's report that FallbackAssignment
// needs.
func (r *Runner) ownReport() *wire.HostReport {
	return &wire.HostReport{Node: r.cfg.Self, Leaving: r.cfg.Gate.State().Leaving(), Versions: r.States()}
}

// contentOfAssignment returns the content that an assignment asks for; empty for
// nil.
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

// updateTargets passes the desired versions and the fetch policy to the weights
// manager if either has changed.
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

// versionsInUse lists the versions that the engine has loaded or may be loading.
func (r *Runner) versionsInUse() []string {
	versions := versionsOf(r.actual)
	if r.pending != nil {
		versions = append(versions, versionsOf(r.pending.content)...)
	}
	return versions
}

// execute carries out the action and counts it.
func (r *Runner) execute(ctx context.Context, snap *view.Snapshot, action Action) {
	switch action {
	case NoAction:
		return
	case Serve:
		r.openGate()
	case Resume:
		r.cfg.Gate.AbandonDrain()
	case CloseGate:
		r.cfg.Gate.Drain(0)
	case Drain:
		r.startDrain(snap)
	case Load, Unload, SetRole:
		r.issueOrder(ctx, snap, action)
	}
	r.cfg.Counters.Add("action."+action.String(), 1)
}

// openGate opens the gate for the content that the engine confirmed.
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

// startDrain starts to drain the gate, within the document's time limit, so that
// the weights can be loaded or unloaded.
func (r *Runner) startDrain(snap *view.Snapshot) {
	limit := document.DrainTimeout(snap.Document)
	r.mu.Lock()
	r.drainedFor = r.desired
	desired := r.desired
	r.mu.Unlock()
	r.cfg.Gate.Drain(limit)
	r.cfg.Log.Info("draining the gate before a load or unload", "model", desired.Model, "version", desired.Version, "limit", limit)
}

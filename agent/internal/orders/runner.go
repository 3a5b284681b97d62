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
	// failedBackoff keeps an order that fails from being repeated at once.
	failedBackoff = time.Second
	// unwantedAfter is how long a plan must leave a host out before the engine
	// gives up its weights: a planner that missed one report must not cost a
	// whole model's bytes.
	unwantedAfter = 30 * time.Second
	// absentAfter is how long other hosts have to report.
	absentAfter = 10 * time.Second
	// settleAfter is how long an agent that started beside a loaded engine waits
	// for a newer plan before it orders anything: an entry receives another one's news
	// within an exchange of 5 seconds.
	settleAfter = 6 * time.Second
	// refetchPause is how long nothing is targeted after the engine said that a
	// chunk is missing or wrong: an engine that restarted has lost the bytes
	// that the weights manager believes to be there. It drops them meanwhile
	// and fetches them anew afterwards.
	refetchPause = 2 * time.Second
	// unreachableAfter is the number of failed polls after which nothing is
	// known of the engine's content.
	unreachableAfter = 3
	// differsAfter is the number of polls that must contradict a confirmed
	// content: one may come from before the order.
	differsAfter = 2
)

// holdUpStale is what a report says where the fence refuses the plan.
const holdUpStale = "the plan known here is older than one that was obeyed before"

// Runner is driven by Run; its accessors are safe for concurrent use.
type Runner struct {
	cfg  Config
	wake chan struct{}

	mu     sync.Mutex
	guard  *fence.Guard
	status *engine.Status // newest; nil before the first
	// have is what the engine was confirmed to have; valid while haveKnown.
	have      gate.Loaded
	haveKnown bool
	pending   *order // nil unless an order is out or unconfirmed
	want      gate.Loaded
	wantPlan  *wire.Assignment // nil: nothing is assigned
	switching gate.Loaded      // what the gate was drained for; empty: nothing
	holdUp    string
	failed    string // why the last order failed; empty after a good one
	backoff   time.Time
	refetch   time.Time // until when nothing is targeted
	unwanted  time.Time // since when nothing is assigned; zero: something is
	synced    time.Time // first seen synced; zero: not yet
	failures  int       // polls in a row that failed
	differing int       // polls in a row that contradicted have
	suspect   bool      // the gate saw a contradiction
	targets   string    // last ones given to weights, as text
	reported  string    // last states passed to Changed, as text
}

// New returns a Runner.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, wake: make(chan struct{}, 1), guard: fence.NewGuard()}
}

// Suspect makes the runner look at the engine at once.
func (r *Runner) Suspect() {
	r.mu.Lock()
	r.suspect = true
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
		if now := r.cfg.Clock.Now(); now.Sub(polled) >= statusInterval || r.takeSuspect() {
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

func (r *Runner) takeSuspect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspect := r.suspect
	r.suspect = false
	if suspect {
		r.differing = differsAfter
	}
	return suspect
}

// runService opens the gate as soon as the service listens. It stays open: a
// service that is gone refuses connections, which proves that nothing ran.
func (r *Runner) runService(ctx context.Context) error {
	ticker := r.cfg.Clock.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		err := r.cfg.Engine.Reach(ctx)
		r.mu.Lock()
		r.haveKnown = err == nil
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
	r.aim(snap)
	now := r.situation(snap)
	r.act(ctx, snap, Decide(now))
	r.notifyChanges()
}

// aim takes the assignment from the plan and has its weights fetched.
func (r *Runner) aim(snap *view.Snapshot) {
	assignment := r.assignment(snap)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	if r.synced.IsZero() && r.cfg.Synced() {
		r.synced = now
	}
	r.want, r.wantPlan = loadedOf(assignment), assignment
	switch {
	case assignment != nil:
		r.unwanted = time.Time{}
	case r.unwanted.IsZero():
		r.unwanted = now
	}
	if !r.switching.Equal(r.want) {
		r.switching = gate.Loaded{}
	}
	r.fetch(snap)
}

// assignment returns this host's part of the plan, else what Placement gives;
// nil: nothing. Placement is asked in any case, so that it notices the plan
// taking over.
func (r *Runner) assignment(snap *view.Snapshot) *wire.Assignment {
	var placed *wire.Assignment
	if r.cfg.Placement != nil {
		placed = r.cfg.Placement(snap, r.own())
	}
	for _, assignment := range snap.Plan.GetAssignments() {
		if assignment.GetHost() == r.cfg.Self.GetId() {
			return assignment
		}
	}
	return placed
}

func (r *Runner) own() *wire.HostReport {
	return &wire.HostReport{Node: r.cfg.Self, Leaving: r.cfg.Gate.State().Leaving(), Versions: r.States()}
}

func loadedOf(assignment *wire.Assignment) gate.Loaded {
	if assignment == nil {
		return gate.Loaded{}
	}
	loaded := gate.Loaded{
		Model:    assignment.GetModel(),
		Version:  assignment.GetVersion(),
		Adapters: map[string]string{},
		Role:     assignment.GetRole(),
	}
	for _, adapter := range assignment.GetAdapters() {
		loaded.Adapters[adapter.GetName()] = adapter.GetVersion()
	}
	return loaded
}

// fetch passes what is wanted to the weights manager, if that changed.
func (r *Runner) fetch(snap *view.Snapshot) {
	var targets []weights.Target
	if !r.cfg.Clock.Now().Before(r.refetch) {
		for _, version := range versionsOf(r.want) {
			targets = append(targets, weights.Target{Version: version, Priority: 1})
		}
	}
	policy := weights.Policy{
		Objective:    snap.Document.GetObjective(),
		OriginCopies: int(snap.Document.GetOriginCopies()),
		Keep:         r.inUse(),
	}
	text := targetsText(targets, policy)
	if text == r.targets || r.synced.IsZero() {
		return
	}
	r.targets = text
	r.cfg.Weights.SetTargets(targets, policy)
}

// inUse lists the versions that the engine has or may have.
func (r *Runner) inUse() []string {
	versions := versionsOf(r.have)
	if r.pending != nil {
		versions = append(versions, versionsOf(r.pending.loaded)...)
	}
	return versions
}

// act carries the decision out.
func (r *Runner) act(ctx context.Context, snap *view.Snapshot, action Action) {
	switch action {
	case Stay:
		return
	case Serve:
		r.serve()
	case Resume:
		r.cfg.Gate.Abandon()
	case Shut:
		r.cfg.Gate.Drain(0)
	case Drain:
		r.startDrain(snap)
	case Load, Unload, SetRole:
		r.give(ctx, snap, action)
	}
	r.cfg.Counters.Add("action."+action.String(), 1)
}

// serve opens the gate for what the engine confirmed.
//
// Rule CONFIRM of spec/gate.pml.
func (r *Runner) serve() {
	r.mu.Lock()
	have := r.have
	r.switching = gate.Loaded{}
	r.mu.Unlock()
	if r.cfg.Gate.Open(have) {
		r.cfg.Log.Info("serving", "model", have.Model, "version", have.Version, "adapters", len(have.Adapters))
	}
}

func (r *Runner) startDrain(snap *view.Snapshot) {
	limit := document.DrainTimeout(snap.Document)
	r.mu.Lock()
	r.switching = r.want
	want := r.want
	r.mu.Unlock()
	r.cfg.Gate.Drain(limit)
	r.cfg.Log.Info("draining before a load", "model", want.Model, "version", want.Version, "limit", limit)
}

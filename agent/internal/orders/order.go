package orders

import (
	"context"
	"encoding/hex"
	"slices"
	"time"

	"comfreyrelay.example/agent/internal/engine"
	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/relay/drain"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/fence"
	"comfreyrelay.example/relay/view"
)

// order is one order that was given.
type order struct {
	action Action
	loaded gate.Loaded // what the engine should have afterwards
	number fence.Number
	// replied is when the engine accepted it; zero while the call runs.
	replied time.Time
}

// give orders something in the name of the plan in force.
//
// Rule DRAIN of spec/gate.pml.
func (r *Runner) give(ctx context.Context, snap *view.Snapshot, action Action) {
	number := numberOf(snap.Plan)
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.guard.Highest()
	if r.guard.Admit(number) != fence.Obey {
		r.cfg.Counters.Add("fenceRefused", 1)
		return
	}
	r.cfg.Invariants.Check(!number.Less(before), "fenceMonotonic", "order", number.String(), "obeyed", before.String())
	call, ok := r.build(action, number)
	if !ok {
		return
	}
	given := &order{action: action, loaded: r.orderedContent(action), number: number}
	if action != SetRole {
		drained := r.cfg.Gate.State().Phase() == drain.Drained
		if !r.cfg.Invariants.Check(drained, "loadBehindDrainedGate", "order", number.String()) {
			return
		}
	}
	r.pending = given
	r.cfg.Log.Info("order", "order", call.Order, "model", call.Model, "version", call.Version, "fence", number.String())
	go r.send(ctx, given, call)
}

func (r *Runner) orderedContent(action Action) gate.Loaded {
	switch action {
	case Load:
		return r.want
	case SetRole:
		loaded := r.have
		loaded.Role = r.want.Role
		return loaded
	}
	return gate.Loaded{}
}

// build makes the call; ok is false where a manifest is not at hand.
func (r *Runner) build(action Action, number fence.Number) (call *engine.Order, ok bool) {
	call = &engine.Order{Fence: number.Fence()}
	switch action {
	case Unload:
		call.Order = engine.Unload
		return call, true
	case SetRole:
		call.Order, call.Role = engine.Role, r.want.Role
		return call, true
	}
	call.Order, call.Model, call.Version = engine.Load, r.want.Model, r.want.Version
	call.Role = r.want.Role
	call.ChunkHashes, ok = r.hashes(r.want.Version)
	if !ok {
		return nil, false
	}
	for _, name := range adapterNames(r.want) {
		version := r.want.Adapters[name]
		hashes, ok := r.hashes(version)
		if !ok {
			return nil, false
		}
		call.Adapters = append(call.Adapters, engine.Adapter{Name: name, Version: version, ChunkHashes: hashes})
	}
	return call, true
}

func (r *Runner) hashes(version string) ([]string, bool) {
	man := r.cfg.Weights.Manifest(version)
	if man == nil {
		return nil, false
	}
	texts := make([]string, 0, len(man.GetChunkHashes()))
	for _, hash := range man.GetChunkHashes() {
		texts = append(texts, hex.EncodeToString(hash))
	}
	return texts, true
}

// send does the call and takes its result.
func (r *Runner) send(ctx context.Context, given *order, call *engine.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	current, err := r.cfg.Engine.Order(ctx, call)
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.Wake()
	now := r.cfg.Clock.Now()
	given.replied = now
	if err == nil {
		r.failed = ""
		return
	}
	r.failed = err.Error()
	r.backoff = now.Add(failedBackoff)
	r.cfg.Counters.Add("ordersFailed", 1)
	r.cfg.Log.Warn("order failed", "order", call.Order, "version", call.Version, "error", err)
	if failure.KindOf(err) == failure.Invalid && given.action == Load {
		r.refetch = now.Add(refetchPause)
	}
	switch failure.KindOf(err) {
	case failure.Stale:
		r.guard.Learn(current)
		r.pending = nil
	case failure.Unavailable:
		r.pending = nil
	default:
		// It may have taken effect: only the engine's status shows.
		r.haveKnown = false
		r.differing = 0
		r.pending = nil
	}
}

// confirm compares the engine's status with the pending order, and returns
// whether the order is settled.
func (r *Runner) confirm(content gate.Loaded, now time.Time) bool {
	given := r.pending
	if given.replied.IsZero() {
		return false
	}
	arrived := content.Equal(given.loaded) && (given.action != SetRole || content.Role == given.loaded.Role)
	if arrived {
		r.pending = nil
		r.cfg.Log.Info("order confirmed", "version", content.Version, "fence", given.number.String())
		return true
	}
	if now.Sub(given.replied) < confirmTimeout {
		return false
	}
	// The engine said yes and did nothing; without a repetition the host would
	// stand empty for ever.
	r.pending = nil
	r.cfg.Counters.Add("ordersDropped", 1)
	r.cfg.Log.Warn("order was dropped by the engine", "version", given.loaded.Version, "fence", given.number.String())
	return true
}

func adapterNames(loaded gate.Loaded) []string {
	names := make([]string, 0, len(loaded.Adapters))
	for name := range loaded.Adapters {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// versionsOf lists the base version and those of the adapters.
func versionsOf(loaded gate.Loaded) []string {
	if loaded.Empty() {
		return nil
	}
	versions := []string{loaded.Version}
	for _, name := range adapterNames(loaded) {
		versions = append(versions, loaded.Adapters[name])
	}
	return versions
}

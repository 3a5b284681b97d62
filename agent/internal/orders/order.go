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

// pendingOrder is an order that was issued and is not settled yet.
type pendingOrder struct {
	action  Action
	content gate.Loaded // what the engine has once the order is applied
	number  fence.Number
	// repliedAt is when the engine's reply arrived; zero while the call runs.
	repliedAt time.Time
}

// issueOrder sends the engine an order with the fencing number of the plan in
// force. It issues none if the guard refuses the number, a manifest is missing,
// or the gate is not drained for a change of weights.
//
// Rule DRAIN of spec/gate.pml.
func (r *Runner) issueOrder(ctx context.Context, snap *view.Snapshot, action Action) {
	number := fencingNumberOf(snap.Plan)
	r.mu.Lock()
	defer r.mu.Unlock()
	previousHighest := r.guard.Highest()
	if r.guard.Admit(number) != fence.Obey {
		r.cfg.Counters.Add("fenceRefused", 1)
		return
	}
	r.cfg.Invariants.Check(!number.Less(previousHighest), "fenceMonotonic", "order", number.String(), "obeyed", previousHighest.String())
	engineOrder, ok := r.buildOrder(action, number)
	if !ok {
		return
	}
	pending := &pendingOrder{action: action, content: r.expectedContent(action), number: number}
	if action != SetRole {
		drained := r.cfg.Gate.State().Phase() == drain.Drained
		if !r.cfg.Invariants.Check(drained, "loadBehindDrainedGate", "order", number.String()) {
			return
		}
	}
	r.pending = pending
	r.cfg.Log.Info("order", "order", engineOrder.Kind, "model", engineOrder.Model, "version", engineOrder.Version, "fence", number.String())
	go r.sendOrder(ctx, pending, engineOrder)
}

// expectedContent returns the engine's content after the order is applied.
func (r *Runner) expectedContent(action Action) gate.Loaded {
	switch action {
	case Load:
		return r.desired
	case SetRole:
		content := r.actual
		content.Role = r.desired.Role
		return content
	}
	return gate.Loaded{}
}

// buildOrder returns the order to send; ok is false if a manifest is not known
// yet.
func (r *Runner) buildOrder(action Action, number fence.Number) (engineOrder *engine.Order, ok bool) {
	engineOrder = &engine.Order{Fence: number.Fence()}
	switch action {
	case Unload:
		engineOrder.Kind = engine.OrderUnload
		return engineOrder, true
	case SetRole:
		engineOrder.Kind, engineOrder.Role = engine.OrderSetRole, r.desired.Role
		return engineOrder, true
	}
	engineOrder.Kind, engineOrder.Model, engineOrder.Version = engine.OrderLoad, r.desired.Model, r.desired.Version
	engineOrder.Role = r.desired.Role
	engineOrder.ChunkHashes, ok = r.chunkHashes(r.desired.Version)
	if !ok {
		return nil, false
	}
	for _, name := range adapterNames(r.desired) {
		version := r.desired.Adapters[name]
		hashes, ok := r.chunkHashes(version)
		if !ok {
			return nil, false
		}
		engineOrder.Adapters = append(engineOrder.Adapters, engine.Adapter{Name: name, Version: version, ChunkHashes: hashes})
	}
	return engineOrder, true
}

// chunkHashes returns the hex-encoded chunk hashes of a version; false while its
// manifest is unknown.
func (r *Runner) chunkHashes(version string) ([]string, bool) {
	manifest := r.cfg.Weights.Manifest(version)
	if manifest == nil {
		return nil, false
	}
	encoded := make([]string, 0, len(manifest.GetChunkHashes()))
	for _, hash := range manifest.GetChunkHashes() {
		encoded = append(encoded, hex.EncodeToString(hash))
	}
	return encoded, true
}

// sendOrder sends the order to the engine and records the result.
func (r *Runner) sendOrder(ctx context.Context, pending *pendingOrder, engineOrder *engine.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	engineFence, err := r.cfg.Engine.Order(ctx, engineOrder)
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.Wake()
	now := r.cfg.Clock.Now()
	pending.repliedAt = now
	if err == nil {
		r.lastOrderError = ""
		return
	}
	r.lastOrderError = err.Error()
	r.backoffUntil = now.Add(failureBackoff)
	r.cfg.Counters.Add("ordersFailed", 1)
	r.cfg.Log.Warn("order failed", "order", engineOrder.Kind, "version", engineOrder.Version, "error", err)
	if failure.KindOf(err) == failure.Invalid && pending.action == Load {
		r.noTargetsUntil = now.Add(refetchPause)
	}
	switch failure.KindOf(err) {
	case failure.Stale:
		r.guard.Learn(engineFence)
		r.pending = nil
	case failure.Unavailable:
		r.pending = nil
	default:
		// The order may have taken effect; only the engine's status shows it.
		r.actualKnown = false
		r.mismatchedPolls = 0
		r.pending = nil
	}
}

// settlePending compares the engine's content with what the pending order should
// produce. It reports whether the order is settled: confirmed, or dropped because
// the engine did not apply it within confirmTimeout.
func (r *Runner) settlePending(content gate.Loaded, now time.Time) bool {
	pending := r.pending
	if pending.repliedAt.IsZero() {
		return false
	}
	applied := content.Equal(pending.content) && (pending.action != SetRole || content.Role == pending.content.Role)
	if applied {
		r.pending = nil
		r.cfg.Log.Info("order confirmed", "version", content.Version, "fence", pending.number.String())
		return true
	}
	if now.Sub(pending.repliedAt) < confirmTimeout {
		return false
	}
	// The engine accepted the order but did not apply it. If the order were not
	// issued again, the host would stay without weights forever.
	r.pending = nil
	r.cfg.Counters.Add("ordersDropped", 1)
	r.cfg.Log.Warn("engine accepted the order but did not apply it", "version", pending.content.Version, "fence", pending.number.String())
	return true
}

// adapterNames lists the names of the adapters in sorted order.
func adapterNames(content gate.Loaded) []string {
	names := make([]string, 0, len(content.Adapters))
	for name := range content.Adapters {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// versionsOf lists the base version and the versions of the adapters.
func versionsOf(content gate.Loaded) []string {
	if content.Empty() {
		return nil
	}
	versions := []string{content.Version}
	for _, name := range adapterNames(content) {
		versions = append(versions, content.Adapters[name])
	}
	return versions
}

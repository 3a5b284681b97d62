package orders

import (
	"expvar"
	"log/slog"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/agent/internal/engine"
	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// Progress is how far the host is with one version's bytes.
type Progress struct {
	// Phase is one of the weights package's phases.
	Phase string
	// Have of Total chunks are verified and on the host; Total is 0 while the
	// manifest is unknown.
	Have, Total int
	// HoldUp says why it stands still; empty otherwise.
	HoldUp string
}

// Weights is what the runner needs of the weights manager.
type Weights struct {
	SetTargets func(targets []weights.Target, policy weights.Policy)
	State      func(version string) Progress
	Manifest   func(version string) *wire.Manifest
	// Changed receives after each change of a State.
	Changed <-chan struct{}
}

// FromManager returns the manager's functions.
func FromManager(manager *weights.Manager) Weights {
	return Weights{
		SetTargets: manager.SetTargets,
		Manifest:   manager.Manifest,
		Changed:    manager.Changed(),
		State: func(version string) Progress {
			state := manager.State(version)
			return Progress{Phase: state.Phase(), Have: state.Have(), Total: state.Total(), HoldUp: state.HoldUp()}
		},
	}
}

// Config holds what a Runner needs from its process.
type Config struct {
	Self  *wire.Node
	Clock clockwork.Clock
	Log   *slog.Logger
	View  *view.Holder
	// Synced reports whether the entries have answered since the start.
	Synced func() bool
	// Service is set for plain services, which take no orders.
	Service  string
	Engine   *engine.Client
	Gate     *gate.Gate
	Weights  Weights
	Counters *expvar.Map
	// Invariants records broken rules.
	Invariants *gate.Invariants
	// Changed is called when States changed; it does not block.
	Changed func()
	// Placement, if set, is called for each step, and may assign something to a
	// host that the plan leaves out. Own is the host's present state.
	Placement func(snap *view.Snapshot, own *wire.HostReport) *wire.Assignment
}

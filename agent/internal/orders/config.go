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

// Progress is the fetch progress of one version on this host.
type Progress struct {
	// Phase is one of the phases of package weights.
	Phase string
	// Have is how many of the Total chunks are verified and stored on the host.
	// Total is 0 while the manifest is unknown.
	Have, Total int
	// HoldUp is the reason why the fetch makes no progress; empty if it does.
	HoldUp string
}

// Weights holds the functions of the weights manager that a Runner uses.
type Weights struct {
	SetTargets func(targets []weights.Target, policy weights.Policy)
	State      func(version string) Progress
	Manifest   func(version string) *wire.Manifest
	// Changed delivers a value after a version's state changes; several changes
	// may share one value.
	Changed <-chan struct{}
}

// FromManager returns the functions of the given weights manager.
func FromManager(manager *weights.Manager) Weights {
	return Weights{
		SetTargets: manager.SetTargets,
		Manifest:   manager.Manifest,
		Changed:    manager.Changed(),
		State: func(version string) Progress {
			state := manager.State(version)
			return Progress{Phase: state.Phase(), Have: state.Have(), Total: state.Total(), HoldUp: state.StallReason()}
		},
	}
}

// Config holds the settings and dependencies of a Runner.
type Config struct {
	Self  *wire.Node
	Clock clockwork.Clock
	Log   *slog.Logger
	View  *view.Holder
	// Synced reports whether the entries have answered since the start.
	Synced func() bool
	// Service is the name of a plain service, which takes no orders; empty for
	// an engine.
	Service  string
	Engine   *engine.Client
	Gate     *gate.Gate
	Weights  Weights
	Counters *expvar.Map
	// Invariants records violated invariants.
	Invariants *gate.Invariants
	// Changed is called after the result of Runner.States changed. It must not
	// block.
	Changed func()
	// FallbackAssignment, if set, is called in each step and may return an assignment,
	// which is used if the plan has none for this host. The argument own is the
	// host's present state.
	FallbackAssignment func(snap *view.Snapshot, own *wire.HostReport) *wire.Assignment
}

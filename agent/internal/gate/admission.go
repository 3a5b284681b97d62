package gate

import (
	"maps"
	"sync"
	"time"

	"comfreyrelay.example/relay/drain"
)

// Loaded describes what the endpoint has confirmed to have loaded. For a plain
// service all fields are empty.
type Loaded struct {
	Model   string
	Version string
	// Adapters maps adapter names to versions.
	Adapters map[string]string
	// Role is the engine's role: "both", "prefill" or "decode".
	Role string
}

// Equal reports whether both have the same model, version and adapters. The role
// is not compared, because changing it loads no weights.
func (l Loaded) Equal(other Loaded) bool {
	return l.Model == other.Model && l.Version == other.Version && maps.Equal(l.Adapters, other.Adapters)
}

// Empty reports whether nothing is loaded.
func (l Loaded) Empty() bool { return l.Version == "" }

// admission holds what decides whether new attempts are admitted: the drain state,
// what the endpoint has loaded, and whether the host is leaving.
type admission struct {
	mu     sync.Mutex
	drain  *drain.WorkTracker
	loaded Loaded // confirmed by the endpoint; valid in phase drain.Open
	// leaving is set while the host is taken out of service. Unlike
	// shuttingDown it may be reset.
	leaving bool
	// shuttingDown is set when the process shuts down and is never reset.
	shuttingDown bool
}

// enter counts a new attempt as running and returns what is loaded, or returns
// a refusal if no attempts are admitted.
func (a *admission) enter() (Loaded, refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving || a.shuttingDown {
		return Loaded{}, newRefusal(reasonLeaving, leavingRetryAfter)
	}
	if !a.drain.Enter() {
		return Loaded{}, newRefusal(reasonDraining, drainingRetryAfter)
	}
	return a.loaded, refusal{}
}

// leave counts one running attempt less. It reports false if none was running.
func (a *admission) leave() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drain.Leave()
}

// open starts to admit attempts for loaded. It reports false while attempts on the
// previous weights still run, after shutDown, or if other weights are being
// served.
func (a *admission) open(loaded Loaded) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drain.Phase() == drain.Open {
		return a.loaded.Equal(loaded)
	}
	if a.shuttingDown || !a.drain.Reopen() {
		return false
	}
	a.loaded = loaded
	return true
}

// beginDrain stops admission; attempts that still run after limit are cancelled.
func (a *admission) beginDrain(now time.Time, limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drain.Begin(now, limit)
}

// abandonDrain ends a drain and resumes admission. It reports false if the drain
// has finished or is past its deadline, or if the process shuts down.
func (a *admission) abandonDrain() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	// Without the first condition, the drain deadline of a shutdown would be
	// removed.
	return !a.shuttingDown && a.drain.Phase() != drain.Drained && a.drain.Abandon()
}

// tick reports whether the drain deadline has just passed, so that the caller
// must cancel what still runs.
func (a *admission) tick(now time.Time) (cancel bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drain.Tick(now)
}

func (a *admission) setLeaving(leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = leaving
}

// shutDown stops admission permanently and starts a drain.
func (a *admission) shutDown(now time.Time, limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shuttingDown = true
	a.drain.Begin(now, limit)
}

// State is a snapshot of the gate's admission state.
type State struct {
	phase   drain.Phase
	loaded  Loaded
	leaving bool
	running int
}

// Phase returns the phase of the drain.
func (s State) Phase() drain.Phase { return s.phase }

// Loaded returns what the endpoint serves. It is valid in phase drain.Open.
func (s State) Loaded() Loaded { return s.loaded }

// Leaving reports whether every new attempt is refused because the host is taken
// out of service or the process shuts down.
func (s State) Leaving() bool { return s.leaving }

// Running returns the number of admitted attempts that have not finished.
func (s State) Running() int { return s.running }

func (a *admission) state() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{
		phase:   a.drain.Phase(),
		loaded:  a.loaded,
		leaving: a.leaving || a.shuttingDown,
		running: a.drain.Running(),
	}
}

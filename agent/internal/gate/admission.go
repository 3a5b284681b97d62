package gate

import (
	"maps"
	"sync"
	"time"

	"comfreyrelay.example/relay/drain"
)

// Loaded is what the endpoint has been confirmed to serve. For a plain service
// all fields are empty.
type Loaded struct {
	Model   string
	Version string
	// Adapters maps names to versions.
	Adapters map[string]string
	// Role is the engine's role: "both", "prefill" or "decode".
	Role string
}

// Equal reports whether both name the same weights; the role is no weight.
func (l Loaded) Equal(other Loaded) bool {
	return l.Model == other.Model && l.Version == other.Version && maps.Equal(l.Adapters, other.Adapters)
}

// Empty reports whether nothing is loaded.
func (l Loaded) Empty() bool { return l.Version == "" }

// door lets attempts in while the endpoint serves what they ask for.
type admission struct {
	mu     sync.Mutex
	drain  *drain.Lane
	loaded Loaded // confirmed by the endpoint whenever the lane is open
	// leaving: the process shuts down or the host is taken out.
	leaving bool
	// exiting is set with the shutdown of the process and never taken back.
	shuttingDown bool
}

// enter counts an attempt in and returns what is loaded, or says why not.
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

func (a *admission) leave() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drain.Leave()
}

// open serves new weights. It reports false while work on the former ones still
// runs.
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

func (a *admission) beginDrain(now time.Time, limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drain.Begin(now, limit)
}

func (a *admission) abandonDrain() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	// Without the first condition the deadline of a shutdown would be lifted.
	return !a.shuttingDown && a.drain.Phase() != drain.Drained && a.drain.Abandon()
}

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

func (a *admission) shutDown(now time.Time, limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shuttingDown = true
	a.drain.Begin(now, limit)
}

// State is the gate as others see it.
type State struct {
	phase   drain.Phase
	loaded  Loaded
	leaving bool
	running int
}

// Phase returns the phase of the gate.
func (s State) Phase() drain.Phase { return s.phase }

// Loaded returns what is served while the phase is drain.Open.
func (s State) Loaded() Loaded { return s.loaded }

// Leaving reports whether every new attempt is refused because the host leaves.
func (s State) Leaving() bool { return s.leaving }

// Running returns the attempts at the endpoint.
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

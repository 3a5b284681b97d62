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
type door struct {
	mu     sync.Mutex
	lane   *drain.Lane
	loaded Loaded // confirmed by the endpoint whenever the lane is open
	// leaving: the process shuts down or the host is taken out.
	leaving bool
	// exiting is set with the shutdown of the process and never taken back.
	exiting bool
}

// enter counts an attempt in and returns what is loaded, or says why not.
func (d *door) enter() (Loaded, refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving || d.exiting {
		return Loaded{}, refuse(reasonLeaving, leavingRetry)
	}
	if !d.lane.Enter() {
		return Loaded{}, refuse(reasonDraining, drainingRetry)
	}
	return d.loaded, refusal{}
}

func (d *door) leave() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lane.Leave()
}

// open serves new weights. It reports false while work on the former ones still
// runs.
func (d *door) open(loaded Loaded) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lane.Phase() == drain.Open {
		return d.loaded.Equal(loaded)
	}
	if d.exiting || !d.lane.Reopen() {
		return false
	}
	d.loaded = loaded
	return true
}

func (d *door) begin(now time.Time, limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lane.Begin(now, limit)
}

func (d *door) abandon() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Without the first condition the deadline of a shutdown would be lifted.
	return !d.exiting && d.lane.Phase() != drain.Drained && d.lane.Abandon()
}

func (d *door) tick(now time.Time) (cancel bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lane.Tick(now)
}

func (d *door) setLeaving(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = leaving
}

func (d *door) exit(now time.Time, limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exiting = true
	d.lane.Begin(now, limit)
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

func (d *door) state() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{
		phase:   d.lane.Phase(),
		loaded:  d.loaded,
		leaving: d.leaving || d.exiting,
		running: d.lane.Running(),
	}
}

// Package onsite is the agent of an engine on a platform: it streams the engine's
// state to entries, learns from them which weights are wanted, moves these onto
// the host and orders the engine to load them.
package onsite

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/rollout"
	"comfreyrelay.example/relay/wire"
)

// wanted is the weights that the engine should use.
type wanted struct {
	model   string
	version uint64
	fence   uint64
	since   time.Time // when it was declared, as far as known
	load    time.Duration
	chunks  int
	size    int // of a chunk, bytes
	// cutover: every stream of the engine may go on at another one, so that a
	// load need not wait for those that run.
	cutover bool
}

// guide is the newest guidance of each entry. A guide never goes back to
// an older version. It is safe for concurrent use.
type guide struct {
	mu       sync.Mutex
	revision uint64 // of the guidance that gave peers and origin
	wanted   map[string]wanted
	history  map[string][]rollout.Declared // by model, newest last
	peers    []*wire.Node
	origin   string
	rate     float64       // of the origin's link, bytes a second; 0: unknown
	changed  chan struct{} // buffered by one
	wants    bool          // any weights were ever wanted
	known    chan struct{} // closed then
}

func newGuide() *guide {
	return &guide{wanted: map[string]wanted{}, history: map[string][]rollout.Declared{}, changed: make(chan struct{}, 1), known: make(chan struct{})}
}

// await returns the weights wanted once some are.
func (g *guide) await(ctx context.Context) (wanted, error) {
	select {
	case <-ctx.Done():
		return wanted{}, ctx.Err()
	case <-g.known:
	}
	want, _ := g.weights()
	return want, nil
}

// receive takes over what is newer than what is known.
func (g *guide) receive(now time.Time, guidance *wire.Guidance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if guidance.GetRevision() >= g.revision {
		g.revision = guidance.GetRevision()
		g.peers = peersOf(guidance.GetHosts())
		if guidance.GetOriginUrl() != "" {
			g.origin, g.rate = guidance.GetOriginUrl(), guidance.GetOriginRate()
		}
	}
	for _, one := range guidance.GetWanted() {
		since := now.Add(-time.Duration(one.GetAgeMillis()) * time.Millisecond)
		if one.GetVersion() <= g.wanted[one.GetModel()].version {
			g.older(one.GetModel(), one.GetVersion(), since)
			continue
		}
		g.remember(one.GetModel(), rollout.Declared{Version: one.GetVersion(), At: since})
		g.wanted[one.GetModel()] = wanted{
			model: one.GetModel(), version: one.GetVersion(), fence: one.GetFence(),
			since: since, cutover: one.GetCutover(),
			load:   time.Duration(one.GetLoadSeconds() * float64(time.Second)),
			chunks: int(one.GetChunks()), size: int(one.GetChunkBytes()),
		}
	}
	if len(g.wanted) > 0 && !g.wants {
		g.wants = true
		close(g.known)
	}
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// maxHistory bounds the declarations remembered of one model: those still in
// their time are a few.
const maxHistory = 16

func (g *guide) remember(model string, decl rollout.Declared) {
	list := append(g.history[model], decl)
	g.history[model] = list[max(0, len(list)-maxHistory):]
}

// older takes over that a version was declared earlier than is known: the first to report it may
// have started after its declaration.
func (g *guide) older(model string, version uint64, since time.Time) {
	for i, known := range g.history[model] {
		if known.Version == version && since.Before(known.At) {
			g.history[model][i].At = since
		}
	}
	if want := g.wanted[model]; want.version == version && since.Before(want.since) {
		want.since = since
		g.wanted[model] = want
	}
}

// ages returns the versions whose declaration is known, with its age.
func (g *guide) ages(now time.Time) []*wire.DeclaredWeights {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []*wire.DeclaredWeights
	for _, model := range slices.Sorted(maps.Keys(g.history)) {
		for _, known := range g.history[model] {
			age := min(now.Sub(known.At), maxAge)
			found = append(found, &wire.DeclaredWeights{Model: model, Version: known.Version, AgeMillis: uint32(age.Milliseconds())})
		}
	}
	return found
}

// maxAge bounds the ages of declarations that are reported.
const maxAge = time.Hour

// declared returns the declarations known of a model, oldest first.
func (g *guide) declared(model string) []rollout.Declared {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.history[model])
}

// version returns what is known of an earlier declared version, given the newest
// one: they differ in version, fence and time alone.
func (g *guide) version(newest wanted, version uint64) wanted {
	for _, decl := range g.declared(newest.model) {
		if decl.Version == version && version != newest.version {
			newest.version, newest.since = decl.Version, decl.At
		}
	}
	return newest
}

// weights returns the weights wanted; ok is false while none are known. An
// engine serves one model: of several, the first by name.
func (g *guide) weights() (want wanted, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, one := range g.wanted {
		if !ok || one.model < want.model {
			want, ok = one, true
		}
	}
	return want, ok
}

func (g *guide) hosts() []*wire.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.peers)
}

// originRate returns the rate of the origin's link, bytes a second; 0: unknown.
func (g *guide) originRate() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rate
}

func (g *guide) originURL() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.origin
}

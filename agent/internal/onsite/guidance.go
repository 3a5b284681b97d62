// Package onsite implements the agent of one engine on a platform. The agent streams the
// engine's state to entries, receives from them which weights are wanted, transfers these
// to the host and orders the engine to load them.
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

// wantedWeights describes the weights that the engine should use.
type wantedWeights struct {
	model      string
	version    uint64
	fence      uint64        // fencing number for the load order
	declaredAt time.Time     // when the version was declared, as far as known
	loadTime   time.Duration // time that an engine takes to load the version
	chunks     int
	chunkBytes int
	// cutover says that every stream of the engine may continue at another engine, so that
	// a load need not wait for running streams.
	cutover bool
}

// guidanceStore merges the guidance of all entries and keeps the newest. It never goes back
// to an older version of the weights. It is safe for concurrent use.
type guidanceStore struct {
	mu             sync.Mutex
	revision       uint64                        // revision of the guidance that set peers and origin
	wanted         map[string]wantedWeights      // newest wanted version by model
	history        map[string][]rollout.Declared // declarations by model, newest last
	peers          []*wire.Node
	origin         string        // base URL of the origin
	originLinkRate float64       // bytes per second; 0: unknown
	changed        chan struct{} // signals new guidance; buffered by one
	anyWanted      bool          // whether any weights were ever wanted
	firstWanted    chan struct{} // closed when anyWanted becomes true
}

func newGuidanceStore() *guidanceStore {
	return &guidanceStore{wanted: map[string]wantedWeights{}, history: map[string][]rollout.Declared{}, changed: make(chan struct{}, 1), firstWanted: make(chan struct{})}
}

// awaitWanted waits until any weights are wanted and returns them.
func (g *guidanceStore) awaitWanted(ctx context.Context) (wantedWeights, error) {
	select {
	case <-ctx.Done():
		return wantedWeights{}, ctx.Err()
	case <-g.firstWanted:
	}
	want, _ := g.newestWanted()
	return want, nil
}

// receive merges the parts of an entry's guidance that are newer than the known ones.
func (g *guidanceStore) receive(now time.Time, guidance *wire.Guidance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if guidance.GetRevision() >= g.revision {
		g.revision = guidance.GetRevision()
		g.peers = peersOf(guidance.GetHosts())
		if guidance.GetOriginUrl() != "" {
			g.origin, g.originLinkRate = guidance.GetOriginUrl(), guidance.GetOriginRate()
		}
	}
	for _, weights := range guidance.GetWanted() {
		declaredAt := now.Add(-time.Duration(weights.GetAgeMillis()) * time.Millisecond)
		if weights.GetVersion() <= g.wanted[weights.GetModel()].version {
			g.moveDeclarationBack(weights.GetModel(), weights.GetVersion(), declaredAt)
			continue
		}
		g.addDeclaration(weights.GetModel(), rollout.Declared{Version: weights.GetVersion(), At: declaredAt})
		g.wanted[weights.GetModel()] = wantedWeights{
			model: weights.GetModel(), version: weights.GetVersion(), fence: weights.GetFence(),
			declaredAt: declaredAt, cutover: weights.GetCutover(),
			loadTime: time.Duration(weights.GetLoadSeconds() * float64(time.Second)),
			chunks:   int(weights.GetChunks()), chunkBytes: int(weights.GetChunkBytes()),
		}
	}
	if len(g.wanted) > 0 && !g.anyWanted {
		g.anyWanted = true
		close(g.firstWanted)
	}
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// maxHistory bounds the declarations kept per model. Only a few versions can still be
// within the time for which they may be used.
const maxHistory = 16

// addDeclaration appends to a model's history. The caller holds g.mu.
func (g *guidanceStore) addDeclaration(model string, decl rollout.Declared) {
	list := append(g.history[model], decl)
	g.history[model] = list[max(0, len(list)-maxHistory):]
}

// moveDeclarationBack corrects the time of a version's declaration if the reported one is
// earlier: the entry that reported the version first may have started after its
// declaration. The caller holds g.mu.
func (g *guidanceStore) moveDeclarationBack(model string, version uint64, declaredAt time.Time) {
	for i, known := range g.history[model] {
		if known.Version == version && declaredAt.Before(known.At) {
			g.history[model][i].At = declaredAt
		}
	}
	if want := g.wanted[model]; want.version == version && declaredAt.Before(want.declaredAt) {
		want.declaredAt = declaredAt
		g.wanted[model] = want
	}
}

// declarationAges returns all versions whose declaration is known, with its age.
func (g *guidanceStore) declarationAges(now time.Time) []*wire.DeclaredWeights {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []*wire.DeclaredWeights
	for _, model := range slices.Sorted(maps.Keys(g.history)) {
		for _, known := range g.history[model] {
			age := min(now.Sub(known.At), maxReportedAge)
			found = append(found, &wire.DeclaredWeights{Model: model, Version: known.Version, AgeMillis: uint32(age.Milliseconds())})
		}
	}
	return found
}

// maxReportedAge is the upper limit of the ages that declarationAges returns.
const maxReportedAge = time.Hour

// declarations returns the known declarations of a model, oldest first.
func (g *guidanceStore) declarations(model string) []rollout.Declared {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.history[model])
}

// wantedVersion returns the description of an earlier declared version, derived from the
// newest one: versions differ in number, fencing number and time of declaration only. The
// fencing number of the newest one is kept.
func (g *guidanceStore) wantedVersion(newest wantedWeights, version uint64) wantedWeights {
	for _, decl := range g.declarations(newest.model) {
		if decl.Version == version && version != newest.version {
			newest.version, newest.declaredAt = decl.Version, decl.At
		}
	}
	return newest
}

// newestWanted returns the newest wanted weights; ok is false while none are known. An
// engine serves one model; if several are wanted, the first by name is returned.
func (g *guidanceStore) newestWanted() (want wantedWeights, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, candidate := range g.wanted {
		if !ok || candidate.model < want.model {
			want, ok = candidate, true
		}
	}
	return want, ok
}

// hosts returns the agents that entries listed as peers.
func (g *guidanceStore) hosts() []*wire.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.peers)
}

// originRate returns the rate of the origin's link in bytes per second; 0: unknown.
func (g *guidanceStore) originRate() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.originLinkRate
}

// originURL returns the origin's base URL; empty: unknown.
func (g *guidanceStore) originURL() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.origin
}

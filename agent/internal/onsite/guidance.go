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
type wantedWeights struct {
	model      string
	version    uint64
	fence      uint64
	declaredAt time.Time // when it was declared, as far as known
	loadTime   time.Duration
	chunks     int
	chunkBytes int // of a chunk, bytes
	// cutover: every stream of the engine may go on at another one, so that a
	// load need not wait for those that run.
	cutover bool
}

// guide is the newest guidance of each entry. A guide never goes back to
// an older version. It is safe for concurrent use.
type guidanceStore struct {
	mu             sync.Mutex
	revision       uint64 // of the guidance that gave peers and origin
	wanted         map[string]wantedWeights
	history        map[string][]rollout.Declared // by model, newest last
	peers          []*wire.Node
	origin         string
	originLinkRate float64       // of the origin's link, bytes a second; 0: unknown
	changed        chan struct{} // buffered by one
	anyWanted      bool          // any weights were ever wanted
	firstWanted    chan struct{} // closed then
}

func newGuidanceStore() *guidanceStore {
	return &guidanceStore{wanted: map[string]wantedWeights{}, history: map[string][]rollout.Declared{}, changed: make(chan struct{}, 1), firstWanted: make(chan struct{})}
}

// await returns the weights wanted once some are.
func (g *guidanceStore) awaitWanted(ctx context.Context) (wantedWeights, error) {
	select {
	case <-ctx.Done():
		return wantedWeights{}, ctx.Err()
	case <-g.firstWanted:
	}
	want, _ := g.newestWanted()
	return want, nil
}

// receive takes over what is newer than what is known.
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

// maxHistory bounds the declarations remembered of one model: those still in
// their time are a few.
const maxHistory = 16

func (g *guidanceStore) addDeclaration(model string, decl rollout.Declared) {
	list := append(g.history[model], decl)
	g.history[model] = list[max(0, len(list)-maxHistory):]
}

// older takes over that a version was declared earlier than is known: the first to report it may
// have started after its declaration.
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

// ages returns the versions whose declaration is known, with its age.
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

// maxAge bounds the ages of declarations that are reported.
const maxReportedAge = time.Hour

// declared returns the declarations known of a model, oldest first.
func (g *guidanceStore) declarations(model string) []rollout.Declared {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.history[model])
}

// version returns what is known of an earlier declared version, given the newest
// one: they differ in version, fence and time alone.
func (g *guidanceStore) wantedVersion(newest wantedWeights, version uint64) wantedWeights {
	for _, decl := range g.declarations(newest.model) {
		if decl.Version == version && version != newest.version {
			newest.version, newest.declaredAt = decl.Version, decl.At
		}
	}
	return newest
}

// weights returns the weights wanted; ok is false while none are known. An
// engine serves one model: of several, the first by name.
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

func (g *guidanceStore) hosts() []*wire.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.peers)
}

// originRate returns the rate of the origin's link, bytes a second; 0: unknown.
func (g *guidanceStore) originRate() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.originLinkRate
}

func (g *guidanceStore) originURL() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.origin
}

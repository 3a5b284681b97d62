// Package report builds the reports that the agent sends about its host.
package report

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/agent/internal/engine"
	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/agent/internal/orders"
	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// cacheInterval is how often the engine's cache events are read.
const cacheInterval = time.Second

// Config holds the settings and dependencies of a Reporter.
type Config struct {
	Self     *wire.Node
	Clock    clockwork.Clock
	Endpoint string
	Service  string
	Engine   *engine.Client
	Gate     *gate.Gate
	Orders   *orders.Runner
	Weights  *weights.Manager
	View     *view.Holder
}

// Reporter builds host reports. It is safe for concurrent use.
type Reporter struct {
	cfg Config

	mu       sync.Mutex
	sequence uint64 // of the last report
	prefixes prefixes
	version  string // weights version that the prefixes belong to
}

// New returns a Reporter.
func New(cfg Config) *Reporter { return &Reporter{cfg: cfg} }

// Build returns a new report with the next sequence number.
func (r *Reporter) Build() *wire.HostReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	snap, _ := r.cfg.View.Load()
	state := r.cfg.Gate.State()
	origin, peer, sent := r.cfg.Weights.Counters()
	out := &wire.HostReport{
		Node:           r.cfg.Self,
		Sequence:       r.sequence,
		Leaving:        state.Leaving(),
		Versions:       r.cfg.Orders.States(),
		Endpoint:       r.cfg.Endpoint,
		Service:        r.cfg.Service,
		Running:        uint32(state.Running()),
		TokenGapMillis: float64(r.cfg.Gate.TokenGap()) / float64(time.Millisecond),
		OriginBytes:    origin,
		PeerBytes:      peer,
		SentBytes:      sent,
		Prefixes:       append([]uint64(nil), r.prefixes.hashes...),
		Fence:          r.cfg.Orders.Fence(),
		Revision:       snap.Revision,
	}
	r.addStatus(out)
	return out
}

// addStatus adds the engine's status to the report, except for its count of
// running requests: that lags behind, so the report uses the gate's count.
func (r *Reporter) addStatus(out *wire.HostReport) {
	status := r.cfg.Orders.Status()
	if status == nil {
		return
	}
	out.EngineRole = status.Role
	out.Queued = status.Queued
	out.Slots = status.Slots
	out.TokensPerSecond = status.TokensPerSecond
}

// Sequence returns the sequence number of the last report.
func (r *Reporter) Sequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence
}

// Work reads the engine's cache events until ctx is done. On a service host it
// returns immediately.
func (r *Reporter) Work(ctx context.Context) error {
	if r.cfg.Service != "" {
		return nil
	}
	ticker := r.cfg.Clock.NewTicker(cacheInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			r.readCache(ctx)
		}
	}
}

// readCache applies the engine's new cache events. On an error it keeps the
// prefixes and retries at the next interval.
func (r *Reporter) readCache(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cacheInterval)
	defer cancel()
	r.mu.Lock()
	r.resetOnNewVersion()
	after := r.prefixes.lastEvent
	r.mu.Unlock()
	events, next, err := r.cfg.Engine.CacheEvents(ctx, after)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixes.apply(events, next)
}

// resetOnNewVersion discards the prefixes when the engine has loaded another
// version. The caller holds r.mu.
func (r *Reporter) resetOnNewVersion() {
	status := r.cfg.Orders.Status()
	if status == nil || status.Version == r.version {
		return
	}
	r.version = status.Version
	r.prefixes.reset()
}

// Package gate controls the access of the entries to the endpoint of this host.
// The entries have no other access to it. The package admits an attempt if it is
// meant for this process and for the loaded version and may still run, forwards it
// to the endpoint, and streams the answer back. The kind of the last frame says
// what happened: "refused" proves that the attempt did not run, "end" that the
// answer is complete, and "broken" proves neither.
package gate

import (
	"context"
	"expvar"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/agent/internal/engine"
	"comfreyrelay.example/relay/attempt"
	"comfreyrelay.example/relay/drain"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// tickInterval is how often drain deadlines and the retention of recorded attempts
// are checked.
const tickInterval = 100 * time.Millisecond

// Config holds the settings and dependencies of a Gate.
type Config struct {
	Self  *wire.Node
	Clock clockwork.Clock
	Log   *slog.Logger
	// Secure is set if callers authenticate with certificates.
	Secure bool
	// EndpointClass is the name of this endpoint's EndpointClass in the document.
	EndpointClass string
	// Service is the name of the plain service; it is empty for an engine.
	Service string
	Engine  *engine.Client
	View    *view.Holder
	// Suspect is called when the endpoint cannot be reached or behaves as if it
	// had loaded something other than it confirmed. It must not block.
	Suspect func()
	// Observe is called with the revisions that a caller knows. It must not block.
	Observe    func(from *wire.Node, known *wire.Known)
	Invariants *Invariants
	Counters   *expvar.Map
}

// Gate admits attempts, forwards them to the endpoint and drains it. It is safe
// for concurrent use.
type Gate struct {
	cfg       Config
	rules     ruleCache
	attempts  *attemptStore
	admission admission
	limiter   *concurrencyLimiter
	tokenGaps tokenGapStats
}

// New returns a Gate that refuses all attempts until Open is called.
func New(cfg Config) *Gate {
	return &Gate{
		cfg:       cfg,
		rules:     ruleCache{holder: cfg.View, endpoint: cfg.EndpointClass},
		attempts:  newAttemptStore(cfg.Clock.Now()),
		admission: admission{drain: drain.NewWorkTracker(drain.Drained)},
		limiter:   newConcurrencyLimiter(),
	}
}

// Open starts to admit attempts for what the endpoint confirmed to have loaded. It
// reports false while attempts on the previous weights still run, after Exit, or
// if other weights are being served.
func (g *Gate) Open(loaded Loaded) bool { return g.admission.open(loaded) }

// Drain stops admitting attempts and cancels those that still run after limit.
func (g *Gate) Drain(limit time.Duration) { g.admission.beginDrain(g.cfg.Clock.Now(), limit) }

// AbandonDrain ends a drain and admits attempts again. It may only be called before
// anything was changed at the endpoint. It reports false if the drain has finished
// or is past its deadline, or after Exit.
func (g *Gate) AbandonDrain() bool { return g.admission.abandonDrain() }

// SetLeaving sets whether all new attempts are refused because the host is taken
// out of service.
func (g *Gate) SetLeaving(leaving bool) { g.admission.setLeaving(leaving) }

// Exit refuses all new attempts permanently and cancels those that still run after
// limit.
func (g *Gate) Exit(limit time.Duration) { g.admission.shutDown(g.cfg.Clock.Now(), limit) }

// Stop cancels all running attempts immediately.
func (g *Gate) Stop() { g.attempts.cancelAll() }

// State returns a snapshot of the admission state.
func (g *Gate) State() State { return g.admission.state() }

// SetSlots sets the number of requests that the engine runs at once, as reported by
// the engine; 0 means unknown.
func (g *Gate) SetSlots(slots int) { g.limiter.setSlots(slots) }

// TokenGap returns the median time between tokens; 0 while unknown.
func (g *Gate) TokenGap() time.Duration { return g.tokenGaps.lastMedian() }

// TokenSlowdown returns how much slower tokens arrive than at their recent best, from
// 0 (not slower) to 1.
func (g *Gate) TokenSlowdown() float64 { return g.tokenGaps.slowdown() }

// RecordedRequests returns the number of requests whose attempts are recorded.
func (g *Gate) RecordedRequests() int { return g.attempts.len() }

// Work runs the periodic tasks until ctx is done: it calls Tick, and once a second
// updates the token gap statistics.
func (g *Gate) Work(ctx context.Context) error {
	ticker := g.cfg.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	lastGapUpdate := g.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		now := g.cfg.Clock.Now()
		g.Tick(now)
		if now.Sub(lastGapUpdate) >= time.Second {
			g.tokenGaps.update(now)
			lastGapUpdate = now
		}
	}
}

// Tick removes recorded attempts whose retention is over, and cancels all running
// attempts when the drain deadline has passed.
func (g *Gate) Tick(now time.Time) {
	g.attempts.advance(now)
	if g.admission.tick(now) {
		g.cfg.Log.Warn("drain deadline passed, running attempts are stopped", "running", g.admission.state().running)
		g.attempts.cancelAll()
	}
}

// Run implements Run of wire.Host: it executes one attempt and sends its frames.
func (g *Gate) Run(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
	if err := g.authorize(stream.Context(), att.GetFrom()); err != nil {
		return err
	}
	g.cfg.Observe(att.GetFrom(), att.GetKnown())
	reply := &replyStream{gate: g, att: att, send: stream.Send}
	active, refused := g.admit(stream.Context(), att)
	if !refused.isZero() {
		return reply.sendRefused(refused)
	}
	defer active.finish(true)
	if att.GetService() != "" {
		return g.call(active, reply)
	}
	return g.generate(active, reply)
}

// authorize accepts only calls from entries. An entry may not send messages in the
// name of another node.
func (g *Gate) authorize(ctx context.Context, from *wire.Node) error {
	if err := peer.Require(ctx, g.cfg.Secure, peer.RoleEntry); err != nil {
		g.cfg.Counters.Add("unauthorized", 1)
		return err
	}
	caller, authenticated := peer.CallerOf(ctx)
	if authenticated && caller.Node() != from.GetId() {
		g.cfg.Counters.Add("unauthorized", 1)
		return errOtherNode
	}
	return nil
}

// Cancel implements Cancel of wire.Host: it stops a running attempt, or records a
// tombstone so that an attempt that has not begun never does. A cancel meant for
// another incarnation proves nothing about the attempt.
//
// Rule OTHER of spec/once.pml.
func (g *Gate) Cancel(ctx context.Context, req *wire.CancelRequest) (*wire.CancelReply, error) {
	if err := g.authorize(ctx, req.GetFrom()); err != nil {
		return nil, err
	}
	if req.GetIncarnation() != g.cfg.Self.GetIncarnation() {
		return &wire.CancelReply{State: "otherIncarnation"}, nil
	}
	key := attemptKey{id: attempt.ParseID(req.GetRequestId()), number: req.GetAttempt()}
	state, recorded := g.attempts.cancel(key)
	if !recorded {
		return nil, errMemoryFull
	}
	g.cfg.Counters.Add("cancelled", 1)
	return &wire.CancelReply{State: cancelStates[state]}, nil
}

// cancelStates maps the states to their values on the wire. A refused attempt counts
// as never begun: it is proved not to have run, and its number never begins again.
var cancelStates = map[attempt.State]string{
	attempt.Tombstoned: "neverBegun",
	attempt.Refused:    "neverBegun",
	attempt.Running:    "running",
	attempt.Ended:      "ended",
}

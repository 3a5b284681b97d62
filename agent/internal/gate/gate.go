// Package gate is the only way from the entries to the endpoint of this host.
// It lets an attempt in if it is meant for this process and this version and
// may still run, forwards it, and streams the answer back with proof of what
// happened: "refused" means not run, "end" means whole, "broken" means neither.
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

// tickInterval is how often drains and the memory of attempts move on.
const tickInterval = 100 * time.Millisecond

// Config holds what a Gate needs from its process.
type Config struct {
	Self  *wire.Node
	Clock clockwork.Clock
	Log   *slog.Logger
	// Secure: callers show certificates.
	Secure bool
	// Endpoint is the name of the document's EndpointClass.
	Endpoint string
	// Service is the plain service's name; empty for an engine.
	Service string
	Engine  *engine.Client
	View    *view.Holder
	// Suspect is called when the endpoint contradicts what it was confirmed to
	// have loaded; it does not block.
	Suspect func()
	// Observe receives the revisions that a caller knows; it does not block.
	Observe    func(from *wire.Node, known *wire.Known)
	Invariants *Invariants
	Counters   *expvar.Map
}

// Gate is safe for concurrent use.
type Gate struct {
	cfg       Config
	rules     ruleCache
	attempts  *attemptStore
	admission admission
	limiter   *concurrencyLimiter
	tokenGaps tokenGapStats
}

// New returns a Gate that is shut until Open.
func New(cfg Config) *Gate {
	return &Gate{
		cfg:       cfg,
		rules:     ruleCache{holder: cfg.View, endpoint: cfg.Endpoint},
		attempts:  newAttemptStore(cfg.Clock.Now()),
		admission: admission{drain: drain.NewLane(drain.Drained)},
		limiter:   newConcurrencyLimiter(),
	}
}

// Open serves what the endpoint was confirmed to have loaded. It reports false
// while attempts on former weights still run.
func (g *Gate) Open(loaded Loaded) bool { return g.admission.open(loaded) }

// Drain lets nothing in and cancels what still runs after limit.
func (g *Gate) Drain(limit time.Duration) { g.admission.beginDrain(g.cfg.Clock.Now(), limit) }

// Abandon ends a drain before anything was changed at the endpoint. It reports
// false where the drain is over or past its deadline.
func (g *Gate) Abandon() bool { return g.admission.abandonDrain() }

// SetLeaving refuses all new attempts, or takes that back.
func (g *Gate) SetLeaving(leaving bool) { g.admission.setLeaving(leaving) }

// Exit refuses all new attempts for good and cancels what still runs after
// limit.
func (g *Gate) Exit(limit time.Duration) { g.admission.shutDown(g.cfg.Clock.Now(), limit) }

// Stop cancels everything that runs, now.
func (g *Gate) Stop() { g.attempts.cancelAll() }

// State returns the state of the gate.
func (g *Gate) State() State { return g.admission.state() }

// SetSlots takes the engine's own count of requests that it runs at once.
func (g *Gate) SetSlots(slots int) { g.limiter.setSlots(slots) }

// TokenGap returns the median time between tokens; 0 while unknown.
func (g *Gate) TokenGap() time.Duration { return g.tokenGaps.lastMedian() }

// TokensSlow returns 0 to 1: how much slower tokens flow than at their recent
// best.
func (g *Gate) TokensSlow() float64 { return g.tokenGaps.slowdown() }

// Remembered returns how many requests the memory of attempts holds.
func (g *Gate) Remembered() int { return g.attempts.len() }

// Work moves drains and the memory on until ctx ends.
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

// Tick moves drains and the memory on.
func (g *Gate) Tick(now time.Time) {
	g.attempts.advance(now)
	if g.admission.tick(now) {
		g.cfg.Log.Warn("drain deadline passed, running attempts are stopped", "running", g.admission.state().running)
		g.attempts.cancelAll()
	}
}

// Run executes one attempt: wire.Host's Run.
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

// identify accepts calls of entries alone. One entry's certificate does not
// speak for another.
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

// Cancel leaves a tombstone or stops what runs: wire.Host's Cancel.
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

// cancelStates are the words of the wire. A refused attempt was proved unrun
// and its number never begins again.
var cancelStates = map[attempt.State]string{
	attempt.Buried:  "neverBegun",
	attempt.Refused: "neverBegun",
	attempt.Running: "running",
	attempt.Ended:   "ended",
}

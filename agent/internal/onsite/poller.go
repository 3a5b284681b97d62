package onsite

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/wire"
)

const (
	// pollInterval is the time between two polls of the engine's state. It is a fraction of
	// one pass over the engine's batch, so that entries learn of a free slot well before
	// the next pass begins.
	pollInterval = 30 * time.Millisecond
	// idlePollInterval is the same while the engine runs no requests.
	idlePollInterval = 80 * time.Millisecond
	// pollTimeout bounds one poll. An engine on the same host answers within a millisecond.
	pollTimeout = 250 * time.Millisecond
	// maxFailedPolls is the number of consecutive failed polls after which the engine is
	// reported dead.
	maxFailedPolls = 2
)

// enginePoller polls the engine for its state and keeps the newest.
type enginePoller struct {
	engine *platform.Engine
	clock  clockwork.Clock
	log    *slog.Logger

	// notify is called after each poll, to send the state to the entries that are due.
	notify func()

	mu                sync.Mutex
	sequence          uint64                // grows with each change of what entries receive
	state             platform.EngineReport // newest report
	alive             bool
	aliveKnown        bool  // the engine answered once or was found dead
	failures          int   // consecutive failed polls
	unprocessedTokens int64 // prompt tokens that entries sent and the engine has not processed yet
	pinnedRequests    int   // requests in progress that no other engine can continue
	loadPending       bool  // a load order is imminent: entries should send no new requests
	withheld          bool  // the engine may serve corrupted weights: entries should send no requests
}

func newEnginePoller(engine *platform.Engine, clock clockwork.Clock, log *slog.Logger) *enginePoller {
	return &enginePoller{engine: engine, clock: clock, log: log, notify: func() {}}
}

// run polls the engine until ctx is done.
func (p *enginePoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.poll(ctx)
		p.notify()
		wait := idlePollInterval
		if report, alive := p.report(); alive && report.Running > 0 {
			wait = pollInterval
		}
		select {
		case <-ctx.Done():
		case <-p.clock.After(wait):
		}
	}
}

// poll asks the engine for its state once and records the result.
func (p *enginePoller) poll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := p.engine.Report(callCtx)
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failures++
		p.aliveKnown = p.aliveKnown || p.failures >= maxFailedPolls
		if p.failures >= maxFailedPolls && p.alive {
			p.alive = false
			p.log.Warn("dependency lost", "dependency", "engine", "error", err)
			p.sequence++
		}
		return
	}
	p.failures, p.aliveKnown = 0, true
	if p.state.Born != 0 && report.Born != p.state.Born {
		p.log.Warn("the engine started again", "born", report.Born, "before", p.state.Born, "loaded", report.Loaded)
	}
	if !p.alive {
		p.log.Info("dependency regained", "dependency", "engine", "born", report.Born, "loaded", report.Loaded, "orders", report.Orders)
	}
	if report.Leaving && !p.state.Leaving {
		p.log.Info("the engine leaves", "born", report.Born, "running", report.Running, "queued", report.Queued)
	}
	if !p.alive || !sameReport(report, p.state) {
		p.state, p.alive = report, true
		p.sequence++
	}
}

// sameReport reports whether two reports agree, apart from their KV cache usage.
func sameReport(left, right platform.EngineReport) bool {
	return left.Born == right.Born && left.Running == right.Running && left.Queued == right.Queued && left.Busy == right.Busy &&
		left.Orders == right.Orders && left.Pace == right.Pace && left.Leaving == right.Leaving && maps.Equal(left.Loaded, right.Loaded)
}

// addUnprocessedTokens adds the change in one entry's number of unprocessed prompt tokens.
func (p *enginePoller) addUnprocessedTokens(tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unprocessedTokens += tokens
	p.sequence++
}

// addPinnedRequests adds the change in one entry's number of requests that no other engine
// can continue.
func (p *enginePoller) addPinnedRequests(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pinnedRequests += count
}

// countPinnedRequests returns how many requests are in progress that no other engine can
// continue.
func (p *enginePoller) countPinnedRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pinnedRequests
}

// setLoadPending sets whether the agent reports to entries that a load order is imminent.
func (p *enginePoller) setLoadPending(pending bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loadPending != pending {
		p.loadPending = pending
		p.sequence++
	}
}

// setWithheld sets whether the agent reports to entries that the engine accepts no requests.
func (p *enginePoller) setWithheld(withheld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.withheld != withheld {
		p.withheld = withheld
		p.sequence++
	}
}

// report returns the newest state; alive is false while the engine does not answer.
func (p *enginePoller) report() (report platform.EngineReport, alive bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.alive
}

// known reports whether the engine has been found alive or dead. An agent that has just
// started does not know yet.
func (p *enginePoller) known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.aliveKnown
}

// currentSequence returns a number that grows with each change of what entries receive.
func (p *enginePoller) currentSequence() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sequence
}

// message returns the state in the form in which it is sent to entries.
func (p *enginePoller) message() *wire.EngineState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := &wire.EngineState{
		Sequence: p.sequence, Born: p.state.Born, Alive: p.alive,
		Running: uint32(p.state.Running), Queued: uint32(p.state.Queued),
		KvUsed: p.state.KVUsed, KvTotal: p.state.KVTotal, Pace: p.state.Pace,
		Busy: p.state.Busy || p.loadPending || p.withheld, Reading: uint32(max(0, p.unprocessedTokens)),
		Leaving: p.state.Leaving,
	}
	for model, version := range p.state.Loaded {
		state.Loaded = append(state.Loaded, &wire.LoadedWeights{Model: model, Version: version})
	}
	return state
}

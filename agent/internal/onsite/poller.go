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
}

func newEnginePoller(engine *platform.Engine, clock clockwork.Clock, log *slog.Logger) *enginePoller {
	return &enginePoller{engine: engine, clock: clock, log: log, notify: func() {}}
}

// run polls the engine until ctx is done.
func (w *enginePoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.poll(ctx)
		w.notify()
		wait := idlePollInterval
		if report, alive := w.report(); alive && report.Running > 0 {
			wait = pollInterval
		}
		select {
		case <-ctx.Done():
		case <-w.clock.After(wait):
		}
	}
}

// poll asks the engine for its state once and records the result.
func (w *enginePoller) poll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := w.engine.Report(callCtx)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failures++
		w.aliveKnown = w.aliveKnown || w.failures >= maxFailedPolls
		if w.failures >= maxFailedPolls && w.alive {
			w.alive = false
			w.log.Warn("dependency lost", "dependency", "engine", "error", err)
			w.sequence++
		}
		return
	}
	w.failures, w.aliveKnown = 0, true
	if w.state.Born != 0 && report.Born != w.state.Born {
		w.log.Warn("the engine started again", "born", report.Born, "before", w.state.Born, "loaded", report.Loaded)
	}
	if !w.alive {
		w.log.Info("dependency regained", "dependency", "engine", "born", report.Born, "loaded", report.Loaded, "orders", report.Orders)
	}
	if report.Leaving && !w.state.Leaving {
		w.log.Info("the engine leaves", "born", report.Born, "running", report.Running, "queued", report.Queued)
	}
	if !w.alive || !sameReport(report, w.state) {
		w.state, w.alive = report, true
		w.sequence++
	}
}

// sameReport reports whether two reports agree, apart from their KV cache usage.
func sameReport(left, right platform.EngineReport) bool {
	return left.Born == right.Born && left.Running == right.Running && left.Queued == right.Queued && left.Busy == right.Busy &&
		left.Orders == right.Orders && left.Pace == right.Pace && left.Leaving == right.Leaving && maps.Equal(left.Loaded, right.Loaded)
}

// addUnprocessedTokens adds the change in one entry's number of unprocessed prompt tokens.
func (w *enginePoller) addUnprocessedTokens(tokens int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unprocessedTokens += tokens
	w.sequence++
}

// addPinnedRequests adds the change in one entry's number of requests that no other engine
// can continue.
func (w *enginePoller) addPinnedRequests(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pinnedRequests += count
}

// countPinnedRequests returns how many requests are in progress that no other engine can
// continue.
func (w *enginePoller) countPinnedRequests() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pinnedRequests
}

// setLoadPending sets whether entries are told that a load order is imminent.
func (w *enginePoller) setLoadPending(pending bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loadPending != pending {
		w.loadPending = pending
		w.sequence++
	}
}

// report returns the newest state; alive is false while the engine does not answer.
func (w *enginePoller) report() (report platform.EngineReport, alive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state, w.alive
}

// known reports whether the engine has been found alive or dead. An agent that has just
// started does not know yet.
func (w *enginePoller) known() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.aliveKnown
}

// currentSequence returns a number that grows with each change of what entries receive.
func (w *enginePoller) currentSequence() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sequence
}

// message returns the state in the form in which it is sent to entries.
func (w *enginePoller) message() *wire.EngineState {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := &wire.EngineState{
		Sequence: w.sequence, Born: w.state.Born, Alive: w.alive,
		Running: uint32(w.state.Running), Queued: uint32(w.state.Queued),
		KvUsed: w.state.KVUsed, KvTotal: w.state.KVTotal, Pace: w.state.Pace,
		Busy: w.state.Busy || w.loadPending, Reading: uint32(max(0, w.unprocessedTokens)),
		Leaving: w.state.Leaving,
	}
	for model, version := range w.state.Loaded {
		state.Loaded = append(state.Loaded, &wire.LoadedWeights{Model: model, Version: version})
	}
	return state
}

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
	// pollInterval is how often the engine is asked for its state: a part of a
	// pass, so that entries see a free slot well before the next pass begins.
	pollInterval = 30 * time.Millisecond
	// idlePoll is the same while nothing runs.
	idlePollInterval = 80 * time.Millisecond
	// pollTimeout is how long the engine may take to answer; one on the same
	// host answers in a millisecond.
	pollTimeout = 250 * time.Millisecond
	// deadPolls is the polls in a row that fail until the engine is reported dead.
	maxFailedPolls = 2
)

// watch asks the engine for its state and keeps the newest.
type enginePoller struct {
	engine *platform.Engine
	clock  clockwork.Clock
	log    *slog.Logger

	// beat is called after each look, on which whatever waits for a turn goes on.
	notify func()

	mu            sync.Mutex
	sequence      uint64 // grows with each change
	state         platform.EngineReport
	alive         bool
	aliveKnown    bool // the engine answered once or was found dead
	failures      int
	unreadTokens  int64 // prompt tokens that entries sent and that are not read
	finalRequests int   // requests of entries that can't go on at another engine
	loadPending   bool  // an order is about to be given: nothing new should come
}

func newEnginePoller(engine *platform.Engine, clock clockwork.Clock, log *slog.Logger) *enginePoller {
	return &enginePoller{engine: engine, clock: clock, log: log, notify: func() {}}
}

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

func sameReport(left, right platform.EngineReport) bool {
	return left.Born == right.Born && left.Running == right.Running && left.Queued == right.Queued && left.Busy == right.Busy &&
		left.Orders == right.Orders && left.Pace == right.Pace && left.Leaving == right.Leaving && maps.Equal(left.Loaded, right.Loaded)
}

// addReading counts an entry's report of its prompts.
func (w *enginePoller) addUnreadTokens(tokens int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreadTokens += tokens
	w.sequence++
}

// addFinal counts an entry's report of its requests that can't go on elsewhere.
func (w *enginePoller) addFinalRequests(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finalRequests += count
}

// finals returns how many requests are in progress that can't go on elsewhere.
func (w *enginePoller) countFinalRequests() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.finalRequests
}

// setOrdering reports to entries that the engine is about to get an order.
func (w *enginePoller) setLoadPending(pending bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loadPending != pending {
		w.loadPending = pending
		w.sequence++
	}
}

// report returns the newest state; alive is false where the engine does not
// answer.
func (w *enginePoller) report() (report platform.EngineReport, alive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state, w.alive
}

// known reports whether the state says anything of the engine: an agent that has just started
// knows nothing of it.
func (w *enginePoller) known() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.aliveKnown
}

// version returns a number that grows with each change of what entries receive.
func (w *enginePoller) currentSequence() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sequence
}

// message returns the state that entries receive.
func (w *enginePoller) message() *wire.EngineState {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := &wire.EngineState{
		Sequence: w.sequence, Born: w.state.Born, Alive: w.alive,
		Running: uint32(w.state.Running), Queued: uint32(w.state.Queued),
		KvUsed: w.state.KVUsed, KvTotal: w.state.KVTotal, Pace: w.state.Pace,
		Busy: w.state.Busy || w.loadPending, Reading: uint32(max(0, w.unreadTokens)),
		Leaving: w.state.Leaving,
	}
	for model, version := range w.state.Loaded {
		state.Loaded = append(state.Loaded, &wire.LoadedWeights{Model: model, Version: version})
	}
	return state
}

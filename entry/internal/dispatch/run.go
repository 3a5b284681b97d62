package dispatch

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/retry"
	"comfreyrelay.example/relay/route"
	"comfreyrelay.example/relay/wire"
)

// Constants of an attempt.
const (
	cancelTimeout = 300 * time.Millisecond
	cutoffShare   = 10 // of the time left is kept for a cancel, at most
	// A silent host is given up for a repeatable request after a multiple of
	// what is usual, within bounds.
	patienceFactor = 10
	minPatience    = time.Second
	maxPatience    = 10 * time.Second
	// impatience for what may not be repeated only costs an unknown outcome.
	onceFactor = 3
	// A host's speed is looked at after so many tokens, or so much time.
	speedEvery = 8
	speedTime  = 150 * time.Millisecond
)

// run is one request on its way.
type run struct {
	dispatcher *Dispatcher
	lane       *lane
	req        *Request
	sink       Sink
	progress   *Progress
	started    time.Time
	exclude    []string // hosts that failed the request
	hashed     uint64   // prefix hash; 0 until computed
	host       string   // of the last attempt
	affinity   bool
	queued     time.Duration
	firstToken time.Duration
	gone       bool // the caller is gone; the answer is collected all the same
	moved      bool // it left a slow host once already
}

// attemptEnd is how one attempt ended.
type attemptEnd struct {
	whole      bool
	refused    bool // proved not run, by the agent
	cancelled  bool // by the caller or the deadline: not the host's fault
	reason     string
	left       bool // by us, for a quicker host; its retry is paid for
	retryAfter time.Duration
}

// attempt runs the request once on the chosen host.
func (r *run) attempt(ctx context.Context, choice route.Choice) attemptEnd {
	cfg := &r.dispatcher.cfg
	adapter := choice.AdapterVersion(r.req.Adapter)
	resume, ok := r.progress.Start(choice.Host.Version, adapter)
	if !cfg.Invariants.Check(ok, "attemptAllowed", "request", r.req.ID, "version", choice.Host.Version) {
		r.lane.finish(choice, route.Result{End: route.EndCancelled})
		return attemptEnd{reason: "internal error"}
	}
	r.host, r.affinity = choice.Host.ID, choice.Affinity()
	timing := &timing{clock: cfg.Clock, started: cfg.Clock.Now()}
	end := r.exchange(ctx, choice, r.message(ctx, choice, resume), timing)
	r.progress.Close()
	if !end.whole && !end.refused {
		r.settle(ctx, choice)
	}
	r.lane.finish(choice, timing.result(end))
	cfg.Log.Debug("attempt ended", "request", r.req.ID, "attempt", r.progress.Number(), "host", r.host,
		"whole", end.whole, "refused", end.refused, "reason", end.reason)
	return end
}

func (r *run) message(ctx context.Context, choice route.Choice, resume []string) *wire.Attempt {
	left := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		left = max(0, deadline.Sub(r.dispatcher.cfg.Clock.Now()))
	}
	return &wire.Attempt{
		From:           r.dispatcher.cfg.Self,
		Known:          r.dispatcher.cfg.Known(),
		RequestId:      r.req.ID,
		Attempt:        r.progress.Number(),
		Incarnation:    choice.Host.Incarnation,
		Customer:       r.req.Customer,
		Model:          r.req.Model,
		Version:        choice.Host.Version,
		Adapter:        r.req.Adapter,
		Service:        r.req.Service,
		Repeatable:     r.req.Repeatable,
		Priority:       enginePriority(r.req),
		DeadlineMillis: uint32(left / time.Millisecond),
		Prompt:         r.req.Prompt,
		MaxTokens:      uint32(r.req.MaxTokens),
		ResumeTokens:   resume,
		Body:           r.req.Body,
	}
}

// exchange hands the attempt out and takes its frames until it is over.
func (r *run) exchange(ctx context.Context, choice route.Choice, message *wire.Attempt, timing *timing) attemptEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := r.watch(cancel)
	defer watch.stop()
	stream, handedOut, err := r.dispatcher.cfg.Hosts.Run(ctx, choice.Host.Address, message)
	if handedOut {
		r.progress.HandedOut()
	}
	if err != nil {
		return r.failed(ctx, watch, "the host cannot be reached")
	}
	defer func() { _ = stream.Close() }()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return r.failed(ctx, watch, streamReason(err))
		}
		watch.restart()
		step := r.progress.Take(frame)
		r.note(choice, frame, step)
		if end, over := r.follow(choice, frame, step, timing, watch); over {
			return end
		}
	}
}

func streamReason(err error) string {
	if errors.Is(err, io.EOF) {
		return "the host ended the answer early"
	}
	return "the connection to the host broke"
}

func (r *run) failed(ctx context.Context, watch *watch, reason string) attemptEnd {
	if watch.fired.Load() {
		return attemptEnd{reason: "the host was silent for too long"}
	}
	return attemptEnd{reason: reason, cancelled: ended(ctx)}
}

// note takes the host's word on its load. Frames of tokens carry none.
func (r *run) note(choice route.Choice, frame *wire.Frame, step Step) {
	switch step.Kind {
	case StepBegin, StepWhole:
		r.lane.observeLoad(choice, frame.GetRunning(), frame.GetQueued())
	case StepDrop, StepRelay, StepRefused, StepBroken:
	}
}

// follow does what a step asks for.
func (r *run) follow(choice route.Choice, frame *wire.Frame, step Step, timing *timing, watch *watch) (attemptEnd, bool) {
	switch step.Kind {
	case StepRelay:
		return r.relay(choice, step, timing, watch)
	case StepWhole:
		return attemptEnd{whole: true}, true
	case StepRefused:
		wait := time.Duration(frame.GetRetryAfterMillis()) * time.Millisecond
		return attemptEnd{refused: true, reason: "refused: " + step.Reason, retryAfter: wait}, true
	case StepBroken:
		return attemptEnd{reason: step.Reason}, true
	default:
		return attemptEnd{}, false
	}
}

// relay passes tokens on. While the caller takes them, no frame is read: the
// transport's flow control slows the host down, and a slow caller costs only
// the buffers of one connection.
func (r *run) relay(choice route.Choice, step Step, timing *timing, watch *watch) (attemptEnd, bool) {
	timing.tokens(len(step.Tokens))
	if timing.count == len(step.Tokens) && timing.count > 0 {
		_, watch.limit = r.patience()
	}
	if r.firstToken == 0 {
		r.firstToken = r.dispatcher.cfg.Clock.Since(r.started)
	}
	if err := r.hand(step.Tokens, watch); err == nil {
		return r.leaveIfSlow(choice, timing)
	}
	r.gone = true
	if !r.req.Repeatable {
		return attemptEnd{}, false
	}
	return attemptEnd{cancelled: true, reason: "the caller is gone"}, true
}

// hand passes tokens to the caller that wants them as they come.
func (r *run) hand(tokens []string, watch *watch) error {
	if r.sink.Tokens == nil || r.gone || len(tokens) == 0 {
		return nil
	}
	r.progress.Handed()
	watch.pause()
	defer watch.restart()
	return r.sink.Tokens(r.progress.Version(), tokens)
}

// leaveIfSlow gives up a host that is left out as slow, once and for what may
// be resumed: at a tenth of the speed most answers in progress there would miss
// their deadline. The retry is taken from the budget first; without it the
// answer stays where it is.
func (r *run) leaveIfSlow(choice route.Choice, timing *timing) (attemptEnd, bool) {
	if !timing.due() {
		return attemptEnd{}, false
	}
	slow := r.lane.speed(choice, timing.gap())
	if !slow || r.moved || !r.req.Repeatable || r.progress.Number() >= retry.MaxAttempts || !r.req.Retry() {
		return attemptEnd{}, false
	}
	r.moved = true
	return attemptEnd{left: true, reason: "the host is slow"}, true
}

// settle asks the agent what became of an attempt that ended without proof.
// The cancel comes before any other attempt: it leaves a tombstone, so that a
// delivery that is still under way is not run after the decision.
func (r *run) settle(ctx context.Context, choice route.Choice) {
	if !r.progress.Unproved() {
		return // never handed out: nothing to cancel
	}
	ctx = context.WithoutCancel(ctx)
	ask := &wire.CancelRequest{
		From:        r.dispatcher.cfg.Self,
		RequestId:   r.req.ID,
		Attempt:     r.progress.Number(),
		Incarnation: choice.Host.Incarnation,
	}
	if r.req.Repeatable {
		go r.cancel(ctx, choice.Host.Address, ask)
		return
	}
	if r.cancel(ctx, choice.Host.Address, ask) {
		r.progress.Cancelled()
	}
}

// cancel reports whether the attempt was never begun and never will be.
func (r *run) cancel(ctx context.Context, address string, ask *wire.CancelRequest) bool {
	ctx, stop := clockwork.WithTimeout(ctx, r.dispatcher.cfg.Clock, cancelTimeout)
	defer stop()
	reply, err := r.dispatcher.cfg.Hosts.Cancel(ctx, address, ask)
	return err == nil && reply.GetState() == "neverBegun"
}

// watch cancels an attempt whose host falls silent.
type watch struct {
	timer clockwork.Timer
	limit time.Duration // of silence
	fired atomic.Bool
}

// watch starts with the patience for a first token; tokens narrows it. A plain
// service says nothing until it is done, so only the deadline bounds it.
func (r *run) watch(cancel context.CancelFunc) *watch {
	watch := &watch{limit: r.req.Deadline.Sub(r.started)}
	if r.req.Service == "" {
		first, _ := r.patience()
		watch.limit = first
	}
	watch.timer = r.dispatcher.cfg.Clock.AfterFunc(watch.limit, func() {
		watch.fired.Store(true)
		cancel()
	})
	return watch
}

func (r *run) patience() (first, between time.Duration) {
	first, between = r.lane.patience()
	if !r.req.Repeatable {
		first, between = first*onceFactor, between*onceFactor
	}
	return bounded(first * patienceFactor), bounded(between * patienceFactor)
}

func bounded(patience time.Duration) time.Duration {
	if patience == 0 {
		return maxPatience // nothing is known yet
	}
	return min(maxPatience, max(minPatience, patience))
}

func (w *watch) restart() { w.timer.Reset(w.limit) }
func (w *watch) pause()   { w.timer.Stop() }
func (w *watch) stop()    { w.timer.Stop() }

// timing measures one attempt.
type timing struct {
	clock   clockwork.Clock
	started time.Time // handed out
	first   time.Time // first token; zero before
	last    time.Time // newest token
	count   int       // tokens so far
	judged  int       // count at the last look at the speed
	since   time.Time // of the last look
}

func (t *timing) tokens(count int) {
	if count == 0 {
		return
	}
	t.last = t.clock.Now()
	if t.first.IsZero() {
		t.first, t.since = t.last, t.last
		t.judged = count
	}
	t.count += count
}

// due reports whether enough tokens, or enough time, came since the last look.
func (t *timing) due() bool {
	tokens := t.count - t.judged
	return tokens >= speedEvery || tokens > 0 && t.last.Sub(t.since) >= speedTime
}

// gap returns the mean time between tokens since the last look, and looks.
func (t *timing) gap() time.Duration {
	tokens := t.count - t.judged
	if tokens <= 0 {
		return 0
	}
	gap := t.last.Sub(t.since) / time.Duration(tokens)
	t.judged, t.since = t.count, t.last
	return gap
}

func (t *timing) result(end attemptEnd) route.Result {
	result := route.Result{End: endOf(end), RetryAfter: end.retryAfter, Took: t.clock.Since(t.started)}
	if !t.first.IsZero() {
		result.FirstToken = t.first.Sub(t.started)
		result.TokenGap = t.gap()
	}
	return result
}

func endOf(end attemptEnd) route.End {
	switch {
	case end.whole:
		return route.EndAnswered
	case end.refused:
		return route.EndRefused
	case end.cancelled, end.left:
		return route.EndCancelled
	default:
		return route.EndFailed
	}
}

// ended reports whether ctx is over. A clockwork context's Err waits for that
// on a fake clock, so it is not asked.
func ended(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/route"
	"comfreyrelay.example/relay/wire"
)

// Constants of an attempt.
const (
	cancelTimeout = 300 * time.Millisecond
	cutoffShare   = 10 // of the time left is kept for a cancel, at most
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
	// reserved is the place of the next attempt, whose retry is paid for; nil: none.
	reserved *route.Choice
}

// attemptEnd is how one attempt ended.
type attemptEnd struct {
	whole      bool
	refused    bool // proved not run, by the agent
	cancelled  bool // by the caller or the deadline: not the host's fault
	reason     string
	left       bool // by us, for a quicker host
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
	first := r.firstPatience()
	stream, handedOut, err := r.open(ctx, cancel, choice, message, first)
	if handedOut {
		r.progress.HandedOut()
	}
	if err != nil {
		return attemptEnd{reason: "the host cannot be reached", cancelled: ended(ctx) && !errors.Is(err, errSilent)}
	}
	defer func() { _ = stream.Close() }()
	frames := newReceiver(stream)
	defer frames.stop()
	quiet := newSilence(r.dispatcher.cfg.Clock, first)
	defer quiet.stop()
	for {
		got, waited := r.await(choice, frames, quiet)
		if !waited {
			return attemptEnd{reason: "the host was silent for too long"}
		}
		if got.err != nil {
			return attemptEnd{reason: streamReason(got.err), cancelled: ended(ctx)}
		}
		step := r.progress.Take(got.frame)
		r.note(choice, got.frame, step)
		if end, over := r.follow(choice, got.frame, step, timing, quiet); over {
			return end
		}
	}
}

// await waits for the host's next frame; false: the attempt ends before it came.
func (r *run) await(choice route.Choice, frames *receiver, quiet *silence) (received, bool) {
	frames.ask()
	quiet.restart()
	for {
		select {
		case got := <-frames.got:
			return got, true
		case <-quiet.looks():
			if quiet.look() && r.leaveSilent(choice) {
				return received{}, false
			}
		}
	}
}

// errSilent says that a host did not take an attempt in time.
var errSilent = errors.New("the host did not take the attempt in time")

// open hands the attempt out, within the time that is waited for a silent host.
func (r *run) open(ctx context.Context, cancel context.CancelFunc, choice route.Choice, message *wire.Attempt, limit time.Duration) (Stream, bool, error) {
	timer := r.dispatcher.cfg.Clock.AfterFunc(limit, cancel)
	stream, handedOut, err := r.dispatcher.cfg.Hosts.Run(ctx, choice.Host.Address, message)
	if !timer.Stop() { // it ended ctx, and the stream with it
		if err == nil {
			_ = stream.Close()
		}
		err = errSilent
	}
	return stream, handedOut, err
}

func streamReason(err error) string {
	if errors.Is(err, io.EOF) {
		return "the host ended the answer early"
	}
	return "the connection to the host broke"
}

// note takes the host's report of its load. Frames of tokens carry none.
func (r *run) note(choice route.Choice, frame *wire.Frame, step Step) {
	switch step.Kind {
	case StepBegin, StepWhole:
		r.lane.observeLoad(choice, frame.GetRunning(), frame.GetQueued())
	case StepDrop, StepRelay, StepRefused, StepBroken:
	}
}

// follow does what a step asks for.
func (r *run) follow(choice route.Choice, frame *wire.Frame, step Step, timing *timing, quiet *silence) (attemptEnd, bool) {
	switch step.Kind {
	case StepRelay:
		return r.relay(choice, step, timing, quiet)
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
func (r *run) relay(choice route.Choice, step Step, timing *timing, quiet *silence) (attemptEnd, bool) {
	timing.tokens(len(step.Tokens))
	if timing.count == len(step.Tokens) && timing.count > 0 {
		_, quiet.limit = r.patience()
	}
	if r.firstToken == 0 {
		r.firstToken = r.dispatcher.cfg.Clock.Since(r.started)
	}
	if err := r.hand(step.Tokens); err == nil {
		return r.leaveIfSlow(choice, timing)
	}
	r.gone = true
	if !r.req.Repeatable {
		return attemptEnd{}, false
	}
	return attemptEnd{cancelled: true, reason: "the caller is gone"}, true
}

// hand passes tokens to the caller that wants them as they come.
func (r *run) hand(tokens []string) error {
	if r.sink.Tokens == nil || r.gone || len(tokens) == 0 {
		return nil
	}
	r.progress.Handed()
	return r.sink.Tokens(r.progress.Version(), tokens)
}

// leaveIfSlow gives up a host that is left out as slow, once and for what may
// be resumed: at a tenth of the speed most answers in progress there would miss
// their deadline. Without room elsewhere the answer stays where it is.
func (r *run) leaveIfSlow(choice route.Choice, timing *timing) (attemptEnd, bool) {
	if !timing.due() {
		return attemptEnd{}, false
	}
	slow := r.lane.speed(choice, timing.gap())
	if !slow || r.moved || !r.req.Repeatable || !r.reserve(choice) {
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

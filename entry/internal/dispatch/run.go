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

// Limits of an attempt.
const (
	cancelTimeout = 300 * time.Millisecond
	// At most 1/cancelTimeDivisor of a request's time is kept for a cancel request.
	cancelTimeDivisor = 10
	// A host's speed is sampled after this many tokens or this much time.
	speedSampleTokens   = 8
	speedSampleInterval = 150 * time.Millisecond
)

// requestRun is the execution of one request over all its attempts.
type requestRun struct {
	dispatcher   *Dispatcher
	pool         *hostPool
	req          *Request
	sink         Sink
	progress     *Progress
	started      time.Time
	failedHosts  []string // ids of hosts on which an attempt failed
	prefixHash   uint64   // hash of the prompt's prefix; 0 until computed
	lastHost     string   // host of the last attempt
	affinity     bool
	queueTime    time.Duration
	firstToken   time.Duration
	callerGone   bool // the caller disconnected; the answer may still be collected
	leftSlowHost bool // the answer was already moved away from a slow host
	// reserved is the place for the next attempt, already charged to the retry
	// budget; nil if none is reserved.
	reserved *route.Choice
}

// attemptEnd describes how one attempt ended.
type attemptEnd struct {
	complete   bool
	refused    bool // the agent proved that the attempt did not run
	cancelled  bool // by the caller or the deadline, not through a fault of the host
	reason     string
	moved      bool // ended by this entry to continue on a faster host
	retryAfter time.Duration
}

// attempt runs the request once on the chosen host.
func (r *requestRun) attempt(ctx context.Context, choice route.Choice) attemptEnd {
	cfg := &r.dispatcher.cfg
	adapter := choice.AdapterVersion(r.req.Adapter)
	resume, ok := r.progress.Start(choice.Host.Version, adapter)
	if !cfg.Invariants.Check(ok, "attemptAllowed", "request", r.req.ID, "version", choice.Host.Version) {
		r.pool.finish(choice, route.Result{End: route.EndCancelled})
		return attemptEnd{reason: "internal error"}
	}
	r.lastHost, r.affinity = choice.Host.ID, choice.Affinity()
	timing := &attemptTiming{clock: cfg.Clock, started: cfg.Clock.Now()}
	end := r.exchange(ctx, choice, r.attemptMessage(ctx, choice, resume), timing)
	r.progress.Close()
	if !end.complete && !end.refused {
		r.resolveUnproven(ctx, choice)
	}
	r.pool.finish(choice, timing.result(end))
	cfg.Log.Debug("attempt ended", "request", r.req.ID, "attempt", r.progress.AttemptNumber(), "host", r.lastHost,
		"whole", end.complete, "refused", end.refused, "reason", end.reason)
	return end
}

// attemptMessage builds the message that is sent to the agent.
func (r *requestRun) attemptMessage(ctx context.Context, choice route.Choice, resume []string) *wire.Attempt {
	left := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		left = max(0, deadline.Sub(r.dispatcher.cfg.Clock.Now()))
	}
	return &wire.Attempt{
		From:           r.dispatcher.cfg.Self,
		Known:          r.dispatcher.cfg.Known(),
		RequestId:      r.req.ID,
		Attempt:        r.progress.AttemptNumber(),
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

// exchange sends the attempt and handles its frames until it ends.
func (r *requestRun) exchange(ctx context.Context, choice route.Choice, message *wire.Attempt, timing *attemptTiming) attemptEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	firstLimit := r.firstFrameLimit()
	stream, sent, err := r.send(ctx, cancel, choice, message, firstLimit)
	if sent {
		r.progress.MarkSent()
	}
	if err != nil {
		return attemptEnd{reason: "the host cannot be reached", cancelled: isDone(ctx) && !errors.Is(err, errSendTimeout)}
	}
	defer func() { _ = stream.Close() }()
	frames := newReceiver(stream)
	defer frames.stop()
	silence := newSilenceTimer(r.dispatcher.cfg.Clock, firstLimit)
	defer silence.stop()
	for {
		got, ok := r.nextFrame(choice, frames, silence)
		if !ok {
			return attemptEnd{reason: "the host was silent for too long"}
		}
		if got.err != nil {
			return attemptEnd{reason: streamErrorReason(got.err), cancelled: isDone(ctx)}
		}
		step := r.progress.HandleFrame(got.frame)
		r.recordLoad(choice, got.frame, step)
		if end, over := r.handleStep(choice, got.frame, step, timing, silence); over {
			return end
		}
	}
}

// nextFrame waits for the host's next frame. It returns false if the attempt is ended
// because the host sends nothing.
func (r *requestRun) nextFrame(choice route.Choice, frames *receiver, silence *silenceTimer) (received, bool) {
	frames.request()
	silence.reset()
	for {
		select {
		case got := <-frames.results:
			return got, true
		case <-silence.ticks():
			if silence.tick() && r.abandonSilentHost(choice) {
				return received{}, false
			}
		}
	}
}

// errSendTimeout is returned by send if the host did not accept the attempt in time.
var errSendTimeout = errors.New("the host did not accept the attempt in time")

// send sends the attempt and opens the stream of frames. It fails after limit.
func (r *requestRun) send(ctx context.Context, cancel context.CancelFunc, choice route.Choice, message *wire.Attempt, limit time.Duration) (Stream, bool, error) {
	timer := r.dispatcher.cfg.Clock.AfterFunc(limit, cancel)
	stream, sent, err := r.dispatcher.cfg.Hosts.Run(ctx, choice.Host.Address, message)
	if !timer.Stop() { // the timer already cancelled ctx, and with it the stream
		if err == nil {
			_ = stream.Close()
		}
		err = errSendTimeout
	}
	return stream, sent, err
}

// streamErrorReason describes why a stream ended without a final frame.
func streamErrorReason(err error) string {
	if errors.Is(err, io.EOF) {
		return "the host ended the answer early"
	}
	return "the connection to the host broke"
}

// recordLoad records the host load that a frame reports. Token frames do not carry it.
func (r *requestRun) recordLoad(choice route.Choice, frame *wire.Frame, step Step) {
	switch step.Kind {
	case StepBegin, StepComplete:
		r.pool.observeLoad(choice, frame.GetRunning(), frame.GetQueued())
	case StepIgnore, StepData, StepRefused, StepBroken:
	}
}

// handleStep acts on a step. The second result is true if the attempt is over.
func (r *requestRun) handleStep(choice route.Choice, frame *wire.Frame, step Step, timing *attemptTiming, silence *silenceTimer) (attemptEnd, bool) {
	switch step.Kind {
	case StepData:
		return r.forward(choice, step, timing, silence)
	case StepComplete:
		return attemptEnd{complete: true}, true
	case StepRefused:
		wait := time.Duration(frame.GetRetryAfterMillis()) * time.Millisecond
		return attemptEnd{refused: true, reason: "refused: " + step.Reason, retryAfter: wait}, true
	case StepBroken:
		return attemptEnd{reason: step.Reason}, true
	default:
		return attemptEnd{}, false
	}
}

// forward sends the new tokens to the caller and ends the attempt if the caller
// disconnected or the host is slow. No frame is read while the caller accepts the
// tokens: the transport's flow control slows the host down, and a slow caller
// costs only the buffers of one connection.
func (r *requestRun) forward(choice route.Choice, step Step, timing *attemptTiming, silence *silenceTimer) (attemptEnd, bool) {
	timing.addTokens(len(step.Tokens))
	if timing.count == len(step.Tokens) && timing.count > 0 {
		_, silence.limit = r.silenceLimits()
	}
	if r.firstToken == 0 {
		r.firstToken = r.dispatcher.cfg.Clock.Since(r.started)
	}
	if err := r.deliver(step.Tokens); err == nil {
		return r.moveIfSlow(choice, timing)
	}
	r.callerGone = true
	if !r.req.Repeatable {
		return attemptEnd{}, false
	}
	return attemptEnd{cancelled: true, reason: "the caller disconnected"}, true
}

// deliver sends tokens to a caller that requested a stream.
func (r *requestRun) deliver(tokens []string) error {
	if r.sink.Tokens == nil || r.callerGone || len(tokens) == 0 {
		return nil
	}
	r.progress.MarkDelivered()
	return r.sink.Tokens(r.progress.Version(), tokens)
}

// moveIfSlow ends the attempt if its host is ejected as slow, so that the answer
// resumes on another host: at a tenth of the speed, most answers in progress would
// miss their deadline. It moves a request only once, and only one that may be
// repeated. If no other host has capacity, the answer stays where it is.
func (r *requestRun) moveIfSlow(choice route.Choice, timing *attemptTiming) (attemptEnd, bool) {
	if !timing.sampleDue() {
		return attemptEnd{}, false
	}
	slow := r.pool.recordSpeed(choice, timing.sampleGap())
	if !slow || r.leftSlowHost || !r.req.Repeatable || !r.reserve(choice) {
		return attemptEnd{}, false
	}
	r.leftSlowHost = true
	return attemptEnd{moved: true, reason: "the host is slow"}, true
}

// resolveUnproven cancels an attempt that ended without proof and asks the agent
// whether it began. For a request that may not be repeated, the cancel completes
// before any other attempt: it leaves a tombstone, so that a message still in
// transit does not run after the decision.
func (r *requestRun) resolveUnproven(ctx context.Context, choice route.Choice) {
	if !r.progress.IsUnproven() {
		return // never sent, or already proven: nothing to cancel
	}
	ctx = context.WithoutCancel(ctx)
	request := &wire.CancelRequest{
		From:        r.dispatcher.cfg.Self,
		RequestId:   r.req.ID,
		Attempt:     r.progress.AttemptNumber(),
		Incarnation: choice.Host.Incarnation,
	}
	if r.req.Repeatable {
		go r.cancelAttempt(ctx, choice.Host.Address, request)
		return
	}
	if r.cancelAttempt(ctx, choice.Host.Address, request) {
		r.progress.MarkNeverBegun()
	}
}

// cancelAttempt cancels the attempt at the agent. It reports whether the attempt never
// began and never will.
func (r *requestRun) cancelAttempt(ctx context.Context, address string, request *wire.CancelRequest) bool {
	ctx, stop := clockwork.WithTimeout(ctx, r.dispatcher.cfg.Clock, cancelTimeout)
	defer stop()
	reply, err := r.dispatcher.cfg.Hosts.Cancel(ctx, address, request)
	return err == nil && reply.GetState() == "neverBegun"
}

// attemptTiming measures the timing of one attempt.
type attemptTiming struct {
	clock        clockwork.Clock
	started      time.Time // when the attempt was sent
	firstToken   time.Time // when the first token arrived; zero before
	lastToken    time.Time // when the latest token arrived
	count        int       // tokens received
	sampledCount int       // count at the last speed sample
	sampledAt    time.Time // time of the last speed sample
}

// addTokens records the arrival of tokens.
func (t *attemptTiming) addTokens(count int) {
	if count == 0 {
		return
	}
	t.lastToken = t.clock.Now()
	if t.firstToken.IsZero() {
		t.firstToken, t.sampledAt = t.lastToken, t.lastToken
		t.sampledCount = count
	}
	t.count += count
}

// sampleDue reports whether enough tokens arrived, or enough time passed, since the
// last speed sample.
func (t *attemptTiming) sampleDue() bool {
	tokens := t.count - t.sampledCount
	return tokens >= speedSampleTokens || tokens > 0 && t.lastToken.Sub(t.sampledAt) >= speedSampleInterval
}

// sampleGap takes a speed sample: it returns the mean time between tokens since the
// previous sample.
func (t *attemptTiming) sampleGap() time.Duration {
	tokens := t.count - t.sampledCount
	if tokens <= 0 {
		return 0
	}
	gap := t.lastToken.Sub(t.sampledAt) / time.Duration(tokens)
	t.sampledCount, t.sampledAt = t.count, t.lastToken
	return gap
}

// result returns the measurements for the routing table.
func (t *attemptTiming) result(end attemptEnd) route.Result {
	result := route.Result{End: routeEnd(end), RetryAfter: end.retryAfter, Took: t.clock.Since(t.started)}
	if !t.firstToken.IsZero() {
		result.FirstToken = t.firstToken.Sub(t.started)
		result.TokenGap = t.sampleGap()
	}
	return result
}

// routeEnd translates an attemptEnd for the routing table.
func routeEnd(end attemptEnd) route.End {
	switch {
	case end.complete:
		return route.EndAnswered
	case end.refused:
		return route.EndRefused
	case end.cancelled, end.moved:
		return route.EndCancelled
	default:
		return route.EndFailed
	}
}

// isDone reports whether ctx is done. It does not use ctx.Err, because on a fake
// clock the Err method of a clockwork context blocks until the context is done.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

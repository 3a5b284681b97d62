package engine

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/standin/internal/answer"
)

// MaxTokens bounds one answer.
const MaxTokens = 1 << 16

// Request asks for one generation.
type Request struct {
	RequestID string `json:"requestId"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Prompt    string `json:"prompt"`
	// MaxTokens is the length of the whole answer, resumed tokens included.
	MaxTokens    int      `json:"maxTokens"`
	Priority     uint32   `json:"priority"`
	ResumeTokens []string `json:"resumeTokens"`
}

// errInjectedFault ends a generation whose connection a fault breaks.
var errInjectedFault = errors.New("broken by a fault")

// errWeightsUnloaded ends a generation whose weights were taken away.
var errWeightsUnloaded = errors.New("the weights were taken away")

// errCancelled ends a generation that was cancelled.
var errCancelled = errors.New("cancelled")

// run is one generation in progress.
type run struct {
	request    Request
	weights    *weights
	adapter    *adapterWeights // nil without one
	text       answer.Text
	cancelled  chan struct{} // closed by /cancel
	firstToken time.Duration // from the begin to the first token
	made       int           // tokens made by this run
}

// sink takes what a generation produces.
type sink struct {
	begin func(version string) error
	token func(i int, text string) error
	end   func(version string, count int) error
}

// Generate runs one request in the batch and hands its tokens to the sink. A
// failure.Error means that the request was certainly not run; any other error
// comes after it began.
func (e *Engine) Generate(ctx context.Context, request Request, out sink) error {
	current, place, err := e.admit(ctx, request)
	if err != nil {
		e.ledger.refuse()
		return err
	}
	defer e.finish(current, place)
	err = e.produce(ctx, current, out)
	e.ledger.end(request.RequestID, outcomeOf(err), current.made)
	return err
}

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return completed
	case errors.Is(err, errWeightsUnloaded):
		return cutOff
	case errors.Is(err, errInjectedFault):
		return broken
	}
	return cancelled
}

// admit waits for a slot and begins the request.
func (e *Engine) admit(ctx context.Context, request Request) (*run, *waiter, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkRequest(request); err != nil {
		return nil, nil, err
	}
	place, ok := e.slots.enter(request.Priority)
	if !ok {
		return nil, nil, failure.New(failure.Exhausted, "the engine's queue is full", "ask another host").WithRetryAfter(e.tokenGap())
	}
	current := &run{request: request, cancelled: make(chan struct{})}
	e.running[request.RequestID] = append(e.running[request.RequestID], current)
	e.recordLoad()
	if err := e.waitForSlot(ctx, current, place); err != nil {
		e.finishLocked(current, place)
		return nil, nil, err
	}
	if err := e.begin(current); err != nil {
		e.finishLocked(current, place)
		return nil, nil, err
	}
	return current, place, nil
}

// waitForSlot gives the lock up while it waits.
func (e *Engine) waitForSlot(ctx context.Context, current *run, place *waiter) error {
	e.mu.Unlock()
	defer e.mu.Lock()
	select {
	case <-place.granted:
		return nil
	case <-current.cancelled:
		return failure.New(failure.Unavailable, "the request was cancelled before it began", "send it again if it is still wanted")
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.Unavailable, "the client went away before the request began", "send it again")
	}
}

func (e *Engine) checkRequest(request Request) error {
	if request.RequestID == "" || request.MaxTokens < 1 || request.MaxTokens > MaxTokens {
		return failure.New(failure.Invalid, "the request lacks an id or its maxTokens is out of bounds",
			fmt.Sprintf("send a requestId and maxTokens from 1 to %d", MaxTokens))
	}
	if len(request.ResumeTokens) > request.MaxTokens {
		return failure.New(failure.Invalid, "more tokens to resume from than the answer may hold", "resume with fewer tokens")
	}
	if e.faults.FailFast {
		return failure.New(failure.Unavailable, "the engine refuses all requests", "ask another host")
	}
	return e.checkLoaded(request)
}

func (e *Engine) checkLoaded(request Request) error {
	if e.loaded == nil || e.loaded.model != request.Model {
		return failure.New(failure.Conflict, "model "+strconv.Quote(request.Model)+" is not loaded", "order a load first")
	}
	if request.Adapter != "" && e.loaded.adapter(request.Adapter) == nil {
		return failure.New(failure.Conflict, "adapter "+strconv.Quote(request.Adapter)+" is not loaded", "order a load with it first")
	}
	return nil
}

// begin binds the run to the weights in memory: the version may have changed
// while it waited.
func (e *Engine) begin(current *run) error {
	request := current.request
	if err := e.checkLoaded(request); err != nil {
		return err
	}
	current.weights = e.loaded
	adapterVersion := ""
	if request.Adapter != "" {
		current.adapter = e.loaded.adapter(request.Adapter)
		adapterVersion = current.adapter.version
	}
	current.text = answer.New(e.loaded.version, adapterVersion, request.Prompt)
	hit := e.usePrefix(request)
	current.firstToken = e.firstTokenTime(request, hit)
	e.ledger.begin(request.RequestID, e.loaded.version, contentOf(request), hit)
	e.checkResumed(current)
	return nil
}

func contentOf(request Request) string {
	return answer.Content(request.Model, request.Adapter, request.Prompt)
}

// checkResumed notices an answer continued from tokens of another version or
// request. An engine would go on; the ledger shows it.
func (e *Engine) checkResumed(current *run) {
	for i, token := range current.request.ResumeTokens {
		if token == current.text.Token(i) {
			continue
		}
		e.ledger.report(Violation{
			Kind:      violationOtherResume,
			RequestID: current.request.RequestID,
			Detail:    fmt.Sprintf("token %d to resume from is not of version %s and this prompt", i, current.weights.version),
		})
		return
	}
}

// produce makes the tokens at the pace of the batch.
func (e *Engine) produce(ctx context.Context, current *run, out sink) error {
	version := current.weights.version
	if err := out.begin(version); err != nil {
		return errCancelled
	}
	if e.Faults().ErrorAfterBegin {
		return errInjectedFault
	}
	timer := e.clock.NewTimer(current.firstToken)
	defer timer.Stop()
	for i := len(current.request.ResumeTokens); i < current.request.MaxTokens; i++ {
		if err := e.pause(ctx, current, timer.Chan()); err != nil {
			return err
		}
		if err := out.token(i, current.text.Token(i)); err != nil {
			return errCancelled
		}
		current.made++
		gap, err := e.nextGap(current.made)
		if err != nil {
			return err
		}
		timer.Reset(gap)
	}
	if err := out.end(version, current.request.MaxTokens); err != nil {
		return errCancelled
	}
	return nil
}

// nextGap counts a token and returns the time to the next one.
func (e *Engine) nextGap(made int) (time.Duration, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed.add(e.clock.Now())
	if limit := e.faults.DieAfterTokens; limit > 0 && made >= limit {
		return 0, errInjectedFault
	}
	return e.tokenGap(), nil
}

// pause waits for the timer, and for the end of a stall.
func (e *Engine) pause(ctx context.Context, current *run, timer <-chan time.Time) error {
	if err := await(ctx, e, current, timer); err != nil {
		return err
	}
	for {
		e.mu.Lock()
		stalled, changed := e.faults.Stall, e.faultsChanged
		e.mu.Unlock()
		if !stalled {
			return nil
		}
		if err := await(ctx, e, current, changed); err != nil {
			return err
		}
	}
}

// await waits for a value or the closing of wake, unless the run must stop.
func await[T any](ctx context.Context, e *Engine, current *run, wake <-chan T) error {
	var adapterUnloaded chan struct{}
	if current.adapter != nil {
		adapterUnloaded = current.adapter.unloaded
	}
	select {
	case <-wake:
		return nil
	case <-current.weights.unloaded:
		return e.interruptionError(ctx, current)
	case <-adapterUnloaded:
		return e.interruptionError(ctx, current)
	case <-current.cancelled:
		return errCancelled
	case <-ctx.Done():
		return errCancelled
	}
}

// interruptionError says why a run lost its weights. A run that was cancelled just
// before is not cut off, nor is one whose host died.
func (e *Engine) interruptionError(ctx context.Context, current *run) error {
	select {
	case <-current.cancelled:
		return errCancelled
	case <-ctx.Done():
		return errCancelled
	default:
	}
	if e.Faults().Dead {
		return errInjectedFault
	}
	return errWeightsUnloaded
}

func (e *Engine) finish(current *run, place *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLocked(current, place)
}

func (e *Engine) finishLocked(current *run, place *waiter) {
	e.slots.leave(place)
	id := current.request.RequestID
	rest := e.running[id][:0]
	for _, other := range e.running[id] {
		if other != current {
			rest = append(rest, other)
		}
	}
	e.running[id] = rest
	if len(rest) == 0 {
		delete(e.running, id)
	}
	e.recordLoad()
}

func (e *Engine) recordLoad() {
	e.load.record(e.clock.Now(), e.slots.running, len(e.slots.queue))
}

// Cancel stops every generation of the request; false means that none runs or
// waits here.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, current := range e.running[id] {
		select {
		case <-current.cancelled:
		default:
			close(current.cancelled)
		}
	}
	return len(e.running[id]) > 0
}

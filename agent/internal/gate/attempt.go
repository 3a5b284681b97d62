package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"comfreyrelay.example/relay/attempt"
	"comfreyrelay.example/relay/wire"
)

const (
	maxIDBytes     = 200
	maxPromptBytes = 1 << 20
)

// activeAttempt is an attempt that was admitted and has not finished.
type activeAttempt struct {
	gate    *Gate
	request *wire.Attempt
	key     attemptKey
	ctx     context.Context // done at the deadline, when the caller goes away, or on cancel
	cancel  context.CancelFunc
	loaded  Loaded // what the endpoint had loaded at admission
	rules   *attemptRules
	// endpointOverloaded is set when the endpoint refused the attempt or missed
	// its deadline; it shrinks the concurrency limit.
	endpointOverloaded atomic.Bool
	finished           atomic.Bool // set by finish and abort
	engineCancel       sync.Once   // cancels the request at the engine
}

// admit decides whether an attempt may run. The caller must call finish on an
// admitted attempt. A refusal that depends on state that may change is recorded,
// so that a second delivery of the attempt is refused as well.
func (g *Gate) admit(ctx context.Context, att *wire.Attempt) (*activeAttempt, refusal) {
	if att.GetIncarnation() != g.cfg.Self.GetIncarnation() {
		return nil, newRefusal(reasonOtherIncarnation, notLoadedRetryAfter)
	}
	if !isValid(att) {
		return nil, newRefusal(reasonInvalid, 0)
	}
	rules, _ := g.rules.current()
	timeLeft := rules.timeLimit(att)
	active := &activeAttempt{gate: g, request: att, rules: rules}
	active.key = attemptKey{id: attempt.ParseID(att.GetRequestId()), number: att.GetAttempt()}
	active.ctx, active.cancel = withDeadline(ctx, g.cfg.Clock, timeLeft)
	verdict, violated := g.attempts.begin(active.key, att.GetRepeatable(), active.cancel)
	g.cfg.Invariants.Check(violated == "", "beginOnce", "request", att.GetRequestId(), "cause", violated)
	if verdict != attempt.Begin {
		active.cancel()
		return nil, refusalForVerdict(verdict)
	}
	if reason := g.reservePlaces(active, timeLeft); !reason.isZero() {
		active.abort()
		return nil, reason
	}
	return active, refusal{}
}

// isValid checks the sizes of the request ID and the prompt.
func isValid(att *wire.Attempt) bool {
	id := att.GetRequestId()
	return id != "" && len(id) <= maxIDBytes && len(att.GetPrompt()) <= maxPromptBytes
}

// refusalForVerdict returns the refusal for a verdict other than attempt.Begin.
// A duplicate of an attempt that has begun, and an attempt that could not be
// recorded, may have run.
func refusalForVerdict(verdict attempt.Verdict) refusal {
	switch verdict {
	case attempt.Duplicate:
		return refusal{reason: reasonDuplicate, mayHaveRun: true}
	case attempt.RefusedBefore:
		return newRefusal(reasonDuplicate, 0)
	case attempt.Tombstone:
		return newRefusal(reasonCancelled, 0)
	case attempt.BegunBefore:
		return newRefusal(reasonBegunBefore, 0)
	case attempt.Full:
		return newRefusal(reasonMemoryFull, memoryFullRetryAfter)
	case attempt.FullUnrecorded:
		return refusal{reason: reasonMemoryFull, retryAfter: memoryFullRetryAfter, mayHaveRun: true}
	case attempt.Begin:
	}
	return refusal{}
}

// reservePlaces checks the conditions that may change while the process runs. It
// counts the attempt as running for drains and takes a slot of the endpoint.
func (g *Gate) reservePlaces(active *activeAttempt, timeLeft time.Duration) refusal {
	loaded, closed := g.admission.enter()
	if !closed.isZero() {
		return closed
	}
	active.loaded = loaded
	refused := g.checkPermitted(active, timeLeft)
	if refused.isZero() && !g.limiter.acquire() {
		refused = newRefusal(reasonBusy, busyRetryAfter)
	}
	if !refused.isZero() {
		g.cfg.Invariants.Check(g.admission.leave(), "laneCount")
	}
	return refused
}

// checkPermitted checks that the endpoint serves what the attempt asks for, that
// the customer may use it, and that the deadline has not passed.
func (g *Gate) checkPermitted(active *activeAttempt, timeLeft time.Duration) refusal {
	switch {
	case !g.serves(active.loaded, active.request):
		return newRefusal(reasonNotLoaded, notLoadedRetryAfter)
	case !active.rules.allowsCustomer(active.request):
		return newRefusal(reasonNotAllowed, 0)
	case timeLeft <= 0 || active.ctx.Err() != nil:
		return newRefusal(reasonDeadline, 0)
	}
	return refusal{}
}

// serves reports whether the endpoint serves exactly the service, or has loaded
// exactly the model, version and adapter, that the attempt asks for.
//
// Rule INTENDED of spec/gate.pml.
func (g *Gate) serves(loaded Loaded, att *wire.Attempt) bool {
	if att.GetService() != "" || g.cfg.Service != "" {
		return att.GetService() == g.cfg.Service
	}
	if loaded.Empty() || att.GetModel() != loaded.Model || att.GetVersion() != loaded.Version {
		return false
	}
	if att.GetAdapter() == "" {
		return true
	}
	_, ok := loaded.Adapters[att.GetAdapter()]
	return ok
}

// abort records that the attempt was refused before it reached the endpoint.
func (a *activeAttempt) abort() {
	a.finished.Store(true)
	a.cancel()
	a.gate.cfg.Invariants.Check(a.gate.attempts.end(a.key, false), "endWithoutBegin")
}

// finish releases the attempt's slot and records its end. ran is false if the
// endpoint proved that it did not run the attempt. Only the first call has an
// effect.
func (a *activeAttempt) finish(ran bool) {
	if !a.finished.CompareAndSwap(false, true) {
		return
	}
	a.cancel()
	a.gate.limiter.release(a.endpointOverloaded.Load())
	a.gate.cfg.Invariants.Check(a.gate.attempts.end(a.key, ran), "endWithoutBegin")
	a.gate.cfg.Invariants.Check(a.gate.admission.leave(), "laneCount")
}

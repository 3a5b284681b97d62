package gate

import (
	"context"
	"sync/atomic"
	"time"

	"comfreyrelay.example/relay/attempt"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxIDBytes bounds a request id.
	maxIDBytes = 200
	// maxPromptBytes bounds a prompt.
	maxPromptBytes = 1 << 20
)

// run is one attempt that was let in.
type activeAttempt struct {
	gate    *Gate
	request *wire.Attempt
	key     attemptKey
	ctx     context.Context // ends with the deadline, the caller or a cancel
	cancel  context.CancelFunc
	loaded  Loaded // what was confirmed when it was let in
	rules   *attemptRules
	// overloaded: the endpoint refused it or was late.
	endpointOverloaded atomic.Bool
	finished           atomic.Bool // finish has happened
}

// admit judges an attempt. Where it lets it in, the caller ends it with finish.
// Every refusal that a second delivery could meet differently is remembered.
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

func isValid(att *wire.Attempt) bool {
	id := att.GetRequestId()
	return id != "" && len(id) <= maxIDBytes && len(att.GetPrompt()) <= maxPromptBytes
}

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
	case attempt.Overfull:
		return refusal{reason: reasonMemoryFull, retryAfter: memoryFullRetryAfter, mayHaveRun: true}
	case attempt.Begin:
	}
	return refusal{}
}

// enter checks what may change while the process runs, and takes a place at the
// door and at the endpoint.
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

// serves reports whether what is loaded is exactly what the attempt asks for.
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

// forget undoes begin for an attempt that never reached the endpoint.
func (a *activeAttempt) abort() {
	a.finished.Store(true)
	a.cancel()
	a.gate.cfg.Invariants.Check(a.gate.attempts.end(a.key, false), "endWithoutBegin")
}

// finish gives the places back; with ran false the endpoint proved that it did
// not run the attempt. Later calls do nothing.
func (a *activeAttempt) finish(ran bool) {
	if !a.finished.CompareAndSwap(false, true) {
		return
	}
	a.cancel()
	a.gate.limiter.release(a.endpointOverloaded.Load())
	a.gate.cfg.Invariants.Check(a.gate.attempts.end(a.key, ran), "endWithoutBegin")
	a.gate.cfg.Invariants.Check(a.gate.admission.leave(), "laneCount")
}

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
type run struct {
	gate   *Gate
	att    *wire.Attempt
	key    runKey
	ctx    context.Context // ends with the deadline, the caller or a cancel
	stop   context.CancelFunc
	loaded Loaded // what was confirmed when it was let in
	rules  *rules
	// overloaded: the endpoint refused it or was late.
	overloaded atomic.Bool
	finished   atomic.Bool // finish has happened
}

// admit judges an attempt. Where it lets it in, the caller ends it with finish.
// Every refusal that a second delivery could meet differently is remembered.
func (g *Gate) admit(ctx context.Context, att *wire.Attempt) (*run, refusal) {
	if att.GetIncarnation() != g.cfg.Self.GetIncarnation() {
		return nil, refuse(reasonIncarnation, loadRetry)
	}
	if !wellFormed(att) {
		return nil, refuse(reasonInvalid, 0)
	}
	rules, _ := g.rules.load()
	left := rules.deadline(att)
	out := &run{gate: g, att: att, rules: rules}
	out.key = runKey{id: attempt.ParseID(att.GetRequestId()), number: att.GetAttempt()}
	out.ctx, out.stop = withDeadline(ctx, g.cfg.Clock, left)
	verdict, broken := g.memory.begin(out.key, att.GetRepeatable(), out.stop)
	g.cfg.Invariants.Check(broken == "", "beginOnce", "request", att.GetRequestId(), "cause", broken)
	if verdict != attempt.Begin {
		out.stop()
		return nil, verdictRefusal(verdict)
	}
	if reason := g.enter(out, left); !reason.none() {
		out.forget()
		return nil, reason
	}
	return out, refusal{}
}

func wellFormed(att *wire.Attempt) bool {
	id := att.GetRequestId()
	return id != "" && len(id) <= maxIDBytes && len(att.GetPrompt()) <= maxPromptBytes
}

func verdictRefusal(verdict attempt.Verdict) refusal {
	switch verdict {
	case attempt.Duplicate:
		return refusal{reason: reasonDuplicate, unproved: true}
	case attempt.RefusedBefore:
		return refuse(reasonDuplicate, 0)
	case attempt.Tombstone:
		return refuse(reasonTombstone, 0)
	case attempt.BegunBefore:
		return refuse(reasonBegunBefore, 0)
	case attempt.Full:
		return refuse(reasonFull, fullRetry)
	case attempt.Overfull:
		return refusal{reason: reasonFull, retry: fullRetry, unproved: true}
	case attempt.Begin:
	}
	return refusal{}
}

// enter checks what may change while the process runs, and takes a place at the
// door and at the endpoint.
func (g *Gate) enter(out *run, left time.Duration) refusal {
	loaded, closed := g.door.enter()
	if !closed.none() {
		return closed
	}
	out.loaded = loaded
	reason := g.fits(out, left)
	if reason.none() && !g.capacity.acquire() {
		reason = refuse(reasonBusy, busyRetry)
	}
	if !reason.none() {
		g.cfg.Invariants.Check(g.door.leave(), "laneCount")
	}
	return reason
}

func (g *Gate) fits(out *run, left time.Duration) refusal {
	switch {
	case !g.serves(out.loaded, out.att):
		return refuse(reasonNotLoaded, loadRetry)
	case !out.rules.allows(out.att):
		return refuse(reasonCustomer, 0)
	case left <= 0 || out.ctx.Err() != nil:
		return refuse(reasonDeadline, 0)
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
func (r *run) forget() {
	r.finished.Store(true)
	r.stop()
	r.gate.cfg.Invariants.Check(r.gate.memory.end(r.key, false), "endWithoutBegin")
}

// finish gives the places back; with ran false the endpoint proved that it did
// not run the attempt. Later calls do nothing.
func (r *run) finish(ran bool) {
	if !r.finished.CompareAndSwap(false, true) {
		return
	}
	r.stop()
	r.gate.capacity.release(r.overloaded.Load())
	r.gate.cfg.Invariants.Check(r.gate.memory.end(r.key, ran), "endWithoutBegin")
	r.gate.cfg.Invariants.Check(r.gate.door.leave(), "laneCount")
}

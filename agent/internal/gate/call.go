package gate

import (
	"context"

	"github.com/zeebo/blake3"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// bodyFrameBytes is the maximum body size in one frame.
const bodyFrameBytes = 256 << 10

// call forwards an attempt to the plain service or the mainframe bridge and sends
// the answer back in frames.
func (g *Gate) call(active *activeAttempt, reply *replyStream) error {
	att := active.request
	// A send to a caller that stopped reading may block. It must not delay a
	// drain; see releaseOnDone.
	stopWatching := context.AfterFunc(active.ctx, func() { active.finish(true) })
	defer stopWatching()
	body, err := g.cfg.Engine.Call(active.ctx, att.GetRequestId(), att.GetBody(), !att.GetRepeatable())
	if err != nil {
		return g.replyCallError(active, reply, err)
	}
	if reply.sendBegin("") != nil {
		return nil
	}
	for start := 0; start < len(body); start += bodyFrameBytes {
		chunk := body[start:min(start+bodyFrameBytes, len(body))]
		if reply.sendFrame(&wire.Frame{Kind: frameBody, Body: chunk}) != nil {
			return nil
		}
	}
	sum := blake3.Sum256(body)
	return reply.sendEnd("", sum[:])
}

// replyCallError sends the last frame for a call that returned an error. A
// refusal by the service proves that the call did not run only if the endpoint
// class says so.
func (g *Gate) replyCallError(active *activeAttempt, reply *replyStream, err error) error {
	kind := failure.KindOf(err)
	if kind == failure.Exhausted {
		active.endpointOverloaded.Store(true)
	}
	switch {
	case kind == failure.Unavailable:
		active.finish(false)
		return reply.sendRefused(newRefusal(reasonUnreachable, unreachableRetryAfter))
	case kind == failure.Exhausted && active.rules.endpointClass.GetRefusesBeforeRun():
		active.finish(false)
		return reply.sendRefused(newRefusal(reasonBusy, busyRetryAfter))
	}
	reason := active.breakReason(reasonEndpointFailed)
	active.finish(true)
	return reply.sendBroken(reason)
}

package gate

import (
	"context"

	"github.com/zeebo/blake3"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// bodyFrameBytes bounds the body in one frame.
const bodyFrameBytes = 256 << 10

// call forwards an attempt to the plain service or the bridge.
func (g *Gate) call(run *run, out *reply) error {
	att := run.att
	// A caller that stopped reading must not hold up a drain; see watch.
	release := context.AfterFunc(run.ctx, func() { run.finish(true) })
	defer release()
	body, err := g.cfg.Engine.Call(run.ctx, att.GetRequestId(), att.GetBody(), !att.GetRepeatable())
	if err != nil {
		return g.callFailed(run, out, err)
	}
	if out.begin("") != nil {
		return nil
	}
	for start := 0; start < len(body); start += bodyFrameBytes {
		piece := body[start:min(start+bodyFrameBytes, len(body))]
		if out.frame(&wire.Frame{Kind: frameBody, Body: piece}) != nil {
			return nil
		}
	}
	sum := blake3.Sum256(body)
	return out.end("", sum[:])
}

// callFailed answers a call without a result. A refusal proves that the call
// was not run only where the endpoint class promises that.
func (g *Gate) callFailed(run *run, out *reply, err error) error {
	kind := failure.KindOf(err)
	if kind == failure.Exhausted {
		run.overloaded.Store(true)
	}
	switch {
	case kind == failure.Unavailable:
		run.finish(false)
		return out.refuse(refuse(reasonUnreachable, reachRetry))
	case kind == failure.Exhausted && run.rules.class.GetRefusesBeforeRun():
		run.finish(false)
		return out.refuse(refuse(reasonBusy, busyRetry))
	}
	reason := run.why(reasonEndpoint)
	run.finish(true)
	return out.broken(reason)
}

package gate

import (
	"context"
	"time"

	"comfreyrelay.example/agent/internal/engine"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// tokensBuffered bounds the tokens read ahead of a slow caller. When they are
// full, the engine's stream is not read, and the engine waits.
const tokensBuffered = 64

// generate forwards an attempt to the engine.
func (g *Gate) generate(active *activeAttempt, reply *replyStream) error {
	att := active.request
	versionConfirmed := g.cfg.Invariants.Check(g.serves(active.loaded, att), "confirmedVersion",
		"request", att.GetRequestId(), "version", att.GetVersion(), "loaded", active.loaded.Version)
	if !versionConfirmed {
		active.finish(false)
		return reply.sendRefused(newRefusal(reasonNotLoaded, notLoadedRetryAfter))
	}
	stream, err := g.cfg.Engine.Generate(active.ctx, &engine.Generate{
		RequestID:    att.GetRequestId(),
		Model:        att.GetModel(),
		Adapter:      att.GetAdapter(),
		Prompt:       att.GetPrompt(),
		MaxTokens:    att.GetMaxTokens(),
		Priority:     att.GetPriority(),
		ResumeTokens: att.GetResumeTokens(),
	}, !att.GetRepeatable())
	if err != nil {
		return g.replyGenerateError(active, reply, err)
	}
	stopWatching := g.releaseOnDone(active, stream)
	reason := g.relayStream(active, reply, stream)
	notTriggered := stopWatching()
	stream.Close()
	if reason == "" {
		return nil
	}
	if notTriggered {
		g.cancelAtEngine(active)
	}
	active.finish(true)
	if reply.lastSent { // the end frame did not get out: the caller has gone
		return nil
	}
	return reply.sendBroken(reason)
}

// watch frees the endpoint as soon as the attempt's time is over. The goroutine
// that relays may hang in a send to a caller that stopped reading; without this
// it would hold the engine's slot and every drain until TCP gives up. The
// returned function ends the watch and reports whether it had not yet acted.
func (g *Gate) releaseOnDone(active *activeAttempt, stream *engine.Stream) func() bool {
	return context.AfterFunc(active.ctx, func() {
		if active.finished.Load() {
			return
		}
		if deadlineExceeded(active.ctx) {
			active.endpointOverloaded.Store(true)
		}
		stream.Close()
		g.cancelAtEngine(active)
		active.finish(true)
	})
}

func (g *Gate) cancelAtEngine(active *activeAttempt) {
	if err := g.cfg.Engine.Cancel(active.request.GetRequestId()); err != nil {
		g.cfg.Log.Debug("engine not asked to stop", "request", active.request.GetRequestId(), "error", err)
	}
}

// notStarted answers an attempt that the engine did not take.
func (g *Gate) replyGenerateError(active *activeAttempt, reply *replyStream, err error) error {
	switch failure.KindOf(err) {
	case failure.Unavailable:
		active.finish(false)
		g.cfg.Suspect()
		return reply.sendRefused(newRefusal(reasonUnreachable, unreachableRetryAfter))
	case failure.NotFound:
		active.finish(false)
		g.cfg.Suspect()
		return reply.sendRefused(newRefusal(reasonNotLoaded, notLoadedRetryAfter))
	case failure.Exhausted:
		active.endpointOverloaded.Store(true)
		active.finish(false)
		return reply.sendRefused(newRefusal(reasonBusy, busyRetryAfter))
	default:
		reason := active.breakReason(reasonEndpointFailed)
		g.cancelAtEngine(active)
		active.finish(true)
		return reply.sendBroken(reason)
	}
}

// why prefers the end of the attempt's time over its symptom.
func (a *activeAttempt) breakReason(fallback string) string {
	switch {
	case a.ctx.Err() == nil:
		return fallback
	case deadlineExceeded(a.ctx):
		return reasonDeadline
	}
	return reasonStopped
}

// relay passes the engine's events on and returns why it broke off; empty means
// that the whole answer was sent.
func (g *Gate) relayStream(active *activeAttempt, reply *replyStream, stream *engine.Stream) string {
	first, err := stream.Next()
	if err != nil || first.Kind != engine.EventBegin {
		return active.breakReason(reasonStreamBroken)
	}
	if first.Version != active.request.GetVersion() {
		return g.reportVersionChange(active, first.Version)
	}
	if reply.sendBegin(first.Version) != nil {
		return reasonStopped
	}
	events := make(chan engine.Event, tokensBuffered)
	done := make(chan struct{})
	defer close(done)
	go readAhead(stream, events, done)
	return g.relayTokens(active, reply, events)
}

// readAhead reads events until the stream breaks or done closes, and closes the
// channel. A stream that breaks has no end event.
func readAhead(stream *engine.Stream, events chan<- engine.Event, done <-chan struct{}) {
	defer close(events)
	for {
		event, err := stream.Next()
		if err != nil {
			return
		}
		select {
		case events <- event:
		case <-done:
			return
		}
		if event.Kind == engine.EventEnd {
			return
		}
	}
}

func (g *Gate) relayTokens(active *activeAttempt, reply *replyStream, events <-chan engine.Event) string {
	digest := newTokenDigest(active.request.GetResumeTokens())
	var lastBatch time.Time // of the batch before; zero before the first
	for event := range events {
		batch := make([]string, 0, 1)
		for more := true; more && event.Kind == engine.EventToken; {
			if event.I != digest.count {
				return reasonStreamBroken
			}
			digest.add(event.Text)
			batch = append(batch, event.Text)
			event, more = pollEvent(events)
		}
		if len(batch) > 0 {
			now := g.cfg.Clock.Now()
			if !lastBatch.IsZero() {
				g.tokenGaps.add(now, now.Sub(lastBatch)/time.Duration(len(batch)))
			}
			lastBatch = now
			if reply.sendFrame(&wire.Frame{Kind: frameTokens, Tokens: batch}) != nil {
				return reasonStopped
			}
		}
		switch event.Kind {
		case engine.EventEnd:
			return g.relayEnd(active, reply, event, digest)
		case engine.EventBegin:
			return reasonStreamBroken
		}
	}
	return active.breakReason(reasonStreamBroken)
}

// next returns an event that is there already.
func pollEvent(events <-chan engine.Event) (event engine.Event, ok bool) {
	select {
	case event, ok = <-events:
		return event, ok
	default:
		return engine.Event{}, false
	}
}

func (g *Gate) relayEnd(active *activeAttempt, reply *replyStream, event engine.Event, digest *tokenDigest) string {
	if event.Version != active.request.GetVersion() {
		return g.reportVersionChange(active, event.Version)
	}
	if event.Count != digest.count {
		return reasonStreamBroken
	}
	if reply.sendEnd(event.Version, digest.sum()) != nil {
		return reasonStopped
	}
	return ""
}

// versionChanged answers an engine that used other weights than it confirmed.
func (g *Gate) reportVersionChange(active *activeAttempt, got string) string {
	g.cfg.Log.Error("engine used another version than it confirmed",
		"request", active.request.GetRequestId(), "want", active.request.GetVersion(), "got", got)
	g.cfg.Suspect()
	return reasonVersionChanged
}

package gate

import (
	"context"
	"time"

	"comfreyrelay.example/agent/internal/engine"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// tokensBuffered is the number of tokens read ahead of a slow caller. When the
// buffer is full, the engine's stream is not read and back pressure reaches the
// engine.
const tokensBuffered = 64

// generate forwards an attempt to the engine and relays the answer.
func (g *Gate) generate(active *activeAttempt, reply *replyStream) error {
	att := active.request
	versionConfirmed := g.cfg.Invariants.Check(g.serves(active.loaded, att), "confirmedVersion",
		"request", att.GetRequestId(), "version", att.GetVersion(), "loaded", active.loaded.Version)
	if !versionConfirmed {
		active.finish(false)
		return reply.sendRefused(newRefusal(reasonNotLoaded, notLoadedRetryAfter))
	}
	stream, err := g.cfg.Engine.Generate(active.ctx, &engine.GenerateRequest{
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
	stopWatching()
	stream.Close()
	if reason == "" {
		return nil
	}
	g.cancelAtEngine(active)
	active.finish(true)
	if reply.lastSent { // sending the end frame failed: the caller has disconnected
		return nil
	}
	return reply.sendBroken(reason)
}

// releaseOnDone cancels the request at the engine and releases the attempt's slot as soon as the
// attempt's context is done. The goroutine that relays the answer may block in a
// send to a caller that stopped reading; without releaseOnDone it would occupy the
// engine's slot and block every drain until TCP times out. The returned function
// disables this unless it was triggered before.
func (g *Gate) releaseOnDone(active *activeAttempt, stream *engine.Stream) (disable func()) {
	stop := context.AfterFunc(active.ctx, func() {
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
	return func() { stop() }
}

// cancelAtEngine asks the engine to stop the request, once. Both releaseOnDone and the goroutine that
// relays the answer call it before the attempt finishes, since either may be the first to notice its end.
func (g *Gate) cancelAtEngine(active *activeAttempt) {
	active.engineCancel.Do(func() {
		if err := g.cfg.Engine.Cancel(active.request.GetRequestId()); err != nil {
			g.cfg.Log.Debug("cannot cancel the request at the engine", "request", active.request.GetRequestId(), "error", err)
		}
	})
}

// replyGenerateError sends the last frame after the engine returned an error
// instead of a stream. It sends a refused frame only if the error proves that the
// request did not run.
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

// breakReason returns why an attempt broke off. The end of its context is the
// cause of later errors, so it takes precedence over fallback.
func (a *activeAttempt) breakReason(fallback string) string {
	switch {
	case a.ctx.Err() == nil:
		return fallback
	case deadlineExceeded(a.ctx):
		return reasonDeadline
	}
	return reasonStopped
}

// relayStream sends the engine's events to the caller. It returns the reason if
// the answer broke off, or an empty string if the complete answer was sent.
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

// readAhead sends events to the channel until the end event, a stream error or the
// close of done, and then closes the channel. After a stream error there is no
// end event.
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

// relayTokens sends the tokens that are available at once as one frame. It returns
// like relayStream.
func (g *Gate) relayTokens(active *activeAttempt, reply *replyStream, events <-chan engine.Event) string {
	digest := newTokenDigest(active.request.GetResumeTokens())
	var lastBatch time.Time // when the previous batch was read; zero before the first
	for event := range events {
		batch := make([]string, 0, 1)
		for more := true; more && event.Kind == engine.EventToken; {
			if event.Index != digest.count {
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

// pollEvent returns the next event if one is available without waiting.
func pollEvent(events <-chan engine.Event) (event engine.Event, ok bool) {
	select {
	case event, ok = <-events:
		return event, ok
	default:
		return engine.Event{}, false
	}
}

// relayEnd checks that the answer is complete and of the right version, and sends
// the end frame. It returns like relayStream.
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

// reportVersionChange logs that the engine used another version than it confirmed,
// and returns the reason.
func (g *Gate) reportVersionChange(active *activeAttempt, got string) string {
	g.cfg.Log.Error("engine used another version than it confirmed",
		"request", active.request.GetRequestId(), "want", active.request.GetVersion(), "got", got)
	g.cfg.Suspect()
	return reasonVersionChanged
}

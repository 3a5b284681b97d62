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
func (g *Gate) generate(run *run, out *reply) error {
	att := run.att
	fits := g.cfg.Invariants.Check(g.serves(run.loaded, att), "confirmedVersion",
		"request", att.GetRequestId(), "version", att.GetVersion(), "loaded", run.loaded.Version)
	if !fits {
		run.finish(false)
		return out.refuse(refuse(reasonNotLoaded, loadRetry))
	}
	stream, err := g.cfg.Engine.Generate(run.ctx, &engine.Generate{
		RequestID:    att.GetRequestId(),
		Model:        att.GetModel(),
		Adapter:      att.GetAdapter(),
		Prompt:       att.GetPrompt(),
		MaxTokens:    att.GetMaxTokens(),
		Priority:     att.GetPriority(),
		ResumeTokens: att.GetResumeTokens(),
	}, !att.GetRepeatable())
	if err != nil {
		return g.notStarted(run, out, err)
	}
	release := g.watch(run, stream)
	reason := g.relay(run, out, stream)
	unwatched := release()
	stream.Close()
	if reason == "" {
		return nil
	}
	if unwatched {
		g.stopEngine(run)
	}
	run.finish(true)
	if out.closed { // the end frame did not get out: the caller has gone
		return nil
	}
	return out.broken(reason)
}

// watch frees the endpoint as soon as the attempt's time is over. The goroutine
// that relays may hang in a send to a caller that stopped reading; without this
// it would hold the engine's slot and every drain until TCP gives up. The
// returned function ends the watch and reports whether it had not yet acted.
func (g *Gate) watch(run *run, stream *engine.Stream) func() bool {
	return context.AfterFunc(run.ctx, func() {
		if run.finished.Load() {
			return
		}
		if late(run.ctx) {
			run.overloaded.Store(true)
		}
		stream.Close()
		g.stopEngine(run)
		run.finish(true)
	})
}

func (g *Gate) stopEngine(run *run) {
	if err := g.cfg.Engine.Cancel(run.att.GetRequestId()); err != nil {
		g.cfg.Log.Debug("engine not asked to stop", "request", run.att.GetRequestId(), "error", err)
	}
}

// notStarted answers an attempt that the engine did not take.
func (g *Gate) notStarted(run *run, out *reply, err error) error {
	switch failure.KindOf(err) {
	case failure.Unavailable:
		run.finish(false)
		g.cfg.Suspect()
		return out.refuse(refuse(reasonUnreachable, reachRetry))
	case failure.NotFound:
		run.finish(false)
		g.cfg.Suspect()
		return out.refuse(refuse(reasonNotLoaded, loadRetry))
	case failure.Exhausted:
		run.overloaded.Store(true)
		run.finish(false)
		return out.refuse(refuse(reasonBusy, busyRetry))
	default:
		reason := run.why(reasonEndpoint)
		g.stopEngine(run)
		run.finish(true)
		return out.broken(reason)
	}
}

// why prefers the end of the attempt's time over its symptom.
func (r *run) why(symptom string) string {
	switch {
	case r.ctx.Err() == nil:
		return symptom
	case late(r.ctx):
		return reasonDeadline
	}
	return reasonCancelled
}

// relay passes the engine's events on and returns why it broke off; empty means
// that the whole answer was sent.
func (g *Gate) relay(run *run, out *reply, stream *engine.Stream) string {
	first, err := stream.Next()
	if err != nil || first.Kind != engine.EventBegin {
		return run.why(reasonStream)
	}
	if first.Version != run.att.GetVersion() {
		return g.versionChanged(run, first.Version)
	}
	if out.begin(first.Version) != nil {
		return reasonCancelled
	}
	events := make(chan engine.Event, tokensBuffered)
	done := make(chan struct{})
	defer close(done)
	go readAhead(stream, events, done)
	return g.relayTokens(run, out, events)
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

func (g *Gate) relayTokens(run *run, out *reply, events <-chan engine.Event) string {
	sum := newDigest(run.att.GetResumeTokens())
	var last time.Time // of the batch before; zero before the first
	for event := range events {
		batch := make([]string, 0, 1)
		for more := true; more && event.Kind == engine.EventToken; {
			if event.I != sum.count {
				return reasonStream
			}
			sum.add(event.Text)
			batch = append(batch, event.Text)
			event, more = next(events)
		}
		if len(batch) > 0 {
			now := g.cfg.Clock.Now()
			if !last.IsZero() {
				g.gaps.add(now, now.Sub(last)/time.Duration(len(batch)))
			}
			last = now
			if out.frame(&wire.Frame{Kind: frameTokens, Tokens: batch}) != nil {
				return reasonCancelled
			}
		}
		switch event.Kind {
		case engine.EventEnd:
			return g.relayEnd(run, out, event, sum)
		case engine.EventBegin:
			return reasonStream
		}
	}
	return run.why(reasonStream)
}

// next returns an event that is there already.
func next(events <-chan engine.Event) (event engine.Event, ok bool) {
	select {
	case event, ok = <-events:
		return event, ok
	default:
		return engine.Event{}, false
	}
}

func (g *Gate) relayEnd(run *run, out *reply, event engine.Event, sum *digest) string {
	if event.Version != run.att.GetVersion() {
		return g.versionChanged(run, event.Version)
	}
	if event.Count != sum.count {
		return reasonStream
	}
	if out.end(event.Version, sum.sum()) != nil {
		return reasonCancelled
	}
	return ""
}

// versionChanged answers an engine that used other weights than it confirmed.
func (g *Gate) versionChanged(run *run, got string) string {
	g.cfg.Log.Error("engine used another version than it confirmed",
		"request", run.att.GetRequestId(), "want", run.att.GetVersion(), "got", got)
	g.cfg.Suspect()
	return reasonVersion
}

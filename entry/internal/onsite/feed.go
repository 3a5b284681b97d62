package onsite

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/wire"
)

const (
	// feedRetry is the mean pause before a feed is begun again.
	feedRetryPause = 250 * time.Millisecond
	// homeGap, nearGap and farGap are the least times between two states of an engine
	// that is home to this entry, of another one of its failure domain, and of one of
	// another domain, to which little is sent and whose bytes are dear.
	homeInterval = 25 * time.Millisecond
	nearInterval = 60 * time.Millisecond
	farInterval  = 250 * time.Millisecond
	// guideGap is the same of an engine to which this entry sends nothing: it says
	// that the host is still connected.
	outsideInterval = time.Second
	// feedSilence ends a feed that brings nothing: agents send at least four times as
	// often, so the connection is dead though nothing says so. guideSilence is the same
	// where they send each guideGap.
	feedTimeout        = time.Second
	outsideFeedTimeout = 3500 * time.Millisecond
)

// feed follows the agent of one engine.
type feed struct {
	manager *feedManager
	engine  fleet.Engine
	delays  *delayMeter
	cancel  context.CancelFunc
	changed chan struct{} // buffered by one: part or brief changed

	mu       sync.Mutex
	part     deal.Part
	guidance *guidanceSnapshot
}

// begin follows an engine until its feed is cancelled.
func (f *feedManager) startFeed(ctx context.Context, eng fleet.Engine) *feed {
	ctx, cancel := context.WithCancel(ctx)
	started := &feed{manager: f, engine: eng, delays: newDelayMeter(), cancel: cancel, changed: make(chan struct{}, 1)}
	go started.run(ctx)
	return started
}

// heed takes over this entry's part in the engine and what its host should know.
func (d *feed) setAssignment(part deal.Part, newest *guidanceSnapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if part == d.part && newest.digest == d.guidance.digestOrZero() {
		return
	}
	changed := part != d.part || part.Guide
	d.part, d.guidance = part, newest
	if !changed {
		return
	}
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *feed) assignment() (deal.Part, *guidanceSnapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.part, d.guidance
}

// sends reports whether this entry sends requests to the engine.
func (d *feed) sendsRequests() bool {
	part, _ := d.assignment()
	return part.Reach != deal.Outside
}

// silence returns after how long without a state the feed is dead.
func (d *feed) silenceTimeout() time.Duration {
	if d.sendsRequests() {
		return feedTimeout
	}
	return outsideFeedTimeout
}

// run keeps the feed, begun again whenever it ends.
func (d *feed) run(ctx context.Context) {
	f := d.manager
	address := f.agentAddress(d.engine.Address)
	up := false
	for ctx.Err() == nil {
		err := d.stream(ctx, address, &up)
		if up && ctx.Err() == nil {
			f.log.Warn("dependency lost", "dependency", "agent", "address", address, "error", err)
			up = false
		}
		f.sleep(ctx, feedRetryPause/2+rand.N(feedRetryPause), nil)
	}
}

func (d *feed) stream(ctx context.Context, address string, up *bool) error {
	f := d.manager
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := f.clock.AfterFunc(d.silenceTimeout(), cancel)
	defer watchdog.Stop()
	stream, err := wire.NewDRPCFeedClient(f.pool.Conn(ctx, address)).Follow(ctx)
	if err != nil {
		return err
	}
	d.delays.resetSent()
	go d.sendGuidance(ctx, cancel, stream)
	for {
		state, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(d.silenceTimeout())
		if !*up {
			*up = true
			f.log.Info("dependency regained", "dependency", "agent", "address", address)
		}
		for _, weights := range state.GetDeclared() {
			f.state.DeclaredFor(weights.GetModel(), weights.GetVersion(), time.Duration(weights.GetAgeMillis())*time.Millisecond)
		}
		if d.sendsRequests() {
			d.observe(state)
		}
	}
}

// take takes over an engine's state.
func (d *feed) observe(state *wire.EngineState) {
	f := d.manager
	engineState := engineStateOf(state)
	// An entry that sends there seldom learns from the others.
	engineState.Delay = max(d.delays.update(f.clock.Since(f.startedAt), messageTimesOf(state)), time.Duration(state.GetLagMillis())*time.Millisecond)
	f.state.Fleet().Observe(d.engine.Service, d.engine.Address, engineState)
}

// guide reports to the agent how much of what this entry sent there is not read yet, how
// often it wants states and, if it is one of the host's guides, what is wanted, at
// once and after each change.
func (d *feed) sendGuidance(ctx context.Context, cancel context.CancelFunc, stream wire.DRPCFeed_FollowClient) {
	defer cancel()
	f := d.manager
	readingChanged := f.state.Fleet().Group(d.engine.Service).ReadingChanged(d.engine.Address)
	sender := &guidanceSender{feed: d, unreadTokens: -1}
	delayChanged := false
	for ctx.Err() == nil {
		message, wait := sender.next(f.clock.Now())
		if message == nil && delayChanged {
			message = sender.readingOnly()
		}
		if delayChanged = false; message != nil {
			d.addTimestamps(message)
			if stream.Send(message) != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-readingChanged:
		case <-d.changed:
		case <-d.delays.changed:
			delayChanged = true
		case <-f.clock.After(wait):
		}
	}
}

// stamp lets the agent's next states report how long the message was on its way.
func (d *feed) addTimestamps(message *wire.Guidance) {
	part, _ := d.assignment()
	if part.Reach == deal.Outside {
		return
	}
	now := d.manager.clock.Since(d.manager.startedAt)
	message.Near = part.Reach >= deal.Near
	message.DelayMillis = uint32(d.delays.delayToReport().Milliseconds())
	d.delays.recordSent(now.Truncate(time.Millisecond))
	message.SentMillis = uint64(now.Milliseconds())
}

// gapOf returns how often an entry with the part wants states.
func stateInterval(part deal.Part) time.Duration {
	switch part.Reach {
	case deal.Home:
		return homeInterval
	case deal.Near:
		return nearInterval
	case deal.Far:
		return farInterval
	}
	return outsideInterval
}

// guidanceSender holds what was sent to one agent.
type guidanceSender struct {
	feed           *feed
	sentGuidance   *guidanceSnapshot // nil: none, or others send it
	sentAt         time.Time
	interval       time.Duration
	unreadTokens   int
	pinnedRequests int // requests in progress that can't go on elsewhere
}

// next returns what the agent does not know yet, nil where it knows all, and how
// long that holds if nothing changes.
func (t *guidanceSender) next(now time.Time) (*wire.Guidance, time.Duration) {
	part, newest := t.feed.assignment()
	message, wait := t.nextGuidance(now, part, newest)
	engines := t.feed.manager.state.Fleet()
	unreadTokens := engines.Reading(t.feed.engine.Service, t.feed.engine.Address)
	pinnedRequests := engines.Last(t.feed.engine.Service, t.feed.engine.Address)
	interval := stateInterval(part)
	if message == nil && unreadTokens == t.unreadTokens && pinnedRequests == t.pinnedRequests && interval == t.interval {
		return nil, wait
	}
	t.unreadTokens, t.pinnedRequests = unreadTokens, pinnedRequests
	if message == nil {
		message = t.readingOnly()
	}
	message.Reading, message.Last = uint32(unreadTokens), uint32(pinnedRequests)
	if interval != t.interval {
		t.interval, message.GapMillis = interval, uint32(interval.Milliseconds())
	}
	return message, wait
}

func (t *guidanceSender) readingOnly() *wire.Guidance {
	return &wire.Guidance{ReadingOnly: true, Reading: uint32(max(0, t.unreadTokens)), Last: uint32(t.pinnedRequests)}
}

// guidance returns what to send to the host now; nil where it was sent, or where
// that is for other entries.
func (t *guidanceSender) nextGuidance(now time.Time, part deal.Part, newest *guidanceSnapshot) (*wire.Guidance, time.Duration) {
	if !part.Guide {
		t.sentGuidance = nil
		return nil, guidanceInterval
	}
	if wait := t.sentGuidance.delayUntilUpdate(newest, now.Sub(t.sentAt)); wait > 0 {
		return nil, wait
	}
	t.sentGuidance, t.sentAt = newest, now
	return newest.withCurrentAges(t.feed.manager), guidanceInterval
}

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
	// feedRetryPause is the mean pause before a feed is reopened.
	feedRetryPause = 250 * time.Millisecond
	// homeInterval, nearInterval and farInterval are the minimum times between two state messages
	// from an engine: one whose home is this entry, another engine in this entry's failure
	// domain, and an engine in another domain. The last kind gets few requests, and its traffic
	// crosses costly links.
	homeInterval = 25 * time.Millisecond
	nearInterval = 60 * time.Millisecond
	farInterval  = 250 * time.Millisecond
	// outsideInterval is the same for an engine to which this entry sends no requests. These
	// messages only show that the host is still connected.
	outsideInterval = time.Second
	// feedTimeout ends a feed without messages. Agents send at least four times as often, so the
	// connection is dead even if no error is reported. outsideFeedTimeout is the same for agents
	// that send every outsideInterval.
	feedTimeout        = time.Second
	outsideFeedTimeout = 3500 * time.Millisecond
)

// feed receives the state of one engine from its host's agent and sends guidance to that agent.
type feed struct {
	manager *feedManager
	engine  fleet.Engine
	delays  *delayMeter
	cancel  context.CancelFunc
	changed chan struct{} // capacity 1; signals that part or guidance changed

	mu       sync.Mutex
	part     deal.Assignment
	guidance *guidanceSnapshot
}

// startFeed starts a feed, which runs until it is cancelled.
func (f *feedManager) startFeed(ctx context.Context, eng fleet.Engine) *feed {
	ctx, cancel := context.WithCancel(ctx)
	started := &feed{manager: f, engine: eng, delays: newDelayMeter(), cancel: cancel, changed: make(chan struct{}, 1)}
	go started.run(ctx)
	return started
}

// setAssignment sets this entry's part in the engine and the guidance for its host.
func (d *feed) setAssignment(part deal.Assignment, newest *guidanceSnapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if part == d.part && newest.digest == d.guidance.digestOrZero() {
		return
	}
	changed := part != d.part || part.SendsGuidance
	d.part, d.guidance = part, newest
	if !changed {
		return
	}
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// assignment returns what setAssignment set last.
func (d *feed) assignment() (deal.Assignment, *guidanceSnapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.part, d.guidance
}

// sendsRequests reports whether this entry sends requests to the engine.
func (d *feed) sendsRequests() bool {
	part, _ := d.assignment()
	return part.Reach != deal.Outside
}

// silenceTimeout returns the time without messages after which the feed counts as dead.
func (d *feed) silenceTimeout() time.Duration {
	if d.sendsRequests() {
		return feedTimeout
	}
	return outsideFeedTimeout
}

// run keeps the feed open and reopens it when it ends.
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

// stream opens the feed once and processes its messages until it fails. It sets *up at the first message.
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
			f.state.RecordDeclarationAge(weights.GetModel(), weights.GetVersion(), time.Duration(weights.GetAgeMillis())*time.Millisecond)
		}
		if d.sendsRequests() {
			d.observe(state)
		}
	}
}

// observe records a state message of the engine.
func (d *feed) observe(state *wire.EngineState) {
	f := d.manager
	engineState := engineStateOf(state)
	// An entry that sends few messages to the agent uses the delay that other entries measured.
	engineState.Delay = max(d.delays.update(f.clock.Since(f.startedAt), messageTimesOf(state)), time.Duration(state.GetLagMillis())*time.Millisecond)
	f.state.Fleet().Observe(d.engine.Service, d.engine.Address, engineState)
}

// sendGuidance tells the agent how many prompt tokens from this entry the engine has not read yet
// and how often to send states. If this entry guides the host, it also sends the guidance, first
// at once and then after each change.
func (d *feed) sendGuidance(ctx context.Context, cancel context.CancelFunc, stream wire.DRPCFeed_FollowClient) {
	defer cancel()
	f := d.manager
	readingChanged := f.state.Fleet().Group(d.engine.Service).PendingPrefillChanged(d.engine.Address)
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

// addTimestamps adds the time of sending, so that later states of the agent show how long the
// message took.
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

// stateInterval returns the interval of state messages to request for the given part.
func stateInterval(part deal.Assignment) time.Duration {
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

// guidanceSender builds the messages to one agent and tracks what it was sent.
type guidanceSender struct {
	feed           *feed
	sentGuidance   *guidanceSnapshot // nil if none was sent or other entries guide the host
	sentAt         time.Time
	interval       time.Duration
	unreadTokens   int
	pinnedRequests int // requests in progress that no other engine can continue
}

// next returns a message with what the agent does not know yet, or nil if it is up to date, and
// how long the result stays valid if nothing changes.
func (t *guidanceSender) next(now time.Time) (*wire.Guidance, time.Duration) {
	part, newest := t.feed.assignment()
	message, wait := t.nextGuidance(now, part, newest)
	engines := t.feed.manager.state.Fleet()
	unreadTokens := engines.PendingPrefill(t.feed.engine.Service, t.feed.engine.Address)
	pinnedRequests := engines.FinalAttempts(t.feed.engine.Service, t.feed.engine.Address)
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

// readingOnly returns a message that has only the counts of unread tokens and pinned requests.
func (t *guidanceSender) readingOnly() *wire.Guidance {
	return &wire.Guidance{ReadingOnly: true, Reading: uint32(max(0, t.unreadTokens)), Last: uint32(t.pinnedRequests)}
}

// nextGuidance returns the guidance to send to the host now. It returns nil if the host has it
// already or if other entries guide the host. The duration is the time until the next check.
func (t *guidanceSender) nextGuidance(now time.Time, part deal.Assignment, newest *guidanceSnapshot) (*wire.Guidance, time.Duration) {
	if !part.SendsGuidance {
		t.sentGuidance = nil
		return nil, guidanceInterval
	}
	if wait := t.sentGuidance.delayUntilUpdate(newest, now.Sub(t.sentAt)); wait > 0 {
		return nil, wait
	}
	t.sentGuidance, t.sentAt = newest, now
	return newest.withCurrentAges(t.feed.manager), guidanceInterval
}

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
	feedRetry = 250 * time.Millisecond
	// homeGap, nearGap and farGap are the least times between two states of an engine
	// that is home to this entry, of another one of its failure domain, and of one of
	// another domain, to which little is sent and whose bytes are dear.
	homeGap = 25 * time.Millisecond
	nearGap = 60 * time.Millisecond
	farGap  = 250 * time.Millisecond
	// guideGap is the same of an engine to which this entry sends nothing: it says
	// that the host is still connected.
	guideGap = time.Second
	// feedSilence ends a feed that brings nothing: agents send at least four times as
	// often, so the connection is dead though nothing says so. guideSilence is the same
	// where they send each guideGap.
	feedSilence  = time.Second
	guideSilence = 3500 * time.Millisecond
)

// feed follows the agent of one engine.
type feed struct {
	feeds  *feeds
	engine fleet.Engine
	path   *delayMeter
	cancel context.CancelFunc
	moved  chan struct{} // buffered by one: part or brief changed

	mu    sync.Mutex
	part  deal.Part
	brief *brief
}

// begin follows an engine until its feed is cancelled.
func (f *feeds) begin(ctx context.Context, eng fleet.Engine) *feed {
	ctx, cancel := context.WithCancel(ctx)
	one := &feed{feeds: f, engine: eng, path: newDelayMeter(), cancel: cancel, moved: make(chan struct{}, 1)}
	go one.run(ctx)
	return one
}

// heed takes over this entry's part in the engine and what its host should know.
func (d *feed) heed(part deal.Part, newest *brief) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if part == d.part && newest.digest == d.brief.sum() {
		return
	}
	changed := part != d.part || part.Guide
	d.part, d.brief = part, newest
	if !changed {
		return
	}
	select {
	case d.moved <- struct{}{}:
	default:
	}
}

func (d *feed) orders() (deal.Part, *brief) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.part, d.brief
}

// sends reports whether this entry sends requests to the engine.
func (d *feed) sends() bool {
	part, _ := d.orders()
	return part.Reach != deal.Outside
}

// silence returns after how long without a state the feed is dead.
func (d *feed) silence() time.Duration {
	if d.sends() {
		return feedSilence
	}
	return guideSilence
}

// run keeps the feed, begun again whenever it ends.
func (d *feed) run(ctx context.Context) {
	f := d.feeds
	address := f.agentAddress(d.engine.Address)
	up := false
	for ctx.Err() == nil {
		err := d.stream(ctx, address, &up)
		if up && ctx.Err() == nil {
			f.log.Warn("dependency lost", "dependency", "agent", "address", address, "error", err)
			up = false
		}
		f.sleep(ctx, feedRetry/2+rand.N(feedRetry), nil)
	}
}

func (d *feed) stream(ctx context.Context, address string, up *bool) error {
	f := d.feeds
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := f.clock.AfterFunc(d.silence(), cancel)
	defer watchdog.Stop()
	stream, err := wire.NewDRPCFeedClient(f.pool.Conn(ctx, address)).Follow(ctx)
	if err != nil {
		return err
	}
	d.path.restart()
	go d.guide(ctx, cancel, stream)
	for {
		state, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(d.silence())
		if !*up {
			*up = true
			f.log.Info("dependency regained", "dependency", "agent", "address", address)
		}
		for _, one := range state.GetDeclared() {
			f.state.DeclaredFor(one.GetModel(), one.GetVersion(), time.Duration(one.GetAgeMillis())*time.Millisecond)
		}
		if d.sends() {
			d.take(state)
		}
	}
}

// take takes over an engine's state.
func (d *feed) take(state *wire.EngineState) {
	f := d.feeds
	observed := stateOf(state)
	// An entry that sends there seldom learns from the others.
	observed.Delay = max(d.path.delay(f.clock.Since(f.began), timesOf(state)), time.Duration(state.GetLagMillis())*time.Millisecond)
	f.state.Fleet().Observe(d.engine.Service, d.engine.Address, observed)
}

// guide reports to the agent how much of what this entry sent there is not read yet, how
// often it wants states and, if it is one of the host's guides, what is wanted, at
// once and after each change.
func (d *feed) guide(ctx context.Context, cancel context.CancelFunc, stream wire.DRPCFeed_FollowClient) {
	defer cancel()
	f := d.feeds
	reading := f.state.Fleet().Group(d.engine.Service).ReadingChanged(d.engine.Address)
	sender := &guidanceSender{feed: d, reading: -1}
	lagged := false
	for ctx.Err() == nil {
		message, wait := sender.next(f.clock.Now())
		if message == nil && lagged {
			message = sender.readingOnly()
		}
		if lagged = false; message != nil {
			d.stamp(message)
			if stream.Send(message) != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-reading:
		case <-d.moved:
		case <-d.path.moved:
			lagged = true
		case <-f.clock.After(wait):
		}
	}
}

// stamp lets the agent's next states report how long the message was on its way.
func (d *feed) stamp(message *wire.Guidance) {
	part, _ := d.orders()
	if part.Reach == deal.Outside {
		return
	}
	now := d.feeds.clock.Since(d.feeds.began)
	message.Near = part.Reach >= deal.Near
	message.DelayMillis = uint32(d.path.report().Milliseconds())
	d.path.ask(now.Truncate(time.Millisecond))
	message.SentMillis = uint64(now.Milliseconds())
}

// gapOf returns how often an entry with the part wants states.
func gapOf(part deal.Part) time.Duration {
	switch part.Reach {
	case deal.Home:
		return homeGap
	case deal.Near:
		return nearGap
	case deal.Far:
		return farGap
	}
	return guideGap
}

// guidanceSender holds what was sent to one agent.
type guidanceSender struct {
	feed    *feed
	sent    *brief // nil: none, or others send it
	sentAt  time.Time
	gap     time.Duration
	reading int
	last    int // requests in progress that can't go on elsewhere
}

// next returns what the agent does not know yet, nil where it knows all, and how
// long that holds if nothing changes.
func (t *guidanceSender) next(now time.Time) (*wire.Guidance, time.Duration) {
	part, newest := t.feed.orders()
	message, wait := t.guidance(now, part, newest)
	known := t.feed.feeds.state.Fleet()
	reading := known.Reading(t.feed.engine.Service, t.feed.engine.Address)
	last := known.Last(t.feed.engine.Service, t.feed.engine.Address)
	gap := gapOf(part)
	if message == nil && reading == t.reading && last == t.last && gap == t.gap {
		return nil, wait
	}
	t.reading, t.last = reading, last
	if message == nil {
		message = t.readingOnly()
	}
	message.Reading, message.Last = uint32(reading), uint32(last)
	if gap != t.gap {
		t.gap, message.GapMillis = gap, uint32(gap.Milliseconds())
	}
	return message, wait
}

func (t *guidanceSender) readingOnly() *wire.Guidance {
	return &wire.Guidance{ReadingOnly: true, Reading: uint32(max(0, t.reading)), Last: uint32(t.last)}
}

// guidance returns what to send to the host now; nil where it was sent, or where
// that is for other entries.
func (t *guidanceSender) guidance(now time.Time, part deal.Part, newest *brief) (*wire.Guidance, time.Duration) {
	if !part.Guide {
		t.sent = nil
		return nil, guideInterval
	}
	if wait := t.sent.stays(newest, now.Sub(t.sentAt)); wait > 0 {
		return nil, wait
	}
	t.sent, t.sentAt = newest, now
	return newest.message(t.feed.feeds), guideInterval
}

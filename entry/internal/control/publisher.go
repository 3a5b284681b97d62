package control

import (
	"context"
	"time"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	// buildGap is the least time between two views.
	buildGap = 50 * time.Millisecond
	// buildShare keeps building to a small part of one core in large deployments:
	// the gap is at least this many times what the last view took.
	buildShare = 50
	// buildInterval is the most time between two views: silence is a change
	// that nobody reports.
	buildInterval = 500 * time.Millisecond
	// pauseLimit is the time without a view after which this process must have
	// stood still itself.
	pauseLimit = 3 * time.Second
	// heartbeat is how often this entry's own report is made anew.
	heartbeat = 2 * time.Second
	// newsGap is the least time between two own reports that hold new
	// revisions.
	newsGap = time.Second
)

// Publisher builds the views that the rest of the entry reads.
type Publisher struct {
	deployment *Deployment
	own        func() *wire.EntryReport
	// beatAt is when the own report was last made, published what it said: the
	// document revisions here and on the hosts that report here.
	beatAt    time.Time
	published [2]uint32
}

// NewPublisher returns a Publisher; own makes a new report on this entry.
func NewPublisher(deployment *Deployment, own func() *wire.EntryReport) *Publisher {
	return &Publisher{deployment: deployment, own: own}
}

// Run builds views until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	clock := p.deployment.clock
	last := clock.Now()
	for ctx.Err() == nil {
		began := clock.Now()
		p.noticePause(began.Sub(last))
		last = began
		p.Build()
		sleep(ctx, clock, max(buildGap, buildShare*clock.Since(began)))
		p.await(ctx)
	}
}

func (p *Publisher) await(ctx context.Context) {
	timer := p.deployment.clock.NewTimer(buildInterval)
	defer timer.Stop()
	select {
	case <-p.deployment.dirty:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// noticePause forgives the others the silence of a time in which this process
// itself stood still.
func (p *Publisher) noticePause(gap time.Duration) {
	if gap > pauseLimit {
		p.deployment.log.Warn("this process stood still", "seconds", gap.Seconds())
		counters.Add("pauses", 1)
		p.deployment.hosts.Adjust(gap)
	}
}

// Wake has a view built soon.
func (p *Publisher) Wake() { p.deployment.touch() }

// due reports whether the own report should be made anew, and notes that it is.
func (p *Publisher) due(now time.Time) bool {
	revisions := [2]uint32{p.deployment.Root().GetRevision(), p.deployment.HomeRevision()}
	since := now.Sub(p.beatAt)
	if since < heartbeat && (revisions == p.published || since < newsGap) {
		return false
	}
	p.beatAt, p.published = now, revisions
	return true
}

// Build publishes one view.
func (p *Publisher) Build() {
	now := p.deployment.clock.Now()
	hurry := p.deployment.hurry.Swap(false)
	if p.due(now) {
		p.deployment.hosts.ObserveEntry(p.own(), now)
	}
	p.deployment.mu.Lock()
	root, plan, drains := p.deployment.state.Root(), p.deployment.state.Plan(), p.deployment.state.Drains()
	doc, confirmedAt := p.deployment.doc, p.deployment.state.ConfirmedAt()
	p.deployment.mu.Unlock()
	entries := p.deployment.hosts.Entries(now)
	p.deployment.view.Store(&view.Snapshot{
		Revision:     root.GetRevision(),
		PlanRevision: plan.GetPlanRevision(),
		Document:     doc,
		Plan:         plan,
		Hosts:        p.deployment.hosts.Hosts(now, drains, entries),
		Entries:      entries,
		ConfirmedAt:  confirmedAt,
	})
	if hurry {
		p.deployment.Hurry()
	}
}

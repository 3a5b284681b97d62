package control

import (
	"context"
	"time"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	// buildGap is the least time between two views.
	minBuildInterval = 50 * time.Millisecond
	// buildShare keeps building to a small part of one core in large deployments:
	// the gap is at least this many times what the last view took.
	buildIdleFactor = 50
	// buildInterval is the most time between two views: silence is a change
	// that nobody reports.
	maxBuildInterval = 500 * time.Millisecond
	// pauseLimit is the time without a view after which this process must have
	// stood still itself.
	pauseThreshold = 3 * time.Second
	// heartbeat is how often this entry's own report is made anew.
	reportInterval = 2 * time.Second
	// newsGap is the least time between two own reports that hold new
	// revisions.
	minReportInterval = time.Second
)

// Publisher builds the views that the rest of the entry reads.
type Publisher struct {
	deployment *Deployment
	makeReport func() *wire.EntryReport
	// beatAt is when the own report was last made, published what it said: the
	// document revisions here and on the hosts that report here.
	reportedAt        time.Time
	reportedRevisions [2]uint32
}

// NewPublisher returns a Publisher; own makes a new report on this entry.
func NewPublisher(deployment *Deployment, makeReport func() *wire.EntryReport) *Publisher {
	return &Publisher{deployment: deployment, makeReport: makeReport}
}

// Run builds views until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	clock := p.deployment.clock
	last := clock.Now()
	for ctx.Err() == nil {
		began := clock.Now()
		p.compensatePause(began.Sub(last))
		last = began
		p.Build()
		sleep(ctx, clock, max(minBuildInterval, buildIdleFactor*clock.Since(began)))
		p.waitForChange(ctx)
	}
}

func (p *Publisher) waitForChange(ctx context.Context) {
	timer := p.deployment.clock.NewTimer(maxBuildInterval)
	defer timer.Stop()
	select {
	case <-p.deployment.dirty:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// noticePause forgives the others the silence of a time in which this process
// itself stood still.
func (p *Publisher) compensatePause(gap time.Duration) {
	if gap > pauseThreshold {
		p.deployment.log.Warn("this process stood still", "seconds", gap.Seconds())
		counters.Add("pauses", 1)
		p.deployment.members.Adjust(gap)
	}
}

// Wake has a view built soon.
func (p *Publisher) Wake() { p.deployment.markDirty() }

// due reports whether the own report should be made anew, and notes that it is.
func (p *Publisher) reportDue(now time.Time) bool {
	revisions := [2]uint32{p.deployment.Root().GetRevision(), p.deployment.HomeRevision()}
	since := now.Sub(p.reportedAt)
	if since < reportInterval && (revisions == p.reportedRevisions || since < minReportInterval) {
		return false
	}
	p.reportedAt, p.reportedRevisions = now, revisions
	return true
}

// Build publishes one view.
func (p *Publisher) Build() {
	now := p.deployment.clock.Now()
	urgent := p.deployment.urgentPending.Swap(false)
	if p.reportDue(now) {
		p.deployment.members.ObserveEntry(p.makeReport(), now)
	}
	p.deployment.mu.Lock()
	root, plan, drains := p.deployment.state.Root(), p.deployment.state.Plan(), p.deployment.state.Drains()
	doc, confirmedAt := p.deployment.doc, p.deployment.state.ConfirmedAt()
	p.deployment.mu.Unlock()
	entries := p.deployment.members.Entries(now)
	p.deployment.view.Store(&view.Snapshot{
		Revision:     root.GetRevision(),
		PlanRevision: plan.GetPlanRevision(),
		Document:     doc,
		Plan:         plan,
		Hosts:        p.deployment.members.Hosts(now, drains, entries),
		Entries:      entries,
		ConfirmedAt:  confirmedAt,
	})
	if urgent {
		p.deployment.Hurry()
	}
}

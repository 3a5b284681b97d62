package control

import (
	"context"
	"time"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	// minBuildInterval is the minimum time between two builds of the view.
	minBuildInterval = 50 * time.Millisecond
	// buildIdleFactor limits the share of a core spent on building in large
	// deployments: the pause is at least this many times as long as the last build.
	buildIdleFactor = 50
	// maxBuildInterval is how long to wait for a change before building anyway,
	// because a member that falls silent produces no event.
	maxBuildInterval = 500 * time.Millisecond
	// pauseThreshold is the time between two builds beyond which this process
	// itself must have been paused.
	pauseThreshold = 3 * time.Second
	// reportInterval is how often this entry makes a new report on itself.
	reportInterval = 2 * time.Second
	// minReportInterval is the minimum time between two such reports when the
	// revisions change.
	minReportInterval = time.Second
)

// Publisher builds the snapshots of the view that the rest of the entry reads.
type Publisher struct {
	deployment *Deployment
	makeReport func() *wire.EntryReport
	// reportedAt is when the last own report was made. reportedRevisions are the
	// document revisions it contained: the one of this entry and the lowest one
	// of the hosts that report here.
	reportedAt        time.Time
	reportedRevisions [2]uint32
}

// NewPublisher returns a Publisher; makeReport makes a new report on this entry.
func NewPublisher(deployment *Deployment, makeReport func() *wire.EntryReport) *Publisher {
	return &Publisher{deployment: deployment, makeReport: makeReport}
}

// Run builds views until ctx ends, on every change and at least periodically.
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

// waitForChange waits until the view is dirty, or at most maxBuildInterval.
func (p *Publisher) waitForChange(ctx context.Context) {
	timer := p.deployment.clock.NewTimer(maxBuildInterval)
	defer timer.Stop()
	select {
	case <-p.deployment.dirty:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// compensatePause adjusts the times at which members were last seen if this process
// was paused: members that seem silent for that time are not lost.
func (p *Publisher) compensatePause(gap time.Duration) {
	if gap > pauseThreshold {
		p.deployment.log.Warn("process was paused", "seconds", gap.Seconds())
		counters.Add("pauses", 1)
		p.deployment.members.Adjust(gap)
	}
}

// Wake requests a rebuild of the view.
func (p *Publisher) Wake() { p.deployment.markDirty() }

// reportDue reports whether a new own report is due, and if so records it as made.
func (p *Publisher) reportDue(now time.Time) bool {
	revisions := [2]uint32{p.deployment.Root().GetRevision(), p.deployment.HomeRevision()}
	since := now.Sub(p.reportedAt)
	if since < reportInterval && (revisions == p.reportedRevisions || since < minReportInterval) {
		return false
	}
	p.reportedAt, p.reportedRevisions = now, revisions
	return true
}

// Build builds and publishes one view.
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
		p.deployment.NotifyUrgent()
	}
}

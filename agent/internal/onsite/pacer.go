package onsite

import (
	"slices"
	"sync"
	"time"
)

const (
	// lagHigh is the network delay between entries and this host above which weight
	// transfers reduce their share of the link. A request that queues behind them for that
	// long is late, and may reach the engine after its caller disconnected. Where the link
	// has its declared rate, the chunks in flight to a host delay requests by less.
	lagHigh = 150 * time.Millisecond
	// lagLow is the delay below which transfers increase their share again.
	lagLow = 80 * time.Millisecond
	// maxReportAge is the age above which an entry's delay report is ignored.
	maxReportAge = 700 * time.Millisecond
	// adjustInterval is the least time between two changes of the share. It is slightly
	// longer than a delay report takes to arrive.
	adjustInterval = 100 * time.Millisecond
	// minShare is the fraction of the usual rate that transfers always use, so that the
	// link's recovery is noticed and the version arrives eventually.
	minShare = 0.06
	// shareGain is added to the share at each change while the delay is low.
	shareGain = 0.08
)

// pacer decides what fraction of their usual share of the link weight transfers use. The
// rate that the platform declares for the link may be too high for a while. Weights sent at
// that rate then queue at the slower link, and requests queue behind them. Entries measure
// the delay and report it. The share is halved while the delay is high and grows slowly
// while it is low.
//
// A delay arises at the host's link, at the entry's link or between failure domains. If
// most entries in the host's own domain see a delay, it is at the host's link. A delay that
// a single one of them sees may be at its own link, and a delay that entries in other
// domains see may be at the link between the domains; neither gets better if this host
// sends less. It is safe for concurrent use.
type pacer struct {
	now func() time.Time

	mu           sync.Mutex
	reports      map[*follower]delayReport
	currentShare float64
	adjustedAt   time.Time
}

// delayReport is the delay between one entry and this host, as the entry reported it.
type delayReport struct {
	lag  time.Duration
	near bool // the entry is in the host's failure domain
	at   time.Time
}

func newPacer(now func() time.Time) *pacer {
	return &pacer{now: now, currentShare: 1, reports: map[*follower]delayReport{}}
}

// observe records the delay that an entry reported.
func (p *pacer) observe(from *follower, near bool, lag time.Duration) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[from] = delayReport{lag: lag, near: near, at: now}
}

// forget removes the report of an entry that disconnected.
func (p *pacer) forget(from *follower) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reports, from)
}

// delay returns the delay at the host's link according to recent reports; 0: none.
func (p *pacer) delay() time.Duration {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reportedLag(now)
}

// reportedLag returns the delay that most near entries see, or that most other entries see
// if there is no recent report of a near one. The caller holds p.mu.
func (p *pacer) reportedLag(now time.Time) time.Duration {
	var near, far []time.Duration
	for _, report := range p.reports {
		switch {
		case now.Sub(report.at) > maxReportAge:
		case report.near:
			near = append(near, report.lag)
		default:
			far = append(far, report.lag)
		}
	}
	if len(near) == 0 {
		return lowerMedian(far)
	}
	return lowerMedian(near)
}

// lowerMedian returns the greatest delay that more than half of the entries reach or exceed;
// of two entries, both must. It sorts lags.
func lowerMedian(lags []time.Duration) time.Duration {
	if len(lags) == 0 {
		return 0
	}
	slices.Sort(lags)
	return lags[(len(lags)-1)/2]
}

// share returns the fraction of the usual rate that transfers may use now, and adjusts it
// if adjustInterval has passed.
func (p *pacer) share() float64 {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.adjustedAt) < adjustInterval {
		return p.currentShare
	}
	p.adjustedAt = now
	switch lag := p.reportedLag(now); {
	case lag > lagHigh:
		p.currentShare = max(minShare, p.currentShare/2)
	case lag < lagLow:
		p.currentShare = min(1, p.currentShare+shareGain)
	}
	return p.currentShare
}

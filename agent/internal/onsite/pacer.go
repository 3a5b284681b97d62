package onsite

import (
	"slices"
	"sync"
	"time"
)

const (
	// lagHigh is the delay on the way between entries and this host beyond which
	// weights leave it more of the link: a request that stands behind them for so
	// long is late, and may reach the engine after its caller left. The chunks that are on
	// their way to a host delay others by less where its link is as wide as declared.
	lagHigh = 150 * time.Millisecond
	// lagLow is the delay below which they take more again.
	lagLow = 80 * time.Millisecond
	// lagStale is the age at which an entry's report of a delay is no longer taken.
	maxReportAge = 700 * time.Millisecond
	// paceStep is the time between two changes, a little more than such a report
	// takes to come.
	adjustInterval = 100 * time.Millisecond
	// leastPart is the part of the usual rate that is always taken, so that the
	// link's recovery is noticed and the version comes at all.
	minShare = 0.06
	// partGain is added with each step while there is no delay.
	shareGain = 0.08
)

// pace decides which part of its usual share of the link the transfer of weights
// takes. The rate that the platform declares for the link may be wrong for a while: weights sent at
// the full rate then stand before a narrow link, and requests behind them. Entries
// measure that delay and report it; the part is halved while it is high and grows
// slowly while it is low.
//
// A way has two ends, and links between failure domains besides. What most entries of
// the host's own domain see is the host's link; what one of them sees may be its own,
// and what those of other domains see may be the link between, neither of which gets
// better if this host takes less. It is safe for concurrent use.
type pacer struct {
	now func() time.Time

	mu           sync.Mutex
	reports      map[*follower]delayReport
	currentShare float64
	adjustedAt   time.Time
}

// delayReport is what one entry reported of the delay on its way to this host.
type delayReport struct {
	lag  time.Duration
	near bool // the entry is of the host's failure domain
	at   time.Time
}

func newPacer(now func() time.Time) *pacer {
	return &pacer{now: now, currentShare: 1, reports: map[*follower]delayReport{}}
}

// observe takes over the delay that an entry reports.
func (p *pacer) observe(from *follower, near bool, lag time.Duration) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[from] = delayReport{lag: lag, near: near, at: now}
}

// leave forgets the report of an entry that follows no more.
func (p *pacer) forget(from *follower) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reports, from)
}

// delay returns the delay of the host's link that entries reported lately; 0: none.
func (p *pacer) delay() time.Duration {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reportedLag(now)
}

// lag returns the delay that most of the near entries see, of the others where no near
// one reported any; p.mu is held.
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

// ofMost returns the greatest delay that more than half of the entries see at least;
// where there are two, both.
func lowerMedian(lags []time.Duration) time.Duration {
	if len(lags) == 0 {
		return 0
	}
	slices.Sort(lags)
	return lags[(len(lags)-1)/2]
}

// share returns the part of the usual share that may be taken now.
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

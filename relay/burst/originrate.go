package burst

import "time"

// rateSamples is the number of origin fetches over which the rate is measured.
const rateSamples = 16

// originRate measures how fast the fleet fetches chunks from the origin.
type originRate struct {
	fetchTimes []time.Time   // when the latest fetches became known, oldest first
	minGap     time.Duration // smallest mean gap over rateSamples; 0 until measured
}

// record adds origin fetches that became known at the same time.
func (p *originRate) record(now time.Time, fetches int) {
	for range min(fetches, rateSamples) {
		p.fetchTimes = append(p.fetchTimes, now)
	}
	p.fetchTimes = p.fetchTimes[max(0, len(p.fetchTimes)-rateSamples):]
	if gap := p.meanGap(); len(p.fetchTimes) == rateSamples && (p.minGap == 0 || gap < p.minGap) {
		p.minGap = gap
	}
}

// cappedGap returns the mean gap, bounded so that stalled owners barely increase it.
func (p *originRate) cappedGap() time.Duration {
	gap := p.meanGap()
	if p.minGap > 0 {
		gap = min(gap, maxGapGrowth*p.minGap)
	}
	return gap
}

// meanGap returns the mean time between two origin fetches, or 0 until it was measured. It ignores
// the longest gap: a stalled owner must not lengthen the rank timeout that ends its stall.
func (p *originRate) meanGap() time.Duration {
	count := len(p.fetchTimes)
	if count < minOriginWindow {
		return 0
	}
	var longest time.Duration
	for i := 1; i < count; i++ {
		longest = max(longest, p.fetchTimes[i].Sub(p.fetchTimes[i-1]))
	}
	return (p.fetchTimes[count-1].Sub(p.fetchTimes[0]) - longest) / time.Duration(count-2)
}

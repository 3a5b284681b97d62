package burst

import "time"

// rateSamples is the number of origin fetches over which the rate is measured.
const rateSamples = 16

// originRate measures how fast the fleet fetches chunks from the origin.
type originRate struct {
	times  []time.Time   // when the latest fetches became known, oldest first
	minGap time.Duration // smallest mean gap over rateSamples; 0 until measured
}

// record adds origin fetches that became known at the same time.
func (p *originRate) record(now time.Time, draws int) {
	for range min(draws, rateSamples) {
		p.times = append(p.times, now)
	}
	p.times = p.times[max(0, len(p.times)-rateSamples):]
	if gap := p.meanGap(); len(p.times) == rateSamples && (p.minGap == 0 || gap < p.minGap) {
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
	count := len(p.times)
	if count < minOriginWindow {
		return 0
	}
	var longest time.Duration
	for i := 1; i < count; i++ {
		longest = max(longest, p.times[i].Sub(p.times[i-1]))
	}
	return (p.times[count-1].Sub(p.times[0]) - longest) / time.Duration(count-2)
}

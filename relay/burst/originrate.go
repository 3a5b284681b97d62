package burst

import "time"

// paceSamples is the draws that the pace is measured over.
const rateSamples = 16

// pace measures how fast the fleet draws chunks from the origin.
type originRate struct {
	times  []time.Time   // when the newest draws became known, oldest first
	minGap time.Duration // least gap over paceSamples; 0 until measured
}

// note takes draws that became known together.
func (p *originRate) record(now time.Time, draws int) {
	for range min(draws, rateSamples) {
		p.times = append(p.times, now)
	}
	p.times = p.times[max(0, len(p.times)-rateSamples):]
	if gap := p.meanGap(); len(p.times) == rateSamples && (p.minGap == 0 || gap < p.minGap) {
		p.minGap = gap
	}
}

// steadyGap returns the gap without most of what stalled owners add to it.
func (p *originRate) cappedGap() time.Duration {
	gap := p.meanGap()
	if p.minGap > 0 {
		gap = min(gap, maxGapGrowth*p.minGap)
	}
	return gap
}

// gap returns the mean time between two draws; 0 until it was measured. The
// longest one is left out: an owner that stalls must not stretch the turns that
// end its stall.
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

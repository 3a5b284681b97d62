package burst

import "time"

// paceSamples is the draws that the pace is measured over.
const paceSamples = 16

// pace measures how fast the fleet draws chunks from the origin.
type pace struct {
	times []time.Time // when the newest draws became known, oldest first
}

// note takes draws that became known together.
func (p *pace) note(now time.Time, draws int) {
	for range min(draws, paceSamples) {
		p.times = append(p.times, now)
	}
	p.times = p.times[max(0, len(p.times)-paceSamples):]
}

// gap returns the mean time between two draws; 0 until it was measured. The
// longest one is left out: an owner that stalls must not stretch the turns that
// end its stall.
func (p *pace) gap() time.Duration {
	count := len(p.times)
	if count < minDrawWindow {
		return 0
	}
	var longest time.Duration
	for i := 1; i < count; i++ {
		longest = max(longest, p.times[i].Sub(p.times[i-1]))
	}
	return (p.times[count-1].Sub(p.times[0]) - longest) / time.Duration(count-2)
}

package route

import "time"

// historyLength is the number of changes kept; no report needs older ones.
const historyLength = 64

// inFlightHistory records the recent changes of the number of attempts in progress.
// A report arrives some time after it was made; correcting it takes the number at
// the time it was made, not at its arrival.
type inFlightHistory struct {
	samples [historyLength]inFlightChange
	next    int // index of the oldest sample, which is overwritten next
}

// inFlightChange is a new number of attempts in progress.
type inFlightChange struct {
	at       time.Time
	inFlight int // number from then on
}

func (h *inFlightHistory) add(now time.Time, inFlight int) {
	h.samples[h.next] = inFlightChange{now, inFlight}
	h.next = (h.next + 1) % historyLength
}

// at returns the number of attempts in progress at a time, or 0 for a time before
// the oldest sample.
func (h *inFlightHistory) at(when time.Time) int {
	for i := 1; i <= historyLength; i++ {
		sample := h.samples[(h.next+historyLength-i)%historyLength]
		if sample.at.IsZero() || !sample.at.After(when) {
			return sample.inFlight
		}
	}
	return 0
}

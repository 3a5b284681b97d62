package route

import "time"

// traceLength bounds the changes remembered; older ones matter to no report.
const historyLength = 64

// trace remembers how many attempts were in progress over the last moments. A
// report is as old as its way here: to correct it one needs to know what was
// in progress when it was made, not when it arrived.
type inFlightHistory struct {
	samples [historyLength]inFlightChange
	next    int // index of the oldest, which the next change replaces
}

type inFlightChange struct {
	at       time.Time
	inFlight int // from then on
}

func (t *inFlightHistory) add(now time.Time, inFlight int) {
	t.samples[t.next] = inFlightChange{now, inFlight}
	t.next = (t.next + 1) % historyLength
}

// at returns what was in progress at the time; what the trace no longer holds
// counts as none.
func (t *inFlightHistory) at(when time.Time) int {
	for back := 1; back <= historyLength; back++ {
		sample := t.samples[(t.next+historyLength-back)%historyLength]
		if sample.at.IsZero() || !sample.at.After(when) {
			return sample.inFlight
		}
	}
	return 0
}

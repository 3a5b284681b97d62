package route

import "time"

// traceLength bounds the changes remembered; older ones matter to no report.
const traceLength = 64

// trace remembers how many attempts were in progress over the last moments. A
// report is as old as its way here: to correct it one needs to know what was
// in progress when it was made, not when it arrived.
type trace struct {
	changes [traceLength]change
	next    int // index of the oldest, which the next change replaces
}

type change struct {
	at       time.Time
	inFlight int // from then on
}

func (t *trace) add(now time.Time, inFlight int) {
	t.changes[t.next] = change{now, inFlight}
	t.next = (t.next + 1) % traceLength
}

// at returns what was in progress at the time; what the trace no longer holds
// counts as none.
func (t *trace) at(when time.Time) int {
	for back := 1; back <= traceLength; back++ {
		each := t.changes[(t.next+traceLength-back)%traceLength]
		if each.at.IsZero() || !each.at.After(when) {
			return each.inFlight
		}
	}
	return 0
}

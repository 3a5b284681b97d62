package fleet

import "slices"

// Incarnation identifies one incarnation of an endpoint. An endpoint that restarts under its id has
// lost its state and does not know the requests that were sent to it before.
type Incarnation struct {
	ID   string `json:"endpoint"`
	Born int64  `json:"born,omitempty"` // start time; 0: unknown
}

// matches reports whether both values may name the same incarnation: an unknown start time matches
// any.
func (i Incarnation) matches(other Incarnation) bool {
	return i.ID == other.ID && (i.Born == other.Born || i.Born == 0 || other.Born == 0)
}

// maxPrevious bounds the start times kept of ended incarnations. Reports that arrive late concern
// only the last few.
const maxPrevious = 4

// incarnationTracker determines an endpoint's current incarnation from the start times that two
// sources report: the registration and the agent on its host. Either source may lag behind the
// other, and an old report may arrive late. Host clocks differ, so start times are compared only
// for equality. A start time that both sources report is the current one; otherwise the source that
// changed its report last wins, unless it names an incarnation that has ended before.
type incarnationTracker struct {
	current    int64 // 0: unknown
	registered int64
	observed   int64
	previous   []int64 // start times of ended incarnations, newest last
}

// register applies the start time in a registration and reports whether a new incarnation began.
func (t *incarnationTracker) register(born int64) bool { return t.update(&t.registered, born) }

// observe applies the start time that the agent reports and reports whether a new incarnation
// began.
func (t *incarnationTracker) observe(born int64) bool { return t.update(&t.observed, born) }

// update sets the start time known from one source and reports whether a new incarnation began.
func (t *incarnationTracker) update(source *int64, born int64) bool {
	if born == 0 || born == *source {
		return false
	}
	*source = born
	if born == t.current || t.registered != t.observed && slices.Contains(t.previous, born) {
		return false
	}
	before := t.current
	t.current = born
	if before == 0 {
		return false
	}
	t.previous = append(t.previous, before)
	t.previous = slices.Clone(t.previous[max(0, len(t.previous)-maxPrevious):])
	return true
}

// isCurrent reports whether a report with this start time concerns the current incarnation. A
// report without a start time is accepted.
func (t *incarnationTracker) isCurrent(born int64) bool {
	return born == 0 || t.current == 0 || born == t.current
}

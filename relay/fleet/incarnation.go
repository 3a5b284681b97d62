package fleet

import "slices"

// Incarnation names one incarnation of an endpoint: an endpoint that starts again under its id
// holds and knows nothing of what it was sent before.
type Incarnation struct {
	ID   string `json:"endpoint"`
	Born int64  `json:"born,omitempty"` // 0: unknown
}

// same reports whether two names may be of one incarnation: an unknown birth
// may be any.
func (i Incarnation) matches(other Incarnation) bool {
	return i.ID == other.ID && (i.Born == other.Born || i.Born == 0 || other.Born == 0)
}

// maxFormer bounds the births remembered of births that are over: reports that come
// late are of the last few.
const maxPrevious = 4

// births is what the two sources reported of an endpoint's births, the registration
// and the agent on its host. Either may lag behind the other, and an old report may
// come late. Hosts' clocks differ, so a birth says only that it is another:
// births that both sources report are believed; else the one that changed its report
// last, unless that is of an incarnation that was over before.
type incarnationTracker struct {
	current    int64 // 0: none is known
	registered int64
	observed   int64
	previous   []int64 // births that are over, newest last
}

// register takes the birth of a registration and reports whether another incarnation began.
func (t *incarnationTracker) register(born int64) bool { return t.update(&t.registered, born) }

// observe takes the birth that the agent reports and returns whether another incarnation began.
func (t *incarnationTracker) observe(born int64) bool { return t.update(&t.observed, born) }

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

// accepts reports whether a report about the incarnation is of the current one. A source that
// reports no births is believed.
func (t *incarnationTracker) isCurrent(born int64) bool {
	return born == 0 || t.current == 0 || born == t.current
}

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
func (l Incarnation) same(other Incarnation) bool {
	return l.ID == other.ID && (l.Born == other.Born || l.Born == 0 || other.Born == 0)
}

// maxFormer bounds the births remembered of births that are over: reports that come
// late are of the last few.
const maxFormer = 4

// births is what the two sources reported of an endpoint's births, the registration
// and the agent on its host. Either may lag behind the other, and an old report may
// come late. Hosts' clocks differ, so a birth says only that it is another:
// births that both sources report are believed; else the one that changed its report
// last, unless that is of an incarnation that was over before.
type births struct {
	current    int64 // 0: none is known
	registered int64
	observed   int64
	former     []int64 // births that are over, newest last
}

// register takes the birth of a registration and reports whether another incarnation began.
func (l *births) register(born int64) bool { return l.learn(&l.registered, born) }

// observe takes the birth that the agent reports and returns whether another incarnation began.
func (l *births) observe(born int64) bool { return l.learn(&l.observed, born) }

func (l *births) learn(source *int64, born int64) bool {
	if born == 0 || born == *source {
		return false
	}
	*source = born
	if born == l.current || l.registered != l.observed && slices.Contains(l.former, born) {
		return false
	}
	before := l.current
	l.current = born
	if before == 0 {
		return false
	}
	l.former = append(l.former, before)
	l.former = slices.Clone(l.former[max(0, len(l.former)-maxFormer):])
	return true
}

// accepts reports whether a report about the incarnation is of the current one. A source that
// reports no births is believed.
func (l *births) accepts(born int64) bool { return born == 0 || l.current == 0 || born == l.current }

package quarantine

import (
	"container/list"
	"slices"
	"time"
)

// record is what is known of one request under which an endpoint ended.
type record struct {
	print Fingerprint
	pairs []*pair // in the order in which they were learned; those that count are the last ones
	// weight is that of the pairs that count, kept as they change: requests are asked for far
	// more often than endpoints end.
	weight int
	good   moment // when a good answer was last reported; 0: none was
	// reported is when one was last reported to all, which entries that start later read too.
	reported moment
	// newest is when any pair was last reported.
	newest moment
	// place is where it stands in the ledger's list of its rank.
	place *list.Element
	rank  int
}

// ending is what is known of one end of an endpoint: the requests under it, a few dozen at most,
// since an endpoint has no more in progress.
type ending struct {
	end   End
	pairs []*pair
}

// pair is one end under one request.
type pair struct {
	rec      *record
	ending   *ending
	weight   int8
	counts   bool // it was not learned before the last good answer, nor shortly after it
	learned  moment
	reported moment // when it was learned, or reported again
}

// moment is a time since the ledger's start: a third of the room of a time.Time. The start itself
// is none, since nothing happened before.
type moment time.Duration

// before reports whether so much time has not passed between two moments.
func (m moment) before(other moment, passed time.Duration) bool {
	return time.Duration(other-m) < passed
}

// servedBefore reports whether a good answer came before the moment at which an end was learned, or
// so shortly after that the end does not count.
func (m moment) servedBefore(learned moment) bool { return m > 0 && m.before(learned, goodTime) }

// queued is a pair in the order of report.
type queued struct {
	pair *pair
	at   moment
}

// acquit notes a good answer: no end that is known counts any more.
func (r *record) acquit(now moment) {
	r.good, r.weight = now, 0
	for _, one := range slices.Backward(r.pairs) {
		if !one.counts {
			return
		}
		one.counts = false
	}
}

// of returns the pair of a request at this end; nil: it was not in progress there.
func (e *ending) of(rec *record) *pair {
	for _, one := range e.pairs {
		if one.rec == rec {
			return one
		}
	}
	return nil
}

// suspectedSince reports whether one further end would hold the request if it was last served at
// a time.
func (r *record) suspectedSince(good moment) bool {
	sum := 0
	for _, one := range slices.Backward(r.pairs) {
		if good.servedBefore(one.learned) {
			return false
		}
		if sum += int(one.weight); sum >= suspectedWeight {
			return true
		}
	}
	return false
}

package quarantine

import (
	"container/list"
	"slices"
	"time"
)

// record is what is known of one request under which an endpoint ended.
type requestRecord struct {
	fingerprint  Fingerprint
	observations []*observation // in the order in which they were learned; those that count are the last ones
	// weight is that of the pairs that count, kept as they change: requests are asked for far
	// more often than endpoints end.
	score      int
	lastServed timestamp // when a good answer was last reported; 0: none was
	// reported is when one was last reported to all, which entries that start later read too.
	servedReported timestamp
	// newest is when any pair was last reported.
	lastReported timestamp
	// place is where it stands in the ledger's list of its rank.
	rankElement *list.Element
	rank        int
}

// ending is what is known of one end of an endpoint: the requests under it, a few dozen at most,
// since an endpoint has no more in progress.
type endRecord struct {
	id           End
	observations []*observation
}

// pair is one end under one request.
type observation struct {
	rec           *requestRecord
	end           *endRecord
	score         int8
	counts        bool // it was not learned before the last good answer, nor shortly after it
	firstReported timestamp
	lastReported  timestamp // when it was learned, or reported again
}

// moment is a time since the ledger's start: a third of the room of a time.Time. The start itself
// is none, since nothing happened before.
type timestamp time.Duration

// before reports whether so much time has not passed between two moments.
func (t timestamp) isRecent(now timestamp, limit time.Duration) bool {
	return time.Duration(now-t) < limit
}

// servedBefore reports whether a good answer came before the moment at which an end was learned, or
// so shortly after that the end does not count.
func (t timestamp) discounts(at timestamp) bool { return t > 0 && t.isRecent(at, servedGrace) }

// queued is a pair in the order of report.
type queueEntry struct {
	obs *observation
	at  timestamp
}

// acquit notes a good answer: no end that is known counts any more.
func (r *requestRecord) markServed(now timestamp) {
	r.lastServed, r.score = now, 0
	for _, obs := range slices.Backward(r.observations) {
		if !obs.counts {
			return
		}
		obs.counts = false
	}
}

// of returns the pair of a request at this end; nil: it was not in progress there.
func (e *endRecord) find(rec *requestRecord) *observation {
	for _, obs := range e.observations {
		if obs.rec == rec {
			return obs
		}
	}
	return nil
}

// suspectedSince reports whether one further end would hold the request if it was last served at
// a time.
func (r *requestRecord) suspectedIfLastServed(lastServed timestamp) bool {
	score := 0
	for _, obs := range slices.Backward(r.observations) {
		if lastServed.discounts(obs.firstReported) {
			return false
		}
		if score += int(obs.score); score >= suspectedScore {
			return true
		}
	}
	return false
}

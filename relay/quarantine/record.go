package quarantine

import (
	"container/list"
	"slices"
	"time"
)

// requestRecord is the state of one request that was in progress at an end.
type requestRecord struct {
	fingerprint  Fingerprint
	observations []*observation // by first report, oldest first; those that count come last
	// score is the sum over the observations that count. It is updated as they change, because
	// requests are looked up far more often than endpoints end.
	score      int
	lastServed timestamp // when a successful answer was last recorded; 0: never
	// servedReported is when a successful answer was last reported to all entries. Entries that
	// start later read that report too.
	servedReported timestamp
	// lastReported is when any observation was last reported.
	lastReported timestamp
	// rankElement is the record's element in the ledger's list of its rank.
	rankElement *list.Element
	rank        int
}

// endRecord is the state of one end: the requests that were in progress there. They are a few dozen
// at most, since an endpoint runs no more at once.
type endRecord struct {
	id           End
	observations []*observation
}

// observation records that a request was in progress at an end.
type observation struct {
	rec           *requestRecord
	end           *endRecord
	score         int8
	counts        bool // first reported later than servedGrace after the last successful answer
	firstReported timestamp
	lastReported  timestamp
}

// timestamp is a time relative to Ledger.start, in a third of the size of a time.Time. Its zero
// value means never.
type timestamp time.Duration

// isRecent reports whether less than limit has passed from t until now.
func (t timestamp) isRecent(now timestamp, limit time.Duration) bool {
	return time.Duration(now-t) < limit
}

// discounts reports whether a successful answer at t makes an observation not count that was first
// reported at the given time: it was reported before the answer, or less than servedGrace after it.
func (t timestamp) discounts(at timestamp) bool { return t > 0 && t.isRecent(at, servedGrace) }

// queueEntry is a report of an observation, in the queue for expiry.
type queueEntry struct {
	obs *observation
	at  timestamp
}

// markServed records a successful answer: none of the observations so far counts any more.
func (r *requestRecord) markServed(now timestamp) {
	r.lastServed, r.score = now, 0
	for _, obs := range slices.Backward(r.observations) {
		if !obs.counts {
			return
		}
		obs.counts = false
	}
}

// find returns the observation of a request at this end, or nil.
func (e *endRecord) find(rec *requestRecord) *observation {
	for _, obs := range e.observations {
		if obs.rec == rec {
			return obs
		}
	}
	return nil
}

// suspectedIfLastServed reports whether one more end might cause the request to be held if its last
// successful answer had been at the given time.
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

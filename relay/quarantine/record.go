package quarantine

import (
	"container/list"
	"slices"
	"time"
)

// subject is the state of a request, or of a part of the prompts of several requests, that was in
// progress at an end.
type subject struct {
	fingerprint  Fingerprint
	isPart       bool
	observations []*observation // by first report, oldest first; those that count come last
	// score is the sum over the observations that count. It is updated as they change, because
	// requests are looked up far more often than endpoints end.
	score int
	// lastServed is when a request was last answered successfully, or an endpoint last kept running
	// with a part; 0: never.
	lastServed timestamp
	// proven tells that endpoints have kept running with a part, provenReported that all entries
	// were informed of it.
	proven, provenReported bool
	// servedReported is when a successful answer was last reported to all entries. Entries that
	// start later read that report too.
	servedReported timestamp
	// lastReported is when any observation was last reported.
	lastReported timestamp
	// rankElement is the record's element in the ledger's list of its rank.
	rankElement *list.Element
	rank        int
}

// endRecord is the state of one end: the subjects that were in progress there. They are a few dozen
// at most, since an endpoint runs no more requests at once.
type endRecord struct {
	id           End
	observations []*observation
}

// observation records that a subject was in progress at an end.
type observation struct {
	rec           *subject
	end           *endRecord
	score         int8
	counts        bool // not discounted by the last success
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

// discounts reports whether success at lastServed makes an observation not count that was first
// reported at the given time: it was reported before the success, or shortly after it.
func (s *subject) discounts(lastServed, at timestamp) bool {
	grace := servedGrace
	if s.isPart {
		grace = survivedGrace
	}
	return lastServed > 0 && lastServed.isRecent(at, grace)
}

// heldScore returns the score from which the subject can be held; proven tells whether endpoints have
// kept running with it.
func (s *subject) heldScore(proven bool) int {
	switch {
	case !s.isPart:
		return heldScore
	case proven:
		return heldProvenPartScore
	}
	return heldPartScore
}

// explains reports whether s is a likelier cause than other of an end at which both were in progress.
// A part with which endpoints kept running is in progress at many ends if it is frequent, so it is no
// likelier cause than one that never was.
func (s *subject) explains(other *subject) bool {
	switch {
	case s.proven && !other.proven:
		return false
	case s.isPart && !s.proven && other.proven && s.score >= heldPartScore:
		return true
	}
	return s.score > other.score
}

// queueEntry is a report of an observation, in the queue for expiry.
type queueEntry struct {
	obs *observation
	at  timestamp
}

// markServed records a success: none of the observations so far counts any more.
func (s *subject) markServed(now timestamp) {
	s.lastServed, s.score, s.proven = now, 0, s.isPart
	for _, obs := range slices.Backward(s.observations) {
		if !obs.counts {
			return
		}
		obs.counts = false
	}
}

// find returns the observation of a request at this end, or nil.
func (e *endRecord) find(rec *subject) *observation {
	for _, obs := range e.observations {
		if obs.rec == rec {
			return obs
		}
	}
	return nil
}

// suspectedByOthers reports whether an entry that knows only what was reported to all might hold the
// subject after one more end.
func (s *subject) suspectedByOthers() bool {
	score, limit := 0, s.heldScore(s.provenReported)-suspectScore
	for _, obs := range slices.Backward(s.observations) {
		if s.discounts(s.servedReported, obs.firstReported) {
			return false
		}
		if score += int(obs.score); score >= limit {
			return true
		}
	}
	return false
}

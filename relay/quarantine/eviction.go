package quarantine

import "slices"

const (
	// maxPairs bounds what is remembered, in requests at ends: a region of 900 engines with a
	// dozen requests each that ends at once, twice.
	maxObservations = 1 << 15
	// maxQueue bounds the queue, with former places of pairs that were reported again.
	maxQueueLength = maxObservations + maxObservations/2
	// sparePairs of them are kept free of requests that are held, or nothing could be learned of
	// further ones.
	reservedObservations = maxObservations / 16
	// rankPairs is how many pairs of each rank are kept though others of a higher rank come: what
	// ended two engines would otherwise keep out what ended its first.
	minObservationsPerRank = reservedObservations / (heldRank + 2)
	// pairsKept is how many ends of one request are remembered while there is no room: more only
	// explain what else was in progress there.
	keptObservationsPerRequest = 4 * maxScoredEnds
	// examined is how many requests are looked at for one that is not held before one that is
	// held is forgotten.
	evictionScanLimit = 8
)

// heldRank is the rank of requests that may be held.
const heldRank = heldScore

// sort puts a request in its rank; l.mu is held.
func (l *Ledger) updateRank(rec *requestRecord) {
	rank := min(rec.score, heldRank)
	if len(rec.observations) > keptObservationsPerRequest {
		rank = 0
	}
	if rank == rec.rank {
		return
	}
	l.observationsByRank[rec.rank] -= len(rec.observations)
	l.ranks[rec.rank].Remove(rec.rankElement)
	rec.rank = rank
	rec.rankElement = l.ranks[rank].PushBack(rec)
	l.observationsByRank[rank] += len(rec.observations)
}

// drop forgets one pair; l.mu is held.
func (l *Ledger) removeObservation(obs *observation) {
	rec, endRec := obs.rec, obs.end
	if rec.observations[0] == obs {
		// Ends are mostly forgotten in the order in which they were learned.
		rec.observations[0] = nil
		rec.observations = rec.observations[1:]
	} else {
		rec.observations = removeFrom(rec.observations, obs)
	}
	if obs.counts {
		rec.score -= int(obs.score)
	}
	l.observationsByRank[rec.rank]--
	l.updateRank(rec)
	if len(rec.observations) == 0 {
		l.ranks[rec.rank].Remove(rec.rankElement)
		delete(l.requests, rec.fingerprint)
	}
	endRec.observations = removeFrom(endRec.observations, obs)
	if len(endRec.observations) == 0 {
		delete(l.ends, endRec.id)
	}
	obs.rec = nil
	l.observationCount--
}

func removeFrom(observations []*observation, obs *observation) []*observation {
	return slices.DeleteFunc(observations, func(other *observation) bool { return other == obs })
}

// forgetOld drops what was reported too long ago; l.mu is held.
func (l *Ledger) dropExpired(now timestamp) {
	for len(l.queue) > 0 && !l.queue[0].at.isRecent(now, HoldTime) {
		oldest := l.queue[0]
		l.queue = l.queue[1:]
		if oldest.isLatest() {
			l.removeObservation(oldest.obs)
		}
	}
	if len(l.queue) > maxQueueLength {
		l.queue = slices.DeleteFunc(l.queue, func(entry queueEntry) bool { return !entry.isLatest() })
	}
}

// newest reports whether the pair is remembered and was not reported again since.
func (e queueEntry) isLatest() bool { return e.obs.rec != nil && e.obs.lastReported == e.at }

// makeRoom drops pairs that are beyond the bounds and returns the held requests that were
// forgotten; l.mu is held.
func (l *Ledger) evict() (forgotten []Fingerprint) {
	for l.observationsByRank[heldRank] > maxObservations-reservedObservations {
		rec := l.evictionCandidate(heldRank)
		if l.isHeld(rec) {
			l.forgotten++
			forgotten = append(forgotten, rec.fingerprint)
		}
		// What is left of one that is forgotten would stand in the way of new ones.
		for len(rec.observations) > 0 {
			l.removeObservation(rec.observations[0])
		}
	}
	for l.observationCount > maxObservations {
		rank := 0
		for l.observationsByRank[rank] <= minObservationsPerRank {
			rank++
		}
		l.removeObservation(l.evictionCandidate(rank).observations[0])
	}
	return forgotten
}

// leastOf returns the request of a rank that is forgotten first: the one reported longest ago, but
// for one that is held if another is near; l.mu is held.
func (l *Ledger) evictionCandidate(rank int) *requestRecord {
	oldest := l.ranks[rank].Front()
	elem := oldest
	for range evictionScanLimit {
		if rec := elem.Value.(*requestRecord); !l.isHeld(rec) {
			return rec
		}
		if elem = elem.Next(); elem == nil {
			break
		}
	}
	return oldest.Value.(*requestRecord)
}

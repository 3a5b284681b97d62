package quarantine

import "slices"

const (
	// maxObservations limits the observations that are remembered. It has room for a region of
	// 900 endpoints with a dozen requests each that ends at once, twice.
	maxObservations = 1 << 15
	// maxQueueLength limits the queue, including outdated entries of observations that were
	// reported again.
	maxQueueLength = maxObservations + maxObservations/2
	// reservedObservations is the part of maxObservations that requests of heldRank cannot use;
	// otherwise nothing could be recorded of further requests.
	reservedObservations = maxObservations / 16
	// minObservationsPerRank is how many observations each rank keeps even if higher ranks need
	// room; otherwise requests with two ends would keep out those with their first.
	minObservationsPerRank = reservedObservations / (heldRank + 2)
	// keptObservationsPerRequest is the number of observations above which a request moves to
	// rank 0, whose observations are evicted first. Further ends of a request only explain the
	// ends of others.
	keptObservationsPerRequest = 4 * maxScoredEnds
	// evictionScanLimit is how many requests of a rank are checked for one that is not held
	// before a held one is evicted.
	evictionScanLimit = 8
)

// heldRank is the rank of requests whose score allows them to be held.
const heldRank = heldScore

// updateRank moves a request to the rank of its score. l.mu must be locked.
func (l *Ledger) updateRank(rec *subject) {
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

// removeObservation removes an observation, and the records of its request and its end if it was
// their last one. l.mu must be locked.
func (l *Ledger) removeObservation(obs *observation) {
	rec, endRec := obs.rec, obs.end
	if rec.observations[0] == obs {
		// Observations are mostly removed in the order in which they were first reported.
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
		delete(l.subjects, rec.fingerprint)
	}
	endRec.observations = removeFrom(endRec.observations, obs)
	if len(endRec.observations) == 0 {
		delete(l.ends, endRec.id)
	}
	obs.rec = nil
	l.observationCount--
}

// removeFrom deletes an observation from a slice in place.
func removeFrom(observations []*observation, obs *observation) []*observation {
	return slices.DeleteFunc(observations, func(other *observation) bool { return other == obs })
}

// dropExpired removes the observations that were last reported HoldTime ago or earlier, and compacts
// the queue if it is too long. l.mu must be locked.
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

// isLatest reports whether the observation still exists and was not reported again since.
func (e queueEntry) isLatest() bool { return e.obs.rec != nil && e.obs.lastReported == e.at }

// evict removes observations until the limits are met, and returns the held requests that were
// evicted. l.mu must be locked.
func (l *Ledger) evict() (forgotten []Fingerprint) {
	for l.observationsByRank[heldRank] > maxObservations-reservedObservations {
		rec := l.evictionCandidate(heldRank)
		if l.isHeld(rec) {
			l.forgotten++
			forgotten = append(forgotten, rec.fingerprint)
		}
		// Remaining observations of an evicted request would only take room from new requests.
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

// evictionCandidate returns the request of a rank to evict next: the one that was reported longest
// ago among the first evictionScanLimit that are not held, or the very first if all of those are
// held. l.mu must be locked.
func (l *Ledger) evictionCandidate(rank int) *subject {
	oldest := l.ranks[rank].Front()
	elem := oldest
	for range evictionScanLimit {
		if rec := elem.Value.(*subject); !l.isHeld(rec) {
			return rec
		}
		if elem = elem.Next(); elem == nil {
			break
		}
	}
	return oldest.Value.(*subject)
}

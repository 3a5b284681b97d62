package quarantine

import "slices"

const (
	// maxPairs bounds what is remembered, in requests at ends: a region of 900 engines with a
	// dozen requests each that ends at once, twice.
	maxPairs = 1 << 15
	// maxQueue bounds the queue, with former places of pairs that were reported again.
	maxQueue = maxPairs + maxPairs/2
	// sparePairs of them are kept free of requests that are held, or nothing could be learned of
	// further ones.
	sparePairs = maxPairs / 16
	// rankPairs is how many pairs of each rank are kept though others of a higher rank come: what
	// ended two engines would otherwise keep out what ended its first.
	rankPairs = sparePairs / (heldRank + 2)
	// pairsKept is how many ends of one request are remembered while there is no room: more only
	// explain what else was in progress there.
	pairsKept = 4 * lookedEnds
	// examined is how many requests are looked at for one that is not held before one that is
	// held is forgotten.
	examined = 8
)

// heldRank is the rank of requests that may be held.
const heldRank = heldWeight

// sort puts a request in its rank; l.mu is held.
func (l *Ledger) sort(rec *record) {
	rank := min(rec.weight, heldRank)
	if len(rec.pairs) > pairsKept {
		rank = 0
	}
	if rank == rec.rank {
		return
	}
	l.pairsOf[rec.rank] -= len(rec.pairs)
	l.ranks[rec.rank].Remove(rec.place)
	rec.rank = rank
	rec.place = l.ranks[rank].PushBack(rec)
	l.pairsOf[rank] += len(rec.pairs)
}

// drop forgets one pair; l.mu is held.
func (l *Ledger) drop(one *pair) {
	rec, at := one.rec, one.ending
	if rec.pairs[0] == one {
		// Ends are mostly forgotten in the order in which they were learned.
		rec.pairs[0] = nil
		rec.pairs = rec.pairs[1:]
	} else {
		rec.pairs = without(rec.pairs, one)
	}
	if one.counts {
		rec.weight -= int(one.weight)
	}
	l.pairsOf[rec.rank]--
	l.sort(rec)
	if len(rec.pairs) == 0 {
		l.ranks[rec.rank].Remove(rec.place)
		delete(l.known, rec.print)
	}
	at.pairs = without(at.pairs, one)
	if len(at.pairs) == 0 {
		delete(l.ended, at.end)
	}
	one.rec = nil
	l.pairs--
}

func without(pairs []*pair, one *pair) []*pair {
	return slices.DeleteFunc(pairs, func(other *pair) bool { return other == one })
}

// forgetOld drops what was reported too long ago; l.mu is held.
func (l *Ledger) forgetOld(now moment) {
	for len(l.queue) > 0 && !l.queue[0].at.before(now, HoldTime) {
		oldest := l.queue[0]
		l.queue = l.queue[1:]
		if oldest.newest() {
			l.drop(oldest.pair)
		}
	}
	if len(l.queue) > maxQueue {
		l.queue = slices.DeleteFunc(l.queue, func(one queued) bool { return !one.newest() })
	}
}

// newest reports whether the pair is remembered and was not reported again since.
func (t queued) newest() bool { return t.pair.rec != nil && t.pair.reported == t.at }

// makeRoom drops pairs that are beyond the bounds and returns the held requests that were
// forgotten; l.mu is held.
func (l *Ledger) makeRoom() (forgotten []Fingerprint) {
	for l.pairsOf[heldRank] > maxPairs-sparePairs {
		rec := l.leastOf(heldRank)
		if l.holds(rec) {
			l.forgotten++
			forgotten = append(forgotten, rec.print)
		}
		// What is left of one that is forgotten would stand in the way of new ones.
		for len(rec.pairs) > 0 {
			l.drop(rec.pairs[0])
		}
	}
	for l.pairs > maxPairs {
		rank := 0
		for l.pairsOf[rank] <= rankPairs {
			rank++
		}
		l.drop(l.leastOf(rank).pairs[0])
	}
	return forgotten
}

// leastOf returns the request of a rank that is forgotten first: the one reported longest ago, but
// for one that is held if another is near; l.mu is held.
func (l *Ledger) leastOf(rank int) *record {
	oldest := l.ranks[rank].Front()
	at := oldest
	for range examined {
		if rec := at.Value.(*record); !l.holds(rec) {
			return rec
		}
		if at = at.Next(); at == nil {
			break
		}
	}
	return oldest.Value.(*record)
}

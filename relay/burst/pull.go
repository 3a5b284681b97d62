package burst

import (
	"time"

	"github.com/bits-and-blooms/bitset"
)

// pull requests chunks from neighbours until MaxFetches requests are in progress.
func (c *Core) pull(now time.Time) {
	for len(c.requests) < c.cfg.MaxFetches {
		chunk, source := c.choosePull(now)
		if source == nil {
			break
		}
		c.fetch(now, chunk, source)
	}
	c.duplicateSlowRequests(now)
}

// choosePull returns the rarest chunk that a neighbour with spare request capacity offers, and the
// neighbour expected to deliver it soonest.
func (c *Core) choosePull(now time.Time) (int, *peerState) {
	offered := newChunkSet(c.cfg.Chunks)
	for _, pst := range c.neighbours {
		if !pst.usable(now) || pst.inFlight >= maxFetchesPerPeer {
			continue
		}
		if c.isCostly(pst) {
			offered.InPlaceUnion(pst.held.Intersection(c.imports.allowed))
		} else {
			offered.InPlaceUnion(pst.held)
		}
	}
	offered.InPlaceDifference(c.held)
	chunk := c.rarest(offered)
	if chunk < 0 {
		return 0, nil
	}
	return chunk, c.fastestSource(now, chunk, nil)
}

// rarest returns a chunk of the set with the fewest holders, or -1 if all are in progress. Ties
// are broken at random so that hosts in the same state request different chunks.
func (c *Core) rarest(set *bitset.BitSet) int {
	best, ties := -1, 0
	for i, ok := set.NextSet(0); ok; i, ok = set.NextSet(i + 1) {
		chunk := int(i)
		if c.inFlight[chunk] > 0 {
			continue
		}
		switch {
		case best < 0 || c.holders[chunk] < c.holders[best]:
			best, ties = chunk, 1
		case c.holders[chunk] == c.holders[best]:
			ties++
			if c.rng.IntN(ties) == 0 {
				best = chunk
			}
		}
	}
	return best
}

// fastestSource returns the usable neighbour, other than except, that holds the chunk and is
// expected to deliver it first; nil if there is none.
func (c *Core) fastestSource(now time.Time, chunk int, except *peerState) *peerState {
	var best *peerState
	var least float64
	for _, pst := range c.neighbours {
		if pst == except || !pst.usable(now) || pst.inFlight >= maxFetchesPerPeer || !pst.held.Test(uint(chunk)) ||
			c.isCostly(pst) && !c.mayImport(chunk) {
			continue
		}
		if cost := c.estimateCost(pst); best == nil || cost < least {
			best, least = pst, cost
		}
	}
	return best
}

// estimateCost estimates how long a peer needs to deliver one more chunk, in chunk times.
func (c *Core) estimateCost(pst *peerState) float64 {
	cost := 1 + float64(pst.inFlight) + float64(pst.queue)
	if pst.fetchTime > 0 && c.fetchTime > 0 {
		cost *= max(0.5, float64(pst.fetchTime)/float64(c.fetchTime))
	}
	switch {
	case pst.peer.FailureDomain == c.cfg.Self.FailureDomain:
	case pst.peer.Region == c.cfg.Self.Region:
		cost *= 1.05
	default:
		cost *= 1.1
	}
	return cost * (1 + 0.2*c.rng.Float64())
}

// duplicateSlowRequests requests long-pending chunks from a second source near the end of the
// transfer, where one slow source would otherwise delay completion.
func (c *Core) duplicateSlowRequests(now time.Time) {
	missing := c.cfg.Chunks - c.Held()
	if missing > len(c.requests) || c.fetchTime == 0 {
		return
	}
	duplicates := len(c.requests) - missing
	for _, req := range c.requests {
		if duplicates >= maxDuplicates || len(c.requests) >= c.cfg.MaxFetches {
			return
		}
		if c.inFlight[req.chunk] > 1 || now.Sub(req.started) < 2*c.fetchTime {
			continue
		}
		if source := c.fastestSource(now, req.chunk, req.source); source != nil {
			c.fetch(now, req.chunk, source)
			duplicates++
		}
	}
}

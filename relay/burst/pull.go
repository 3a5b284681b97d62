package burst

import (
	"time"

	"github.com/bits-and-blooms/bitset"
)

// pull requests chunks from neighbours until enough are on their way.
func (c *Core) pull(now time.Time) {
	for len(c.flights) < c.cfg.MaxFetches {
		chunk, source := c.choose(now)
		if source == nil {
			break
		}
		c.fetch(now, chunk, source)
	}
	c.duplicate(now)
}

// choose returns the rarest chunk that a neighbour with room offers, and the
// neighbour that should deliver it soonest.
func (c *Core) choose(now time.Time) (int, *peerState) {
	offered := newChunkSet(c.cfg.Chunks)
	for _, pst := range c.neighbours {
		if !pst.usable(now) || pst.inFlight >= perPeerFetches {
			continue
		}
		if c.far(pst) {
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
	return chunk, c.soonest(now, chunk, nil)
}

// rarest returns a chunk of the set with the fewest holders, at random among
// equals so that hosts in the same state ask for different ones; -1 where all
// are in flight.
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

// soonest returns the usable neighbour other than except that holds the chunk
// and should deliver it first; nil where there is none.
func (c *Core) soonest(now time.Time, chunk int, except *peerState) *peerState {
	var best *peerState
	var least float64
	for _, pst := range c.neighbours {
		if pst == except || !pst.usable(now) || pst.inFlight >= perPeerFetches || !pst.held.Test(uint(chunk)) ||
			c.far(pst) && !c.mayImport(chunk) {
			continue
		}
		if cost := c.cost(pst); best == nil || cost < least {
			best, least = pst, cost
		}
	}
	return best
}

// cost estimates how long a peer needs for one more chunk, in chunk times.
func (c *Core) cost(pst *peerState) float64 {
	cost := 1 + float64(pst.inFlight) + float64(pst.queue)
	if pst.serve > 0 && c.fetchTime > 0 {
		cost *= max(0.5, float64(pst.serve)/float64(c.fetchTime))
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

// duplicate asks a second source for a chunk that is long on its way, near the
// end only: one slow source would hold the host up otherwise.
func (c *Core) duplicate(now time.Time) {
	missing := c.cfg.Chunks - c.Held()
	if missing > len(c.flights) || c.fetchTime == 0 {
		return
	}
	duplicates := len(c.flights) - missing
	for _, flt := range c.flights {
		if duplicates >= maxDuplicates || len(c.flights) >= c.cfg.MaxFetches {
			return
		}
		if c.inFlight[flt.chunk] > 1 || now.Sub(flt.started) < 2*c.fetchTime {
			continue
		}
		if source := c.soonest(now, flt.chunk, flt.source); source != nil {
			c.fetch(now, flt.chunk, source)
			duplicates++
		}
	}
}

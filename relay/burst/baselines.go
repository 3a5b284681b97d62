package burst

import (
	"cmp"
	"slices"
	"time"

	"comfreyrelay.example/relay/rendezvous"
)

// fetchAllFromOrigin implements OriginOnly: it requests every missing chunk from the origin.
func (c *Core) fetchAllFromOrigin(now time.Time) {
	for chunk, ok := c.held.NextClear(0); ok; chunk, ok = c.held.NextClear(chunk + 1) {
		if len(c.requests) >= maxOriginFetches || now.Before(c.originRetryAt) {
			return
		}
		if c.inFlight[chunk] == 0 {
			c.fetch(now, int(chunk), nil)
		}
	}
}

// findParent returns this host's parent in the Tree strategy, or nil for the root.
func (c *Core) findParent() *peerState {
	if c.cfg.Strategy != Tree {
		return nil
	}
	ranked := append(slices.Clone(c.sortedPeers), nil)
	score := func(pst *peerState) uint64 {
		if pst == nil {
			return rendezvous.Score(c.versionSeed, c.selfSeed)
		}
		return rendezvous.Score(c.versionSeed, pst.seed)
	}
	slices.SortFunc(ranked, func(left, right *peerState) int { return cmp.Compare(score(right), score(left)) })
	place := slices.Index(ranked, nil)
	if place == 0 {
		return nil
	}
	return ranked[(place-1)/treeFanOut]
}

// pullFromParent implements Tree: the root fetches from the origin, every other host from its
// parent.
func (c *Core) pullFromParent(now time.Time) {
	if c.parent == nil {
		c.fetchAllFromOrigin(now)
		return
	}
	if c.parent.held == nil && !c.parent.neighbour {
		c.setNeighbour(c.parent, true)
	}
	for chunk, ok := c.held.NextClear(0); ok; chunk, ok = c.held.NextClear(chunk + 1) {
		if len(c.requests) >= c.cfg.MaxFetches || !c.parent.usable(now) {
			return
		}
		if c.inFlight[chunk] == 0 && c.parent.held.Test(chunk) {
			c.fetch(now, int(chunk), c.parent)
		}
	}
}

// pullAtRandom implements Random: it treats the origin as a neighbour that holds every chunk.
func (c *Core) pullAtRandom(now time.Time) {
	for len(c.requests) < c.cfg.MaxFetches {
		var sources []*peerState
		for _, pst := range c.neighbours {
			if pst.usable(now) && pst.inFlight < maxFetchesPerPeer {
				sources = append(sources, pst)
			}
		}
		if !now.Before(c.originRetryAt) && c.originFetchesInFlight() == 0 {
			sources = append(sources, nil)
		}
		if !c.fetchRandom(now, sources) {
			return
		}
	}
}

// fetchRandom requests a random missing chunk from a random source and reports whether one was
// available.
func (c *Core) fetchRandom(now time.Time, sources []*peerState) bool {
	c.rng.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	for _, source := range sources {
		var wanted []int
		for chunk, ok := c.held.NextClear(0); ok; chunk, ok = c.held.NextClear(chunk + 1) {
			if c.inFlight[chunk] == 0 && (source == nil || source.held.Test(chunk)) {
				wanted = append(wanted, int(chunk))
			}
		}
		if len(wanted) > 0 {
			c.fetch(now, wanted[c.rng.IntN(len(wanted))], source)
			return true
		}
	}
	return false
}

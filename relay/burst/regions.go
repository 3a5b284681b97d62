package burst

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"comfreyrelay.example/relay/rendezvous"
)

const (
	// regionNear and regionFar are the neighbours within the own region and in
	// others where bytes between regions are dear: most chunks come from near,
	// and a few neighbours elsewhere are enough to fetch one copy.
	sameRegionNeighbours  = 6
	otherRegionNeighbours = 4
	// regionNews is the time between exchanges with a neighbour while there is
	// news: with few neighbours, each is the only way to what it holds.
	regionUpdateInterval = 300 * time.Millisecond
	// importTurn is how long the next host of a region waits at least until it
	// fetches a chunk from another region in place of the host before it in
	// rank, and importFetches the same in measured fetch times: one slow host
	// must not stop a region, and a busy one must not be overtaken.
	minImportRankTimeout = 900 * time.Millisecond
	importRankFetchTimes = 6
	// importScan is how often the chunks that may come from other regions are
	// looked at.
	importScanInterval = 25 * time.Millisecond
)

// imports knows which chunks this host may fetch from other regions. Each chunk
// has one host a region that does, by rendezvous hash; the others get it from
// there. So a region takes in one copy however many hosts it has.
type importState struct {
	allowed      *bitset.BitSet
	nextScan     time.Time // no look before
	firstOffered []time.Time
	ranks        []int // of this host for each chunk; nil: to be computed
}

func newImports(chunks int) *importState {
	return &importState{allowed: newChunkSet(chunks), firstOffered: make([]time.Time, chunks)}
}

// far reports whether bytes from the peer are dear.
func (c *Core) isCostly(pst *peerState) bool {
	return c.cfg.DearRegions && pst.peer.Region != c.cfg.Self.Region
}

// mayImport reports whether a chunk may come from another region by now.
func (c *Core) mayImport(chunk int) bool { return c.imports.allowed.Test(uint(chunk)) }

// scanImports looks which chunks that other regions hold are this host's turn.
func (c *Core) updateAllowedImports(now time.Time) {
	if !c.cfg.DearRegions || now.Before(c.imports.nextScan) {
		return
	}
	c.imports.nextScan = now.Add(importScanInterval)
	c.imports.allowed.ClearAll()
	for _, pst := range c.neighbours {
		if pst.held == nil || !c.isCostly(pst) {
			continue
		}
		for i, ok := pst.held.NextSet(0); ok; i, ok = pst.held.NextSet(i + 1) {
			c.updateAllowedImport(now, int(i))
		}
	}
}

func (c *Core) updateAllowedImport(now time.Time, chunk int) {
	if c.held.Test(uint(chunk)) || c.offeredInRegion(chunk) {
		return
	}
	if c.imports.firstOffered[chunk].IsZero() {
		c.imports.firstOffered[chunk] = now
	}
	if now.Sub(c.imports.firstOffered[chunk]) >= time.Duration(c.importRank(now, chunk))*max(minImportRankTimeout, importRankFetchTimes*c.fetchTime) {
		c.imports.allowed.Set(uint(chunk))
	}
}

// pullImports requests the chunks that this host takes into its region.
func (c *Core) pullImports(now time.Time) {
	if !c.cfg.DearRegions {
		return
	}
	wanted := c.imports.allowed.Difference(c.held)
	for i, ok := wanted.NextSet(0); ok && len(c.requests) < c.cfg.MaxFetches; i, ok = wanted.NextSet(i + 1) {
		chunk := int(i)
		if c.inFlight[chunk] > 0 {
			continue
		}
		if source := c.fastestSource(now, chunk, nil); source != nil {
			c.fetch(now, chunk, source)
		}
	}
}

// offeredInRegion reports whether a neighbour of the own region holds the chunk.
func (c *Core) offeredInRegion(chunk int) bool {
	for _, pst := range c.neighbours {
		if !c.isCostly(pst) && pst.held != nil && pst.held.Test(uint(chunk)) {
			return true
		}
	}
	return false
}

// importRank returns this host's rank in its region for a chunk.
func (c *Core) importRank(now time.Time, chunk int) int {
	if c.imports.ranks == nil {
		c.imports.ranks = c.importRanks(now)
	}
	return c.imports.ranks[chunk]
}

// importRanks returns this host's rank in its region for each chunk, among those that
// the list of peers names: hosts that leave go on calling others and take in nothing.
func (c *Core) importRanks(now time.Time) []int {
	var seeds []uint64
	for _, pst := range c.sortedPeers {
		if pst.listed && !pst.absent(now) && pst.peer.Region == c.cfg.Self.Region {
			seeds = append(seeds, pst.seed)
		}
	}
	ranks := make([]int, c.cfg.Chunks)
	for chunk := range ranks {
		key := c.importKey(chunk)
		own := rendezvous.Score(key, c.selfSeed)
		for _, seed := range seeds {
			if rendezvous.Score(key, seed) > own {
				ranks[chunk]++
			}
		}
	}
	return ranks
}

// notifyImporters notifies the hosts that take a chunk into the other regions that this host,
// which drew it, holds it now. They are neighbours of it by chance alone, and would learn of the
// chunk over others, each after the time between two exchanges, which is long against the
// chunk's way.
func (c *Core) notifyImporters(now time.Time, chunk int) {
	if !c.cfg.DearRegions {
		return
	}
	first := map[string]*peerState{}
	key := c.importKey(chunk)
	for _, pst := range c.sortedPeers {
		region := pst.peer.Region
		if !pst.listed || pst.absent(now) || !c.isCostly(pst) {
			continue
		}
		if best := first[region]; best == nil || rendezvous.Score(key, pst.seed) > rendezvous.Score(key, best.seed) {
			first[region] = pst
		}
	}
	for _, pst := range c.sortedPeers {
		if first[pst.peer.Region] == pst && !pst.exchanging {
			c.exchangeWith(pst)
		}
	}
}

// importKey is what the hosts of a region are ranked for by their right to take in a chunk.
func (c *Core) importKey(chunk int) uint64 { return c.versionSeed ^ rendezvous.Mix(uint64(chunk)) }

// chooseByRegion picks neighbours in the own region first.
func (c *Core) chooseByRegion(ranked []scoredPeer) {
	near, far := sameRegionNeighbours, otherRegionNeighbours
	for _, entry := range slices.Clone(ranked) {
		if near > 0 && !c.isCostly(entry.pst) {
			near--
			entry.pst.chosen = true
		} else if far > 0 && c.isCostly(entry.pst) {
			far--
			entry.pst.chosen = true
		}
	}
}

package burst

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"comfreyrelay.example/relay/rendezvous"
)

const (
	// Under LimitCrossRegionTraffic, a host has sameRegionNeighbours in its own region, which supply
	// most chunks, and otherRegionNeighbours elsewhere, which are enough to import one copy.
	sameRegionNeighbours  = 6
	otherRegionNeighbours = 4
	// regionUpdateInterval replaces updateInterval under LimitCrossRegionTraffic: with few
	// neighbours, each is the only path to the chunks it holds.
	regionUpdateInterval = 300 * time.Millisecond
	// A host waits for each host of its region that ranks before it until it imports a chunk: at
	// least minImportRankTimeout, and at least importRankFetchTimes measured fetch durations. One
	// slow host must not block a region, and a busy one must not be overtaken.
	minImportRankTimeout = 900 * time.Millisecond
	importRankFetchTimes = 6
	// importScanInterval is the time between scans for chunks that may be imported.
	importScanInterval = 25 * time.Millisecond
)

// importState tracks the chunks that this host may import, that is, fetch from other regions. In
// each region, rendezvous hashing selects one host per chunk to import it; the others fetch it
// from that host. A region thus imports one copy, however many hosts it has.
type importState struct {
	allowed      *bitset.BitSet
	nextScan     time.Time // no scan before this time
	firstOffered []time.Time
	ranks        []int // per chunk: rank of this host; nil until computed
}

func newImports(chunks int) *importState {
	return &importState{allowed: newChunkSet(chunks), firstOffered: make([]time.Time, chunks)}
}

// isCostly reports whether traffic from the peer crosses regions under LimitCrossRegionTraffic.
func (c *Core) isCostly(pst *peerState) bool {
	return c.cfg.LimitCrossRegionTraffic && pst.peer.Region != c.cfg.Self.Region
}

// mayImport reports whether this host may now fetch the chunk from another region.
func (c *Core) mayImport(chunk int) bool { return c.imports.allowed.Test(uint(chunk)) }

// updateAllowedImports determines which chunks held in other regions this host may import now.
func (c *Core) updateAllowedImports(now time.Time) {
	if !c.cfg.LimitCrossRegionTraffic || now.Before(c.imports.nextScan) {
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

// pullImports requests the chunks that this host imports into its region.
func (c *Core) pullImports(now time.Time) {
	if !c.cfg.LimitCrossRegionTraffic {
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

// offeredInRegion reports whether a neighbour in this host's region holds the chunk.
func (c *Core) offeredInRegion(chunk int) bool {
	for _, pst := range c.neighbours {
		if !c.isCostly(pst) && pst.held != nil && pst.held.Test(uint(chunk)) {
			return true
		}
	}
	return false
}

// importRank returns this host's rank among the importers of a chunk in its region.
func (c *Core) importRank(now time.Time, chunk int) int {
	if c.imports.ranks == nil {
		c.imports.ranks = c.importRanks(now)
	}
	return c.imports.ranks[chunk]
}

// importRanks returns this host's rank in its region for each chunk. Only hosts in the list of
// peers count: hosts that are leaving still send reports but import nothing.
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

// notifyImporters sends a report to the importer of a chunk in each other region after this host
// fetched the chunk from the origin. Importers are its neighbours only by chance. Otherwise they
// would learn of the chunk through other hosts, each adding an exchange interval, which is long
// compared to the chunk's transfer time.
func (c *Core) notifyImporters(now time.Time, chunk int) {
	if !c.cfg.LimitCrossRegionTraffic {
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

// importKey returns the key for which the hosts of a region are ranked as importers of a chunk.
func (c *Core) importKey(chunk int) uint64 { return c.versionSeed ^ rendezvous.Mix(uint64(chunk)) }

// chooseByRegion picks neighbours in this host's region and a few in others.
func (c *Core) chooseByRegion(ranked []scoredPeer) {
	remainingSameRegion, remainingOther := sameRegionNeighbours, otherRegionNeighbours
	for _, entry := range slices.Clone(ranked) {
		if remainingSameRegion > 0 && !c.isCostly(entry.pst) {
			remainingSameRegion--
			entry.pst.chosen = true
		} else if remainingOther > 0 && c.isCostly(entry.pst) {
			remainingOther--
			entry.pst.chosen = true
		}
	}
}

package burst

import (
	"slices"
	"time"

	"comfreyrelay.example/relay/rendezvous"
)

// fetchDueChunks requests from the origin the due chunks that this host should fetch. The first
// originWindow chunks that no host is known to have fetched are due; a host fetches those for
// which it is the first owner. A lower-ranked owner waits one rank timeout for each owner before
// it and then queries them: it fetches only if each of them is unreachable, or neither holds nor
// fetches the chunk. Where the policy allows more copies, as many owners may also take over from
// one that is still fetching after takeoverRankTimeouts.
//
// Hence, among hosts that can reach each other, at most maxOriginWindow chunks are requested from
// the origin at once, each by at most copiesAllowed hosts. A chunk is fetched at most
// copiesAllowed times, plus once for each fetch that failed or whose host delivers the chunk to no
// other host, and by at most maxOwnerRanks hosts, however many hosts fail.
func (c *Core) fetchDueChunks(now time.Time) {
	if now.Before(c.nextOriginScan) || !c.readyForOrigin(now) {
		return
	}
	c.nextOriginScan = now.Add(originScanInterval)
	c.intendedFetches.ClearAll()
	due := 0
	for chunk, ok := c.originFetched.NextClear(0); ok && due < ownerQueryWindow; chunk, ok = c.originFetched.NextClear(chunk + 1) {
		due++
		c.queryOwner(now, int(chunk))
		if due <= c.originWindow() {
			c.fetchIfOwner(now, int(chunk))
		}
	}
	if now.Before(c.nextLostScan) {
		return
	}
	c.nextLostScan = now.Add(lostScanInterval)
	for chunk := range c.dueSince {
		if c.originFetched.Test(uint(chunk)) && (c.held.Test(uint(chunk)) || c.offeredByNeighbour(chunk)) {
			delete(c.dueSince, chunk)
		}
	}
	c.findLost(now)
}

// originWindow returns the number of chunks that the fleet fetches from the origin concurrently.
// It starts small, so that the first chunks arrive and spread early. It grows later, when owners
// have less of their link capacity left and one stalled owner should not matter.
func (c *Core) originWindow() int {
	if c.cfg.OriginWindow > 0 {
		return c.cfg.OriginWindow
	}
	return min(minOriginWindow+int(c.originFetched.Count())/originWindowStep, maxOriginWindow)
}

// readyForOrigin reports whether enough peers have reported to start fetching from the origin. A
// host that just started knows few peers and would consider itself the owner of every chunk, the
// more so the fewer it knows. It first waits for half of its chosen neighbours to answer, or for
// maxStartupWait.
func (c *Core) readyForOrigin(now time.Time) bool {
	if c.firstListedAt.IsZero() {
		return false
	}
	answered, chosen := 0, 0
	for _, pst := range c.neighbours {
		if pst.chosen {
			chosen++
		}
		if pst.chosen && pst.held != nil {
			answered++
		}
	}
	if chosen > 0 && 2*answered >= chosen {
		return true
	}
	return now.Sub(c.firstListedAt) >= maxStartupWait
}

// findLost fetches chunks again that some host fetched from the origin but whose holders may be
// gone.
func (c *Core) findLost(now time.Time) {
	for chunk, ok := c.held.NextClear(0); ok; chunk, ok = c.held.NextClear(chunk + 1) {
		if c.originFetched.Test(chunk) && c.inFlight[chunk] == 0 && !c.offeredByNeighbour(int(chunk)) {
			c.fetchIfOwner(now, int(chunk))
		}
	}
}

// offeredByNeighbour reports whether a neighbour that delivers holds the chunk.
func (c *Core) offeredByNeighbour(chunk int) bool {
	if c.holders[chunk] > maxCheckedHolders {
		return true
	}
	for _, pst := range c.neighbours {
		if pst.timeouts == 0 && pst.held != nil && pst.held.Test(uint(chunk)) {
			return true
		}
	}
	return false
}

func (c *Core) fetchIfOwner(now time.Time, chunk int) {
	if c.held.Test(uint(chunk)) || c.inFlight[chunk] > 0 {
		return
	}
	since, ok := c.dueSince[chunk]
	if !ok {
		since = now
		c.dueSince[chunk] = now
	}
	if c.shouldFetchFromOrigin(now, chunk, c.ownerDelay(now, since)) {
		c.fetchFromOrigin(now, chunk)
	}
}

// ownerDelay returns how long the owners of a chunk, due since the given time, have delayed it.
// Most of the time in which the origin answers neither this host nor, as far as known, any other
// is subtracted: the owners are not at fault, and counting it would let all ranks fetch together
// once the origin is back. A part still counts, because failures here and silence elsewhere may
// have other causes.
func (c *Core) ownerDelay(now, since time.Time) time.Duration {
	waited := now.Sub(since)
	if stall := c.originStall(now, since); stall > 0 && c.originFailures > 0 {
		waited -= stall * (stallDivisor - 1) / stallDivisor
	}
	return waited
}

// originStall returns how much longer than a rank timeout no chunk is known to have left the
// origin.
func (c *Core) originStall(now, since time.Time) time.Duration {
	if c.lastOriginProgress.After(since) {
		since = c.lastOriginProgress
	}
	return now.Sub(since) - c.rankTimeout()
}

// discountStall excludes the time of an origin outage from the delay of owners when the first
// chunk after it arrives, so that each rank timeout starts over. Hosts that fetched nothing during
// the outage did not notice it.
func (c *Core) discountStall(now time.Time) {
	for chunk, since := range c.dueSince {
		if stall := c.originStall(now, since); stall > 0 {
			c.dueSince[chunk] = since.Add(stall)
		}
	}
}

func (c *Core) fetchFromOrigin(now time.Time, chunk int) {
	if now.Before(c.originRetryAt) {
		// Announce the intent: while the origin fails, all ranks would take over from an owner that
		// reports nothing, and would fetch together once the origin answers. If other hosts succeed
		// meanwhile, the fault may be this host's, and it stops announcing.
		if c.originFailures <= maxIntendedFailures || c.lastOriginProgress.Before(c.firstOriginFailure) {
			c.intendedFetches.Set(uint(chunk))
		}
		return
	}
	if c.originFetchesInFlight() < maxOriginFetches {
		c.fetch(now, chunk, nil)
	}
}

func (c *Core) originFetchesInFlight() int {
	fetches := 0
	for _, req := range c.requests {
		if req.source == nil {
			fetches++
		}
	}
	return fetches
}

// shouldFetchFromOrigin reports whether this host should fetch a chunk from the origin whose
// owners have delayed it by the given time.
func (c *Core) shouldFetchFromOrigin(now time.Time, chunk int, waited time.Duration) bool {
	timeout := c.rankTimeout()
	// A chunk that some host fetched is probably on its way to this one.
	refetch := c.originFetched.Test(uint(chunk))
	if refetch {
		waited -= lostRankTimeouts * timeout
	}
	before := 0
	for _, owner := range c.ownersOf(chunk) {
		if owner == nil {
			return waited >= 0 && !c.lowerRankMayFetch(now, chunk)
		}
		if owner.absent(now) {
			continue
		}
		before++
		if waited < time.Duration(before)*timeout {
			return false
		}
		if refetch && waited >= time.Duration(before)*timeout*undeliveredRankTimeouts {
			// The owner holds the chunk but delivers it to no host.
			continue
		}
		if before < c.copiesAllowed() && !refetch && waited >= time.Duration(before)*timeout*takeoverRankTimeouts {
			continue
		}
		if !c.canSkipOwner(now, owner, chunk, timeout) {
			return false
		}
	}
	return false
}

// copiesAllowed returns how many hosts may fetch the same chunk from the origin although none of
// them failed.
func (c *Core) copiesAllowed() int {
	if c.cfg.Objective == ObjectiveOriginBytes {
		return 1
	}
	return max(1, c.cfg.OriginCopies)
}

// lowerRankMayFetch reports whether a lower-ranked owner may be fetching the chunk. While hosts
// start one after the other, the next in rank takes over from an owner that does not take part
// yet; that owner therefore contacts it before it fetches too.
func (c *Core) lowerRankMayFetch(now time.Time, chunk int) bool {
	queried := 0
	after := false
	for _, other := range c.ownersOf(chunk) {
		if other == nil {
			after = true
			continue
		}
		if !after || other.absent(now) {
			continue
		}
		if other.hasChunk(other.fetching, chunk) && now.Sub(other.seenAt) < c.rankTimeout() {
			return true
		}
		if queried++; queried > lowerRanksQueried || now.Sub(c.firstListedAt) > startupPeriod {
			continue
		}
		if other.seenAt.IsZero() {
			if !other.exchanging {
				c.exchangeWith(other)
			}
			return true
		}
	}
	return false
}

// canSkipOwner reports whether a higher-ranked owner is gone or recently reported that it neither
// holds nor fetches the chunk. It starts a query if that is unknown.
func (c *Core) canSkipOwner(now time.Time, owner *peerState, chunk int, timeout time.Duration) bool {
	if owner.failures > 0 && now.Sub(owner.seenAt) > maxSilence {
		// It failed and has been silent since; a stalled link returns no error.
		return true
	}
	if owner.exchanging {
		return false
	}
	query := ownerQuery{peerID: owner.peer.ID, chunk: chunk}
	queried, ok := c.queriedAt[query]
	if !ok || now.Sub(queried) > 4*timeout {
		c.queriedAt[query] = now
		c.exchangeWith(owner)
		return false
	}
	if owner.seenAt.Before(queried) {
		return false
	}
	if owner.held != nil && owner.held.Test(uint(chunk)) {
		c.pullFromOwner(now, owner, chunk)
		return false
	}
	return !owner.hasChunk(owner.fetching, chunk)
}

// pullFromOwner requests a chunk that no neighbour offers from an owner that holds it. The owner
// need not be a neighbour. If it sends only corrupt data, this request is how the lower-ranked
// owners find out.
//
// Under LimitCrossRegionTraffic, only the host that imports the chunk into its region asks an owner
// in another region.
func (c *Core) pullFromOwner(now time.Time, owner *peerState, chunk int) {
	if c.isCostly(owner) && c.importRank(now, chunk) > 0 {
		return
	}
	if owner.usable(now) && owner.inFlight < maxFetchesPerPeer && c.inFlight[chunk] == 0 && len(c.requests) < c.cfg.MaxFetches {
		c.fetch(now, chunk, owner)
	}
}

// rankTimeout returns the time that each owner has to fetch a chunk, derived from the measured
// rate of origin fetches.
func (c *Core) rankTimeout() time.Duration {
	gap := c.originRate.cappedGap()
	if gap == 0 {
		return initialRankTimeout
	}
	return min(max(rankTimeoutGaps*gap, minRankTimeout), maxRankTimeout)
}

// ownersOf returns the hosts that may fetch a chunk from the origin, by rank; nil stands for this
// host. Hosts missing from the list of peers are excluded even if they still send reports: a host
// that is leaving fetches nothing.
func (c *Core) ownersOf(chunk int) []*peerState {
	if owners, ok := c.owners[chunk]; ok {
		return owners
	}
	key := rendezvous.Mix(c.versionSeed + uint64(chunk))
	best := make([]scoredPeer, 0, maxOwnerRanks+1)
	insert := func(one scoredPeer) {
		if len(best) == maxOwnerRanks && one.score <= best[maxOwnerRanks-1].score {
			return
		}
		at, _ := slices.BinarySearchFunc(best, one, byScore)
		best = slices.Insert(best, at, one)
		best = best[:min(maxOwnerRanks, len(best))]
	}
	insert(scoredPeer{score: rendezvous.Score(key, c.selfSeed)})
	for _, pst := range c.sortedPeers {
		if pst.listed {
			insert(scoredPeer{score: rendezvous.Score(key, pst.seed), pst: pst})
		}
	}
	owners := make([]*peerState, 0, len(best))
	for _, entry := range best {
		owners = append(owners, entry.pst)
	}
	c.owners[chunk] = owners
	return owners
}

// queryOwner contacts the first owner that ranks before this host and is not absent, if it has not
// reported yet. Called for chunks that are due soon, it finds absent owners one after the other,
// so that no host waits for one that is gone or does not take part.
func (c *Core) queryOwner(now time.Time, chunk int) {
	for _, owner := range c.ownersOf(chunk) {
		if owner == nil {
			return
		}
		if owner.absent(now) {
			continue
		}
		if owner.seenAt.IsZero() && !owner.exchanging {
			c.exchangeWith(owner)
		}
		return
	}
}

// notifyNextOwner sends a report to the owner of the chunk that just became due, so that the
// origin's link does not stay idle until the next regular exchange.
func (c *Core) notifyNextOwner() {
	due := 0
	for chunk, ok := c.originFetched.NextClear(0); ok; chunk, ok = c.originFetched.NextClear(chunk + 1) {
		due++
		if due < c.originWindow() {
			continue
		}
		first := c.ownersOf(int(chunk))[0]
		if first != nil && !first.exchanging {
			c.exchangeWith(first)
		}
		return
	}
}

// originFailed backs off after a failed origin fetch. The pause doubles with each failure to
// relieve a failing origin, and is never shorter than the retry delay that the origin requested.
func (c *Core) originFailed(now time.Time, cause Cause, retryAfter time.Duration) {
	if cause == StoreRejected {
		return
	}
	pause := min(minOriginBackoff<<min(c.originFailures, 8), c.cfg.MaxBackoff)
	if c.originFailures == 0 {
		c.firstOriginFailure = now
	}
	c.originFailures++
	c.lastOriginFailure = now
	pause = max(pause, retryAfter)
	jitter := time.Duration(c.rng.Int64N(int64(pause)/2 + 1))
	c.originRetryAt = now.Add(pause + jitter)
}

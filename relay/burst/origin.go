package burst

import (
	"slices"
	"time"

	"comfreyrelay.example/relay/rendezvous"
)

// draw requests chunks from the origin that are this host's turn. The first
// drawWindow chunks that nobody is known to have drawn are due; of those a host
// draws the ones it ranks first for. The hosts of lower rank wait a turn for
// each rank before them and then ask the hosts before them: they draw only when
// all of those are unreachable or neither hold nor fetch the chunk. Where the
// policy allows more copies, as many hosts may also take over from one that is
// still fetching after takeoverTurns.
//
// So, among hosts that can reach each other, at most maxDrawWindow chunks are
// requested from the origin at once, each by at most copiesAllowed hosts, and
// no chunk is drawn more often than copiesAllowed plus the draws of it that
// failed or whose host passes the chunk on to nobody, and never by more than
// ownerRanks hosts, however many hosts fail.
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

// drawWindow returns how many chunks the fleet draws at once: few at first, so
// that the first ones come soon and spread, more later, when owners have less
// of their links left and one that stalls should not matter.
func (c *Core) originWindow() int {
	if c.cfg.DrawWindow > 0 {
		return c.cfg.DrawWindow
	}
	return min(minOriginWindow+int(c.originFetched.Count())/originWindowStep, maxOriginWindow)
}

// settled reports whether enough is known to draw. A host that just started
// knows few peers and would take itself for the owner of every chunk, the more
// the worse: it first asks neighbours, or waits a little where none answers.
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

// findLost looks for chunks that were drawn but whose holders may be gone.
func (c *Core) findLost(now time.Time) {
	for chunk, ok := c.held.NextClear(0); ok; chunk, ok = c.held.NextClear(chunk + 1) {
		if c.originFetched.Test(chunk) && c.inFlight[chunk] == 0 && !c.offeredByNeighbour(int(chunk)) {
			c.fetchIfOwner(now, int(chunk))
		}
	}
}

// offeredNear reports whether a neighbour that delivers holds the chunk.
func (c *Core) offeredByNeighbour(chunk int) bool {
	if c.holders[chunk] > fewHoldersLimit {
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

// waited returns for how long the owners of a chunk that is due since a time have kept others
// waiting. While the origin answers neither this host nor, as far as known, any other, that is
// no fault of theirs: were it counted, all ranks would draw together once the origin is back. A
// part counts all the same, since both failures here and silence elsewhere may have other causes.
func (c *Core) ownerDelay(now, since time.Time) time.Duration {
	waited := now.Sub(since)
	if stall := c.originStall(now, since); stall > 0 && c.originFailures > 0 {
		waited -= stall * (stallDivisor - 1) / stallDivisor
	}
	return waited
}

// stall returns for how much longer than a turn no chunk is known to have left the origin.
func (c *Core) originStall(now, since time.Time) time.Duration {
	if c.lastOriginProgress.After(since) {
		since = c.lastOriginProgress
	}
	return now.Sub(since) - c.rankTimeout()
}

// forgiveStall lets owners begin their turns anew where the first chunk in a while leaves the
// origin. Hosts that drew nothing meanwhile do not know that it was away.
func (c *Core) discountStall(now time.Time) {
	for chunk, since := range c.dueSince {
		if stall := c.originStall(now, since); stall > 0 {
			c.dueSince[chunk] = since.Add(stall)
		}
	}
}

func (c *Core) fetchFromOrigin(now time.Time, chunk int) {
	if now.Before(c.originRetryAt) {
		// While the origin fails, an owner that kept silent would be taken over
		// by all ranks, and they would draw together once it answers. Where others draw
		// meanwhile the fault may be its own.
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
	draws := 0
	for _, req := range c.requests {
		if req.source == nil {
			draws++
		}
	}
	return draws
}

// myTurn reports whether this host should draw a chunk that has been due for
// the time given.
func (c *Core) shouldFetchFromOrigin(now time.Time, chunk int, waited time.Duration) bool {
	turn := c.rankTimeout()
	// A chunk that somebody drew is probably on its way here.
	refetch := c.originFetched.Test(uint(chunk))
	if refetch {
		waited -= lostRankTimeouts * turn
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
		if waited < time.Duration(before)*turn {
			return false
		}
		if refetch && waited >= time.Duration(before)*turn*undeliveredRankTimeouts {
			// It holds the chunk and passes it on to nobody.
			continue
		}
		if before < c.copiesAllowed() && !refetch && waited >= time.Duration(before)*turn*takeoverRankTimeouts {
			continue
		}
		if !c.canSkipOwner(now, owner, chunk, turn) {
			return false
		}
	}
	return false
}

// copiesAllowed returns how many hosts may draw the same chunk although none of
// them failed.
func (c *Core) copiesAllowed() int {
	if c.cfg.Objective == ObjectiveOriginBytes {
		return 1
	}
	return max(1, c.cfg.OriginCopies)
}

// overtaken reports whether a host of lower rank may be drawing the chunk. While
// hosts begin one after the other, the next in rank takes over from an owner
// that does not take part yet; the owner then asks before it draws too.
func (c *Core) lowerRankMayFetch(now time.Time, chunk int) bool {
	asked := 0
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
		if asked++; asked > lowerRanksQueried || now.Sub(c.firstListedAt) > startupPeriod {
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

// excluded reports whether a host of higher rank said lately that it neither
// holds nor fetches the chunk; it asks where that is unknown.
func (c *Core) canSkipOwner(now time.Time, owner *peerState, chunk int, turn time.Duration) bool {
	if owner.failures > 0 && now.Sub(owner.seenAt) > maxSilence {
		// It failed and has been silent since; a stalled link answers nothing.
		return true
	}
	if owner.exchanging {
		return false
	}
	query := ownerQuery{peerID: owner.peer.ID, chunk: chunk}
	asked, ok := c.ownerQueries[query]
	if !ok || now.Sub(asked) > 4*turn {
		c.ownerQueries[query] = now
		c.exchangeWith(owner)
		return false
	}
	if owner.seenAt.Before(asked) {
		return false
	}
	if owner.held != nil && owner.held.Test(uint(chunk)) {
		c.pullFromOwner(now, owner, chunk)
		return false
	}
	return !owner.hasChunk(owner.fetching, chunk)
}

// pullFromOwner requests a chunk that no neighbour offers from the owner that
// holds it. The owner need not be a neighbour, and where it sends nothing but
// corrupt bytes, this is how the hosts of lower rank find out.
//
// Where bytes between regions are dear, only the host that takes the chunk into
// its region asks an owner in another one.
func (c *Core) pullFromOwner(now time.Time, owner *peerState, chunk int) {
	if c.isCostly(owner) && c.importRank(now, chunk) > 0 {
		return
	}
	if owner.usable(now) && owner.inFlight < maxFetchesPerPeer && c.inFlight[chunk] == 0 && len(c.requests) < c.cfg.MaxFetches {
		c.fetch(now, chunk, owner)
	}
}

// turn is the time that each rank has, from the measured pace of the draws.
func (c *Core) rankTimeout() time.Duration {
	gap := c.originRate.cappedGap()
	if gap == 0 {
		return initialRankTimeout
	}
	return min(max(rankTimeoutGaps*gap, minRankTimeout), maxRankTimeout)
}

// ownersOf returns the hosts that may draw a chunk, by rank; nil stands for
// this one. One that the list of peers does not name, or no more, is none of them
// though it calls: a host that leaves takes nothing in.
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

// askAhead asks the hosts that rank before this one for a chunk that is due
// soon, one after the other while they turn out to be absent, so that nobody
// waits for a host that is gone or takes no part.
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

// wakeNextOwner notifies the owner of the chunk that became due what was drawn,
// so that the origin's link does not wait for the next exchange.
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

// originFailed backs off. A refusal over the origin's rate says how long; other
// failures double the pause, so that a failing origin is left in peace.
func (c *Core) originFailed(now time.Time, cause Cause, retryAfter time.Duration) {
	if cause == Dropped {
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

package burst

import (
	"slices"
	"time"
)

// Report returns the report to send to a peer in an exchange.
func (c *Core) Report() Report {
	fetching := c.intendedFetches.Clone()
	for _, req := range c.requests {
		if req.source == nil {
			fetching.Set(uint(req.chunk))
		}
	}
	return Report{
		Held:          slices.Clone(c.held.Words()),
		Fetching:      fetching.Words(),
		OriginFetched: slices.Clone(c.originFetched.Words()),
		Queue:         c.uploads,
	}
}

// Observe processes the report of a peer that called this host. The reply must carry the result of
// Report at the same moment.
func (c *Core) Observe(now time.Time, from Peer, rep Report) {
	if from.ID == c.cfg.Self.ID {
		return
	}
	pst := c.ensurePeer(from)
	pst.sentRevision = c.revision
	c.applyReport(now, pst, rep)
}

// Replied processes a peer's reply to an exchange.
func (c *Core) Replied(now time.Time, id string, rep Report) {
	pst := c.peers[id]
	if pst == nil {
		return
	}
	pst.exchanging = false
	pst.sentRevision = max(pst.sentRevision, pst.sendingRevision)
	c.applyReport(now, pst, rep)
}

// ReportReceived processes the report that came with a chunk or a refusal. Chunk requests carry reports
// in both directions, so neighbours that transfer chunks need few separate exchanges.
func (c *Core) ReportReceived(now time.Time, id string, rep Report) {
	pst := c.peers[id]
	if pst == nil || len(rep.Held) == 0 {
		return
	}
	c.applyReport(now, pst, rep)
}

func (c *Core) applyReport(now time.Time, pst *peerState, rep Report) {
	pst.seenAt, pst.lastExchange = now, now
	pst.failures = 0
	pst.queue = rep.Queue
	if rep.Fetching != nil {
		pst.fetching = rep.Fetching
	}
	if len(rep.Held) == 0 {
		c.markNonParticipant(now, pst)
		return
	}
	if now.Before(pst.suspectUntil) || now.Before(pst.nonParticipantUntil) {
		pst.suspectUntil, pst.nonParticipantUntil = now, now
		c.membershipChanged(now)
	}
	c.setPeerHeld(pst, rep.Held)
	if !pst.neighbour && !pst.absent(now) && len(c.neighbours) < maxNeighbours {
		c.setNeighbour(pst, true)
	}
	c.markOriginFetched(now, rep.OriginFetched)
	c.markOriginFetched(now, rep.Held)
}

// markNonParticipant records that the peer does not take part in the version or does not know its
// manifest yet. Once it does, it calls this host.
func (c *Core) markNonParticipant(now time.Time, pst *peerState) {
	c.setPeerHeld(pst, nil)
	pst.nonParticipantUntil = now.Add(nonParticipantWait)
	c.membershipChanged(now)
}

// setPeerHeld replaces the set of chunks that the peer holds; after a restart it may hold fewer
// than before.
func (c *Core) setPeerHeld(pst *peerState, words []uint64) {
	if pst.held == nil {
		pst.held = newChunkSet(c.cfg.Chunks)
	}
	added := func(chunk int) {
		pst.heldCount++
		if pst.neighbour {
			c.holders[chunk]++
		}
	}
	removed := func(chunk int) {
		pst.heldCount--
		if pst.neighbour {
			c.holders[chunk]--
		}
	}
	replaceWords(pst.held, words, added, removed)
}

// markOriginFetched records which chunks were fetched from the origin and updates the measured
// rate.
func (c *Core) markOriginFetched(now time.Time, words []uint64) {
	fresh := 0
	addWords(c.originFetched, words, func(chunk int) {
		fresh++
		delete(c.dueSince, chunk)
	})
	if fresh == 0 {
		return
	}
	c.revision++
	if c.stats.FirstHeld.IsZero() && c.held.Any() {
		c.stats.FirstHeld = now
	}
	if c.stats.AllOriginFetched.IsZero() && int(c.originFetched.Count()) == c.cfg.Chunks {
		c.stats.AllOriginFetched = now
	}
	c.nextOriginScan = now
	c.discountStall(now)
	c.lastOriginProgress = now
	c.resumeOriginFetches(now)
	c.originRate.record(now, fresh)
}

// resumeOriginFetches ends the backoff of a host once it learns that origin fetches of other hosts
// succeed: when each host waited for its own backoff to end, a recovered origin stayed idle for
// half a second. Chunks fetched before the failure are still reported for a while afterwards, so
// these reports are ignored. With a long MaxBackoff, other hosts have taken over by then and each
// chunk would be fetched twice.
func (c *Core) resumeOriginFetches(now time.Time) {
	if c.originFailures == 0 || now.Sub(c.lastOriginFailure) < staleReportWindow || c.cfg.MaxBackoff > maxSharedBackoff {
		return
	}
	c.originFailures = 0
	c.originRetryAt = now.Add(time.Duration(c.rng.Int64N(int64(originRetryJitter))))
}

// Unreachable records that an exchange with the peer failed.
func (c *Core) Unreachable(now time.Time, id string) {
	pst := c.peers[id]
	if pst == nil {
		return
	}
	pst.exchanging = false
	pst.lastExchange = now
	c.markSuspect(now, pst)
}

func (c *Core) markSuspect(now time.Time, pst *peerState) {
	pst.recordFailure(now)
	c.membershipChanged(now)
}

// clearPeerChunk removes a chunk that the peer turned out not to hold, such as after a restart.
func (c *Core) clearPeerChunk(pst *peerState, chunk int) {
	if pst.held == nil || !pst.held.Test(uint(chunk)) {
		return
	}
	pst.held.Clear(uint(chunk))
	pst.heldCount--
	if pst.neighbour {
		c.holders[chunk]--
	}
}

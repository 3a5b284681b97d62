package burst

import (
	"slices"
	"time"
)

// Report returns what to send a peer in an exchange.
func (c *Core) Report() Report {
	drawing := c.intended.Clone()
	for _, flt := range c.flights {
		if flt.source == nil {
			drawing.Set(uint(flt.chunk))
		}
	}
	return Report{
		Held:     slices.Clone(c.held.Words()),
		Fetching: drawing.Words(),
		Drawn:    slices.Clone(c.drawn.Words()),
		Queue:    c.uploads,
	}
}

// Observe takes the report of a peer that called; the reply to it must bear the
// Report of the same moment.
func (c *Core) Observe(now time.Time, from Peer, rep Report) {
	if from.ID == c.cfg.Self.ID {
		return
	}
	pst := c.ensure(from)
	pst.sentNews = c.news
	c.learn(now, pst, rep)
}

// Replied takes a peer's reply to an exchange.
func (c *Core) Replied(now time.Time, id string, rep Report) {
	pst := c.peers[id]
	if pst == nil {
		return
	}
	pst.exchanging = false
	pst.sentNews = max(pst.sentNews, pst.sendingNews)
	c.learn(now, pst, rep)
}

// Answered takes the report that came with a chunk or a refusal. Requests for
// chunks bear reports both ways, so that neighbours who trade need few exchanges
// beside them.
func (c *Core) Answered(now time.Time, id string, rep Report) {
	pst := c.peers[id]
	if pst == nil || len(rep.Held) == 0 {
		return
	}
	c.learn(now, pst, rep)
}

func (c *Core) learn(now time.Time, pst *peerState, rep Report) {
	pst.seenAt, pst.exchanged = now, now
	pst.silent = 0
	pst.queue = rep.Queue
	if rep.Fetching != nil {
		pst.fetching = rep.Fetching
	}
	if len(rep.Held) == 0 {
		c.outside(now, pst)
		return
	}
	if now.Before(pst.suspectUntil) || now.Before(pst.outsideUntil) {
		pst.suspectUntil, pst.outsideUntil = now, now
		c.membershipChanged(now)
	}
	c.learnHeld(pst, rep.Held)
	if !pst.neighbour && !pst.absent(now) && len(c.neighbours) < maxNeighbours {
		c.setNeighbour(pst, true)
	}
	c.noteDrawn(now, rep.Drawn)
	c.noteDrawn(now, rep.Held)
}

// outside notes that the peer takes no part in the version, or does not know
// its manifest yet: it calls by itself once it does.
func (c *Core) outside(now time.Time, pst *peerState) {
	c.learnHeld(pst, nil)
	pst.outsideUntil = now.Add(outsideWait)
	c.membershipChanged(now)
}

// learnHeld replaces what the peer is known to hold: after a restart it may
// hold less than before.
func (c *Core) learnHeld(pst *peerState, words []uint64) {
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

// noteDrawn learns which chunks left the origin, and how fast.
func (c *Core) noteDrawn(now time.Time, words []uint64) {
	fresh := 0
	addWords(c.drawn, words, func(chunk int) {
		fresh++
		delete(c.dueSince, chunk)
	})
	if fresh == 0 {
		return
	}
	c.news++
	if c.stats.FirstHeld.IsZero() && c.held.Any() {
		c.stats.FirstHeld = now
	}
	if c.stats.AllDrawn.IsZero() && int(c.drawn.Count()) == c.cfg.Chunks {
		c.stats.AllDrawn = now
	}
	c.drawScan = now
	c.forgiveStall(now)
	c.progress = now
	c.originAnswers(now)
	c.pace.note(now, fresh)
}

// originAnswers ends the pause of a host whose draws failed, once it learns that others'
// draw succeeds: hosts that each waited for their own pause to end left an origin that
// was back idle for half a second. What left the origin before it failed is still reported
// for a while. Where pauses are long, others have taken over by then and each chunk would
// be drawn twice.
func (c *Core) originAnswers(now time.Time) {
	if c.originFail == 0 || now.Sub(c.originAt) < oldNews || c.cfg.MaxBackoff > shortBackoff {
		return
	}
	c.originFail = 0
	c.originWait = now.Add(time.Duration(c.rng.Int64N(int64(rejoinSpread))))
}

// Unreachable notes that an exchange with the peer failed.
func (c *Core) Unreachable(now time.Time, id string) {
	pst := c.peers[id]
	if pst == nil {
		return
	}
	pst.exchanging = false
	pst.exchanged = now
	c.suspect(now, pst)
}

func (c *Core) suspect(now time.Time, pst *peerState) {
	pst.unanswered(now)
	c.membershipChanged(now)
}

// unlearn takes a chunk out of what the peer is believed to hold: a peer that
// restarted without it.
func (c *Core) unlearn(pst *peerState, chunk int) {
	if pst.held == nil || !pst.held.Test(uint(chunk)) {
		return
	}
	pst.held.Clear(uint(chunk))
	pst.heldCount--
	if pst.neighbour {
		c.holders[chunk]--
	}
}

package burst

import (
	"cmp"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"comfreyrelay.example/relay/rendezvous"
)

// peerState is what a Core knows of another agent.
type peerState struct {
	peer      Peer
	seed      uint64
	listed    bool // in the newest list of peers
	neighbour bool // exchanged with regularly
	chosen    bool // neighbour by our own choice
	heldCount int  // bits of held

	held     *bitset.BitSet // nil until it was seen; only grows
	fetching []uint64
	seenAt   time.Time

	exchanging  bool
	exchanged   time.Time // when the last exchange ended, either side's
	sentNews    int       // c.news when it last received them; -1 before
	sendingNews int       // c.news when the exchange in progress began

	queue    int // requests waiting at its uplink when last seen
	inFlight int
	serve    time.Duration // moving average of a fetch from it; 0 until measured

	busyUntil    time.Time // asked to come back then
	slowUntil    time.Time // let fetches time out: not asked until then
	suspectUntil time.Time // taken to be unreachable until then
	bannedUntil  time.Time // sent corrupt bytes repeatedly: ignored until then
	outsideUntil time.Time // takes no part in the version until then
	strikes      int       // requests that timed out since it last delivered
	silent       int       // failures since it was last seen
	corrupts     int       // corrupt chunks since it last delivered
}

// usable reports whether chunks may be requested from the peer.
func (p *peerState) usable(now time.Time) bool {
	return p.held != nil && !now.Before(p.busyUntil) && !now.Before(p.slowUntil) && !p.absent(now)
}

// absent reports whether the peer is to be treated as if it were not there.
func (p *peerState) absent(now time.Time) bool { return now.Before(p.absentUntil()) }

func (p *peerState) absentUntil() time.Time {
	until := p.suspectUntil
	for _, other := range []time.Time{p.bannedUntil, p.outsideUntil} {
		if other.After(until) {
			until = other
		}
	}
	return until
}

// doubled returns a pause that doubles with each failure before, within bounds.
func doubled(base time.Duration, before int) time.Duration {
	return min(base<<min(max(before, 0), 6), maxPenalty)
}

// corrupted notes a corrupt chunk. One may be the link's fault.
func (p *peerState) corrupted(now time.Time) {
	p.corrupts++
	if p.corrupts < bannedAfter {
		p.slowUntil = now.Add(corruptPause)
		return
	}
	p.ban(now, p.corrupts-bannedAfter)
}

// stalled notes a request that timed out.
func (p *peerState) stalled(now time.Time) {
	p.slowUntil = now.Add(doubled(stallPenalty, p.strikes))
	p.strikes++
	if p.strikes >= stallsToBan {
		p.ban(now, p.strikes-stallsToBan)
	}
}

// ban ignores a peer that talks but does not deliver, longer each time: the
// fleet would ask it for ever and take what it alone holds for available.
func (p *peerState) ban(now time.Time, before int) {
	p.bannedUntil = now.Add(doubled(banTime, before))
}

// unanswered takes the peer to be unreachable for a while.
func (p *peerState) unanswered(now time.Time) {
	p.suspectUntil = now.Add(doubled(suspectWait, p.silent))
	p.silent++
}

func (p *peerState) is(set []uint64, chunk int) bool {
	word := chunk / wordBits
	return word < len(set) && set[word]&(1<<(chunk%wordBits)) != 0
}

// SetPeers replaces the list of agents known to live; Self is ignored. A
// neighbour that left the list stays while it answers, because the list lags.
func (c *Core) SetPeers(now time.Time, list []Peer) {
	if !c.listedAt.IsZero() && slices.Equal(list, c.list) {
		return
	}
	c.list = slices.Clone(list)
	if c.listedAt.IsZero() {
		c.listedAt = now
	}
	for _, pst := range c.order {
		pst.listed = false
	}
	for _, peer := range list {
		if peer.ID == c.cfg.Self.ID {
			continue
		}
		pst := c.ensure(peer)
		pst.listed = true
		pst.peer = peer
	}
	c.order = slices.DeleteFunc(c.order, func(pst *peerState) bool {
		gone := !pst.listed && now.Sub(pst.seenAt) > wholeInterval
		if gone {
			c.forget(pst)
		}
		return gone
	})
	c.membershipChanged(now)
}

func (c *Core) ensure(peer Peer) *peerState {
	if pst := c.peers[peer.ID]; pst != nil {
		return pst
	}
	pst := &peerState{peer: peer, seed: rendezvous.Seed(peer.ID), sentNews: -1}
	c.peers[peer.ID] = pst
	at, _ := slices.BinarySearchFunc(c.order, peer.ID, func(other *peerState, id string) int {
		return cmp.Compare(other.peer.ID, id)
	})
	c.order = slices.Insert(c.order, at, pst)
	return pst
}

func (c *Core) forget(pst *peerState) {
	delete(c.peers, pst.peer.ID)
	c.setNeighbour(pst, false)
}

// membershipChanged recomputes what depends on who is there.
func (c *Core) membershipChanged(now time.Time) {
	clear(c.owners)
	c.imports.ranks = nil
	c.recheck = time.Time{}
	for _, pst := range c.order {
		if until := pst.absentUntil(); until.After(now) && (c.recheck.IsZero() || until.Before(c.recheck)) {
			c.recheck = until
		}
	}
	c.chooseNeighbours(now)
	c.parent = c.findParent()
}

// chooseNeighbours picks by a hash of the pair, so that most choices are
// mutual and one host's coming or going changes few of them.
func (c *Core) chooseNeighbours(now time.Time) {
	ranked := make([]scoredPeer, 0, len(c.order))
	for _, pst := range c.order {
		pst.chosen = false
		if pst.listed && !pst.absent(now) {
			ranked = append(ranked, scoredPeer{score: c.pairScore(pst), pst: pst})
		}
	}
	slices.SortFunc(ranked, byScore)
	if c.cfg.DearRegions {
		c.chooseByRegion(ranked)
	} else {
		c.chooseAnywhere(ranked)
	}
	for _, pst := range c.order {
		if pst.chosen {
			c.setNeighbour(pst, true)
		} else if pst.absent(now) || now.Sub(pst.seenAt) > wholeInterval {
			c.setNeighbour(pst, false)
		}
	}
}

// chooseAnywhere picks a few neighbours in the own failure domain and most of
// them anywhere.
func (c *Core) chooseAnywhere(ranked []scoredPeer) {
	near, far := closeNeighbours, farNeighbours
	for _, entry := range ranked {
		if near > 0 && entry.pst.peer.FailureDomain == c.cfg.Self.FailureDomain {
			near--
			entry.pst.chosen = true
		} else if far > 0 {
			far--
			entry.pst.chosen = true
		}
	}
}

// scoredPeer is a candidate of a ranking by rendezvous hash.
type scoredPeer struct {
	score uint64
	pst   *peerState // nil stands for this host
}

func byScore(left, right scoredPeer) int { return cmp.Compare(right.score, left.score) }

func (c *Core) pairScore(pst *peerState) uint64 {
	return rendezvous.Score(c.versionSeed, min(c.selfSeed, pst.seed)^rendezvous.Mix(max(c.selfSeed, pst.seed)))
}

func (c *Core) setNeighbour(pst *peerState, on bool) {
	if pst.neighbour == on {
		return
	}
	pst.neighbour = on
	if on {
		c.neighbours = append(c.neighbours, pst)
	} else {
		c.neighbours = slices.DeleteFunc(c.neighbours, func(other *peerState) bool { return other == pst })
	}
	c.countHolders(pst, on)
}

// countHolders adds a neighbour's chunks to the rarity counts, or takes them
// out.
func (c *Core) countHolders(pst *peerState, on bool) {
	if pst.held == nil {
		return
	}
	for i, ok := pst.held.NextSet(0); ok; i, ok = pst.held.NextSet(i + 1) {
		if on {
			c.holders[i]++
		} else {
			c.holders[i]--
		}
	}
}

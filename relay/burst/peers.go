package burst

import (
	"cmp"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"comfreyrelay.example/relay/rendezvous"
)

// peerState holds what a Core knows about another agent.
type peerState struct {
	peer      Peer
	seed      uint64
	listed    bool // in the latest list of peers
	neighbour bool // exchanges reports with this host regularly
	chosen    bool // neighbour by this host's choice
	heldCount int  // number of chunks in held

	held     *bitset.BitSet // nil until its first report
	fetching []uint64
	seenAt   time.Time

	exchanging      bool
	lastExchange    time.Time // when the last exchange ended, whichever side started it
	sentRevision    int       // Core.revision that the peer last received; -1 if none
	sendingRevision int       // Core.revision when the exchange in progress began

	queue     int // uploads in progress or waiting there, as last reported
	inFlight  int
	fetchTime time.Duration // moving average duration of a fetch from it; 0 until measured

	busyUntil           time.Time // no requests before, as it asked to retry later or lacked a chunk
	slowUntil           time.Time // no requests before, after a timeout or a corrupt chunk
	suspectUntil        time.Time // considered unreachable until then
	bannedUntil         time.Time // ignored until then, after repeated corrupt chunks or timeouts
	nonParticipantUntil time.Time // does not take part in the version until then
	timeouts            int       // requests that timed out since it last delivered
	failures            int       // failures since its last report
	corruptChunks       int       // corrupt chunks since it last delivered
}

// usable reports whether chunks may be requested from the peer.
func (p *peerState) usable(now time.Time) bool {
	return p.held != nil && !now.Before(p.busyUntil) && !now.Before(p.slowUntil) && !p.absent(now)
}

// absent reports whether the peer is to be treated as nonexistent.
func (p *peerState) absent(now time.Time) bool { return now.Before(p.absentUntil()) }

func (p *peerState) absentUntil() time.Time {
	until := p.suspectUntil
	for _, other := range []time.Time{p.bannedUntil, p.nonParticipantUntil} {
		if other.After(until) {
			until = other
		}
	}
	return until
}

// backoff returns a pause that doubles with each previous failure, up to maxPenalty.
func backoff(base time.Duration, before int) time.Duration {
	return min(base<<min(max(before, 0), 6), maxPenalty)
}

// recordCorruptChunk pauses requests to the peer, and bans it after several corrupt chunks in a
// row: a single one may be the link's fault.
func (p *peerState) recordCorruptChunk(now time.Time) {
	p.corruptChunks++
	if p.corruptChunks < corruptChunksToBan {
		p.slowUntil = now.Add(corruptPause)
		return
	}
	p.ban(now, p.corruptChunks-corruptChunksToBan)
}

// recordTimeout pauses requests to the peer, and bans it after several timeouts in a row.
func (p *peerState) recordTimeout(now time.Time) {
	p.slowUntil = now.Add(backoff(timeoutPenalty, p.timeouts))
	p.timeouts++
	if p.timeouts >= timeoutsToBan {
		p.ban(now, p.timeouts-timeoutsToBan)
	}
}

// ban ignores a peer that responds but does not deliver, longer each time. Otherwise the fleet
// would keep asking it and consider the chunks that it alone holds available.
func (p *peerState) ban(now time.Time, before int) {
	p.bannedUntil = now.Add(backoff(banPause, before))
}

// recordFailure considers the peer unreachable for a while.
func (p *peerState) recordFailure(now time.Time) {
	p.suspectUntil = now.Add(backoff(suspectWait, p.failures))
	p.failures++
}

func (p *peerState) hasChunk(set []uint64, chunk int) bool {
	word := chunk / bitsPerWord
	return word < len(set) && set[word]&(1<<(chunk%bitsPerWord)) != 0
}

// SetPeers replaces the list of live agents, ignoring Self. A peer that is no longer listed is
// kept while it sends reports, because the list lags.
func (c *Core) SetPeers(now time.Time, list []Peer) {
	if !c.firstListedAt.IsZero() && slices.Equal(list, c.peerList) {
		return
	}
	c.peerList = slices.Clone(list)
	if c.firstListedAt.IsZero() {
		c.firstListedAt = now
	}
	for _, pst := range c.sortedPeers {
		pst.listed = false
	}
	for _, peer := range list {
		if peer.ID == c.cfg.Self.ID {
			continue
		}
		pst := c.ensurePeer(peer)
		pst.listed = true
		pst.peer = peer
	}
	c.sortedPeers = slices.DeleteFunc(c.sortedPeers, func(pst *peerState) bool {
		gone := !pst.listed && now.Sub(pst.seenAt) > completeInterval
		if gone {
			c.removePeer(pst)
		}
		return gone
	})
	c.membershipChanged(now)
}

func (c *Core) ensurePeer(peer Peer) *peerState {
	if pst := c.peers[peer.ID]; pst != nil {
		return pst
	}
	pst := &peerState{peer: peer, seed: rendezvous.Seed(peer.ID), sentRevision: -1}
	c.peers[peer.ID] = pst
	at, _ := slices.BinarySearchFunc(c.sortedPeers, peer.ID, func(other *peerState, id string) int {
		return cmp.Compare(other.peer.ID, id)
	})
	c.sortedPeers = slices.Insert(c.sortedPeers, at, pst)
	return pst
}

func (c *Core) removePeer(pst *peerState) {
	delete(c.peers, pst.peer.ID)
	c.setNeighbour(pst, false)
}

// membershipChanged recomputes the state that depends on which peers are present.
func (c *Core) membershipChanged(now time.Time) {
	clear(c.owners)
	c.imports.ranks = nil
	c.recheckAt = time.Time{}
	for _, pst := range c.sortedPeers {
		if until := pst.absentUntil(); until.After(now) && (c.recheckAt.IsZero() || until.Before(c.recheckAt)) {
			c.recheckAt = until
		}
	}
	c.chooseNeighbours(now)
	c.parent = c.findParent()
}

// chooseNeighbours ranks peers by a hash of the pair, so that most choices are mutual and a host
// that joins or leaves changes few of them.
func (c *Core) chooseNeighbours(now time.Time) {
	ranked := make([]scoredPeer, 0, len(c.sortedPeers))
	for _, pst := range c.sortedPeers {
		pst.chosen = false
		if pst.listed && !pst.absent(now) {
			ranked = append(ranked, scoredPeer{score: c.pairScore(pst), pst: pst})
		}
	}
	slices.SortFunc(ranked, byScore)
	if c.cfg.LimitCrossRegionTraffic {
		c.chooseByRegion(ranked)
	} else {
		c.chooseByDomain(ranked)
	}
	for _, pst := range c.sortedPeers {
		if pst.chosen {
			c.setNeighbour(pst, true)
		} else if pst.absent(now) || now.Sub(pst.seenAt) > completeInterval {
			c.setNeighbour(pst, false)
		}
	}
}

// chooseByDomain picks a few neighbours in this host's failure domain and most of them regardless
// of failure domain.
func (c *Core) chooseByDomain(ranked []scoredPeer) {
	remainingSameDomain, remainingAny := sameDomainNeighbours, anyDomainNeighbours
	for _, entry := range ranked {
		if remainingSameDomain > 0 && entry.pst.peer.FailureDomain == c.cfg.Self.FailureDomain {
			remainingSameDomain--
			entry.pst.chosen = true
		} else if remainingAny > 0 {
			remainingAny--
			entry.pst.chosen = true
		}
	}
}

// scoredPeer is a candidate in a ranking by rendezvous hash.
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

// countHolders adds a neighbour's chunks to the holder counts, or subtracts them.
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

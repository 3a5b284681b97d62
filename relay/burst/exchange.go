package burst

import "time"

// exchange swaps reports with the neighbours that lack this host's latest state. A host with an
// idle uplink announces its chunks to one neighbour after the other in quick succession until one
// requests a chunk; a busy host waits for the regular interval. The cost per host does not depend
// on the fleet's size because the number of neighbours is bounded.
func (c *Core) exchange(now time.Time) {
	var candidate *peerState
	for _, pst := range c.neighbours {
		if pst.exchanging || pst.absent(now) {
			continue
		}
		if now.Sub(pst.lastExchange) >= c.exchangeInterval(pst) {
			c.exchangeWith(pst)
			continue
		}
		if pst.sentRevision != c.revision && pst.heldCount < c.cfg.Chunks && (candidate == nil || pst.lastExchange.Before(candidate.lastExchange)) {
			candidate = pst
		}
	}
	if candidate != nil && c.uploads == 0 && now.Sub(c.lastOffer) >= offerInterval {
		c.lastOffer = now
		c.exchangeWith(candidate)
	}
}

func (c *Core) exchangeInterval(pst *peerState) time.Duration {
	if c.Complete() && pst.heldCount == c.cfg.Chunks {
		return completeInterval
	}
	if pst.sentRevision == c.revision {
		return idleInterval
	}
	if c.cfg.LimitCrossRegionTraffic {
		return regionUpdateInterval
	}
	return updateInterval
}

func (c *Core) exchangeWith(pst *peerState) {
	pst.exchanging = true
	c.stats.Exchanges++
	pst.sendingRevision = c.revision
	c.actions = append(c.actions, Action{Kind: Exchange, Source: pst.peer.ID})
}

package burst

import "time"

// exchange swaps reports with the neighbours that lack our news. Who has an
// idle uplink is quick to say what it holds, for nobody would ask otherwise;
// who is busy takes its time. The cost per host does not depend on the fleet's
// size, because the number of neighbours is bounded.
func (c *Core) exchange(now time.Time) {
	for _, pst := range c.neighbours {
		if pst.exchanging || pst.absent(now) {
			continue
		}
		if now.Sub(pst.exchanged) >= c.exchangeInterval(pst) {
			c.exchangeWith(pst)
		}
	}
}

func (c *Core) exchangeInterval(pst *peerState) time.Duration {
	if c.Whole() && pst.heldCount == c.cfg.Chunks {
		return wholeInterval
	}
	if pst.told == c.news {
		return idleInterval
	}
	if c.uploads == 0 {
		return urgentInterval
	}
	return newsInterval
}

func (c *Core) exchangeWith(pst *peerState) {
	pst.exchanging = true
	pst.telling = c.news
	c.actions = append(c.actions, Action{Kind: Exchange, Source: pst.peer.ID})
}

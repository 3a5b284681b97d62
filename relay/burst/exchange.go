package burst

import "time"

// exchange swaps reports with the neighbours that lack our news. Who has an
// idle uplink is quick to say what it holds, one neighbour after the other until
// one asks for a chunk; who is busy takes its time. The cost per host does not
// depend on the fleet's size, because the number of neighbours is bounded.
func (c *Core) exchange(now time.Time) {
	var eager *peerState
	for _, pst := range c.neighbours {
		if pst.exchanging || pst.absent(now) {
			continue
		}
		if now.Sub(pst.exchanged) >= c.exchangeInterval(pst) {
			c.exchangeWith(pst)
			continue
		}
		if pst.sentNews != c.news && pst.heldCount < c.cfg.Chunks && (eager == nil || pst.exchanged.Before(eager.exchanged)) {
			eager = pst
		}
	}
	if eager != nil && c.uploads == 0 && now.Sub(c.offered) >= offerInterval {
		c.offered = now
		c.exchangeWith(eager)
	}
}

func (c *Core) exchangeInterval(pst *peerState) time.Duration {
	if c.Whole() && pst.heldCount == c.cfg.Chunks {
		return wholeInterval
	}
	if pst.sentNews == c.news {
		return idleInterval
	}
	if c.cfg.DearRegions {
		return regionNews
	}
	return newsInterval
}

func (c *Core) exchangeWith(pst *peerState) {
	pst.exchanging = true
	c.stats.Exchanges++
	pst.sendingNews = c.news
	c.actions = append(c.actions, Action{Kind: Exchange, Source: pst.peer.ID})
}

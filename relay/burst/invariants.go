package burst

// check asserts what must hold between two decisions.
func (c *Core) checkInvariants() {
	if c.cfg.Broken == nil {
		return
	}
	inPeers, draws, counted := 0, 0, 0
	for _, req := range c.requests {
		if req.source == nil {
			draws++
		}
		if c.held.Test(uint(req.chunk)) {
			c.cfg.Broken("a chunk is fetched that is held")
		}
	}
	for _, pst := range c.sortedPeers {
		inPeers += pst.inFlight
	}
	for _, count := range c.inFlight {
		counted += int(count)
	}
	if counted != len(c.requests) || inPeers > len(c.requests)-draws {
		c.cfg.Broken("the counts of requests in progress differ from the requests")
	}
	if c.held.DifferenceCardinality(c.originFetched) != 0 {
		c.cfg.Broken("a chunk is held that is not known as drawn")
	}
	c.excess = min(c.excess, max(0, len(c.requests)-c.cfg.MaxFetches))
	if len(c.requests) > c.cfg.MaxFetches+c.excess+maxOriginFetches {
		c.cfg.Broken("more requests are in progress than allowed")
	}
	if c.cfg.Strategy == Swarm && draws > maxOriginFetches {
		c.cfg.Broken("more draws are in progress than allowed")
	}
}

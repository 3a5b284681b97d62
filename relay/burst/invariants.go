package burst

// checkInvariants verifies the Core's state after each decision and reports violations to
// Config.OnInvariantViolation.
func (c *Core) checkInvariants() {
	if c.cfg.OnInvariantViolation == nil {
		return
	}
	inPeers, fetches, counted := 0, 0, 0
	for _, req := range c.requests {
		if req.source == nil {
			fetches++
		}
		if c.held.Test(uint(req.chunk)) {
			c.cfg.OnInvariantViolation("a held chunk is being fetched")
		}
	}
	for _, pst := range c.sortedPeers {
		inPeers += pst.inFlight
	}
	for _, count := range c.inFlight {
		counted += int(count)
	}
	if counted != len(c.requests) || inPeers > len(c.requests)-fetches {
		c.cfg.OnInvariantViolation("the request counters do not match the requests in progress")
	}
	if c.held.DifferenceCardinality(c.originFetched) != 0 {
		c.cfg.OnInvariantViolation("a held chunk is not recorded as fetched from the origin")
	}
	c.excess = min(c.excess, max(0, len(c.requests)-c.cfg.MaxFetches))
	if len(c.requests) > c.cfg.MaxFetches+c.excess+maxOriginFetches {
		c.cfg.OnInvariantViolation("more requests are in progress than allowed")
	}
	if c.cfg.Strategy == Swarm && fetches > maxOriginFetches {
		c.cfg.OnInvariantViolation("more origin fetches are in progress than allowed")
	}
}

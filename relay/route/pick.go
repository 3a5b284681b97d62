package route

import (
	"math"
	"slices"
	"time"
)

// Constants of host selection.
const (
	ringCandidates   = 2    // candidates taken from the ring
	maxRingPoints    = 24   // ring points visited to find them
	randomSamples    = 2    // random candidates besides them
	maxRandomDraws   = 6    // random draws to find those
	maxScannedHosts  = 256  // hosts checked in order if no candidate was found
	sameRegionCost   = 2.0  // milliseconds, round trip
	otherRegionCost  = 6.0  // milliseconds, round trip
	defaultGapMillis = 10.0 // until measured
	maxCostedTokens  = 256  // tokens counted in favour of a fast host; few answers are longer
)

// Pick chooses a host with capacity and reserves it until Finish.
func (t *Table) Pick(now time.Time, needs Requirements) (Choice, Reason) {
	if len(t.hosts) == 0 {
		return Choice{}, NoHost
	}
	needs.Exclude = t.effectiveExclusions(needs)
	chosen := t.pickByPolicy(now, needs)
	if chosen == nil {
		return Choice{}, t.failureReason(needs)
	}
	choice := Choice{Host: chosen.Host, state: chosen, affinity: t.holdsPrefix(now, chosen, needs.Prefix)}
	choice.large = needs.Large
	choice.hadFreeSlot = chosen.load() < chosen.slots()
	chosen.inFlight++
	chosen.history.add(now, chosen.inFlight)
	if needs.Large {
		chosen.largeQuota--
	}
	t.hints.add(needs.Prefix, chosen.ID, now.Add(placementHintTTL))
	return choice, Chosen
}

// effectiveExclusions returns the hosts to exclude. It returns none if only
// excluded hosts serve the attempt, which would otherwise wait for a host that
// does not exist.
func (t *Table) effectiveExclusions(needs Requirements) []string {
	if len(needs.Exclude) == 0 {
		return nil
	}
	for _, host := range t.hosts {
		if serves(host, needs) && !slices.Contains(needs.Exclude, host.ID) {
			return needs.Exclude
		}
	}
	return nil
}

// failureReason tells whether any host serves the attempt at all.
func (t *Table) failureReason(needs Requirements) Reason {
	for _, host := range t.hosts {
		if serves(host, needs) {
			return Busy
		}
	}
	return NoHost
}

// serves reports whether the host has the model version and adapter that the
// attempt needs.
func serves(host *hostState, needs Requirements) bool {
	if !slices.Contains(needs.Versions, host.Version) {
		return false
	}
	if needs.Adapter == "" {
		return true
	}
	return slices.ContainsFunc(host.Adapters, func(adapter Adapter) bool {
		return adapter.Name == needs.Adapter && (needs.AdapterVersion == "" || adapter.Version == needs.AdapterVersion)
	})
}

// available reports whether the host can start the attempt now.
func (t *Table) available(now time.Time, host *hostState, needs Requirements) bool {
	if !serves(host, needs) || slices.Contains(needs.Exclude, host.ID) || host.unavailable(now) {
		return false
	}
	return t.hasCapacity(now, host, needs)
}

// hasCapacity compares the host's load with its slots. An entry with few attempts
// on the host may always start up to half its fair share, even if other entries
// fill the host; otherwise it would starve. A large customer gets neither that
// share nor the last slots, so that a small customer's request does not find all
// hosts full and wait for one of the large customer's requests to finish.
func (t *Table) hasCapacity(now time.Time, host *hostState, needs Requirements) bool {
	if host.probing {
		return host.inFlight < maxProbesInFlight
	}
	slots := float64(host.slots()) * host.rampFraction(now)
	if needs.Large {
		return host.spareForLarge(slots) > 0 && (host.largeQuota >= 1 || t.random.Float64() < host.largeQuota)
	}
	if host.inFlight < max(1, int(slots)/(2*t.entries)) {
		return true
	}
	if !host.limit.Allows(host.inFlight) {
		return false
	}
	return float64(host.load()) < slots+headroom(slots)
}

// headroom returns the number of requests beyond the slots that keep an engine
// busy until the report of a free slot arrives.
func headroom(slots float64) float64 { return max(1, slots/8) }

// spareForLarge returns the free slots that large customers may use. A quarter of
// the slots is reserved for small customers. Entries do not see each other's newest
// requests, so a smaller reserve is often used up when a small customer's request
// arrives.
func (h *hostState) spareForLarge(slots float64) float64 {
	reserved := max(1, math.Ceil(slots/4))
	return slots - reserved - float64(h.load())
}

// lowestCost returns the cheapest of a few candidates: the prefix's hosts on the
// ring, hosts that probably have it cached, and some random ones (power of two
// choices). The random ones keep entries that act on the same stale report from
// all choosing the same host.
func (t *Table) lowestCost(now time.Time, needs Requirements) *hostState {
	var candidates candidateSet
	t.ring.walk(needs.Prefix, maxRingPoints, func(i int) bool {
		if t.available(now, t.hosts[i], needs) {
			candidates.add(t.hosts[i])
		}
		return candidates.count < ringCandidates
	})
	t.hints.forEachHolder(now, needs.Prefix, func(id string) {
		if host := t.byID[id]; host != nil && t.available(now, host, needs) {
			candidates.add(host)
		}
	})
	t.addRandomCandidates(now, needs, &candidates)
	if candidates.count == 0 {
		t.addScannedCandidates(now, needs, &candidates)
	}
	return t.cheapest(now, needs, candidates)
}

// addRandomCandidates adds up to randomSamples random hosts with capacity.
func (t *Table) addRandomCandidates(now time.Time, needs Requirements, candidates *candidateSet) {
	wanted := candidates.count + randomSamples
	for range maxRandomDraws {
		host := t.hosts[t.random.IntN(len(t.hosts))]
		if t.available(now, host, needs) {
			candidates.add(host)
		}
		if candidates.count >= wanted {
			return
		}
	}
}

// addScannedCandidates checks hosts in order, starting at a random one, until the
// candidate set is full or maxScannedHosts were checked.
func (t *Table) addScannedCandidates(now time.Time, needs Requirements, candidates *candidateSet) {
	start := t.random.IntN(len(t.hosts))
	for n := range min(len(t.hosts), maxScannedHosts) {
		host := t.hosts[(start+n)%len(t.hosts)]
		if t.available(now, host, needs) && !candidates.add(host) {
			return
		}
	}
}

// cheapest returns the candidate with the lowest cost.
func (t *Table) cheapest(now time.Time, needs Requirements, candidates candidateSet) *hostState {
	var chosen *hostState
	lowest := 0.0
	for _, host := range candidates.hosts[:candidates.count] {
		cost := t.cost(now, host, needs)
		if chosen == nil || cost < lowest {
			chosen, lowest = host, cost
		}
	}
	return chosen
}

// cost estimates the duration of the attempt on the host, in milliseconds,
// multiplied by one plus the host's consecutive failures.
func (t *Table) cost(now time.Time, host *hostState, needs Requirements) float64 {
	slots := max(1, float64(host.slots())*host.rampFraction(now))
	load := float64(host.load())
	gap := t.expectedGapMillis(host)
	service := gap * float64(min(max(needs.Tokens, 1), maxCostedTokens))
	penalty := t.typical.missPenalty()
	cost := service + t.networkCost(host)
	// Each request on an engine slows down the others a little.
	cost += load / slots * penalty
	if waiting := load + 1 - slots; waiting > 0 {
		cost += waiting / slots * service
	}
	if !t.holdsPrefix(now, host, needs.Prefix) {
		cost += penalty
	}
	return cost * float64(1+host.failures)
}

// expectedGapMillis returns the time between tokens to expect on the host: as
// measured by this entry, as reported, or the average of all hosts.
func (t *Table) expectedGapMillis(host *hostState) float64 {
	switch {
	case host.gapSamples > 0:
		return host.gapMillis
	case host.TokenGap > 0 && !host.probing:
		return float64(host.TokenGap) / float64(time.Millisecond)
	case t.typical.gapMillis > 0:
		return t.typical.gapMillis
	default:
		return defaultGapMillis
	}
}

// networkCost returns the round-trip time to the host in milliseconds, by region
// and failure domain.
func (t *Table) networkCost(host *hostState) float64 {
	switch {
	case host.FailureDomain == t.options.FailureDomain:
		return 0
	case host.Region == t.options.Region:
		return sameRegionCost
	default:
		return otherRegionCost
	}
}

// holdsPrefix reports whether the host probably has the prefix cached.
func (t *Table) holdsPrefix(now time.Time, host *hostState, prefix uint64) bool {
	held := false
	t.hints.forEachHolder(now, prefix, func(id string) { held = held || id == host.ID })
	return held
}

// candidateSet is a small set of hosts with a fixed capacity, to avoid allocation.
type candidateSet struct {
	hosts [ringCandidates + hostsPerPrefix + randomSamples]*hostState
	count int
}

// add adds a host that is not in the set yet and reports whether there is room for
// more.
func (c *candidateSet) add(host *hostState) bool {
	for _, other := range c.hosts[:c.count] {
		if other == host {
			return true
		}
	}
	if c.count < len(c.hosts) {
		c.hosts[c.count] = host
		c.count++
	}
	return c.count < len(c.hosts)
}

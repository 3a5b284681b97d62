package route

import (
	"math"
	"slices"
	"time"
)

// Constants of the choice.
const (
	ringCandidates   = 2   // hosts from the ring that are considered
	maxRingPoints    = 24  // points passed on the search for them
	randomSamples    = 2   // random hosts considered beside them
	maxRandomDraws   = 6   // draws for them
	maxScannedHosts  = 256 // up to so many hosts are all looked at when sampling finds none
	sameRegionCost   = 2.0 // milliseconds, there and back
	otherRegionCost  = 6.0
	defaultGapMillis = 10.0 // milliseconds, until measured
	maxCostedTokens  = 256  // tokens that speak for a fast host; few answers are longer
)

// Pick chooses a host with room and reserves it until Finish.
func (t *Table) Pick(now time.Time, ask Ask) (Choice, Reason) {
	if len(t.hosts) == 0 {
		return Choice{}, NoHost
	}
	ask.Exclude = t.effectiveExclusions(ask)
	chosen := t.pickByPolicy(now, ask)
	if chosen == nil {
		return Choice{}, t.failureReason(ask)
	}
	choice := Choice{Host: chosen.Host, state: chosen, affinity: t.holdsPrefix(now, chosen, ask.Prefix)}
	choice.large = ask.Large
	choice.hadFreeSlot = chosen.load() < chosen.slots()
	chosen.inFlight++
	chosen.history.add(now, chosen.inFlight)
	if ask.Large {
		chosen.largeQuota--
	}
	t.hints.add(ask.Prefix, chosen.ID, now.Add(placementHintTTL))
	return choice, Chosen
}

// excluded returns the hosts to leave out: none where no other host serves
// the attempt, or it would wait for one that is not there.
func (t *Table) effectiveExclusions(ask Ask) []string {
	if len(ask.Exclude) == 0 {
		return nil
	}
	for _, host := range t.hosts {
		if serves(host, ask) && !slices.Contains(ask.Exclude, host.ID) {
			return ask.Exclude
		}
	}
	return nil
}

func (t *Table) failureReason(ask Ask) Reason {
	for _, host := range t.hosts {
		if serves(host, ask) {
			return Busy
		}
	}
	return NoHost
}

// serves reports whether the host may run the attempt at all.
func serves(host *hostState, ask Ask) bool {
	if !slices.Contains(ask.Versions, host.Version) {
		return false
	}
	if ask.Adapter == "" {
		return true
	}
	return slices.ContainsFunc(host.Adapters, func(adapter Adapter) bool {
		return adapter.Name == ask.Adapter && (ask.AdapterVersion == "" || adapter.Version == ask.AdapterVersion)
	})
}

// open reports whether the host may run the attempt now.
func (t *Table) available(now time.Time, host *hostState, ask Ask) bool {
	if !serves(host, ask) || slices.Contains(ask.Exclude, host.ID) || host.unavailable(now) {
		return false
	}
	return t.hasCapacity(now, host, ask)
}

// hasRoom compares the host's load with its slots. An entry that has little
// there gets its share even where the others fill the host, or it would starve.
// A large customer gets neither that share nor the last slots: a small one that
// came to full hosts would wait for one of them to finish.
func (t *Table) hasCapacity(now time.Time, host *hostState, ask Ask) bool {
	if host.probing {
		return host.inFlight < maxProbesInFlight
	}
	slots := float64(host.slots()) * host.rampFraction(now)
	if ask.Large {
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

// headroom is the queue that keeps an engine busy while the report of a free slot
// travels.
func headroom(slots float64) float64 { return max(1, slots/8) }

// spare is the room for large customers. A quarter is kept from them: entries
// do not see one another's newest requests, so that less is often gone when a
// small customer comes.
func (h *hostState) spareForLarge(slots float64) float64 {
	reserved := max(1, math.Ceil(slots/4))
	return slots - reserved - float64(h.load())
}

// best chooses among the prefix's homes, hosts that probably hold it and a few
// random ones by cost. The random ones are the power of two choices: entries
// that act on the same stale report do not all meet on the same host.
func (t *Table) lowestCost(now time.Time, ask Ask) *hostState {
	var candidates candidateSet
	t.ring.walk(ask.Prefix, maxRingPoints, func(i int) bool {
		if t.available(now, t.hosts[i], ask) {
			candidates.add(t.hosts[i])
		}
		return candidates.count < ringCandidates
	})
	t.hints.forEachHolder(now, ask.Prefix, func(id string) {
		if host := t.byID[id]; host != nil && t.available(now, host, ask) {
			candidates.add(host)
		}
	})
	t.addRandomCandidates(now, ask, &candidates)
	if candidates.count == 0 {
		t.addScannedCandidates(now, ask, &candidates)
	}
	return t.cheapest(now, ask, candidates)
}

func (t *Table) addRandomCandidates(now time.Time, ask Ask, candidates *candidateSet) {
	wanted := candidates.count + randomSamples
	for range maxRandomDraws {
		host := t.hosts[t.random.IntN(len(t.hosts))]
		if t.available(now, host, ask) {
			candidates.add(host)
		}
		if candidates.count >= wanted {
			return
		}
	}
}

// scan looks at hosts in order from a random one until the shortlist is full.
func (t *Table) addScannedCandidates(now time.Time, ask Ask, candidates *candidateSet) {
	start := t.random.IntN(len(t.hosts))
	for n := range min(len(t.hosts), maxScannedHosts) {
		host := t.hosts[(start+n)%len(t.hosts)]
		if t.available(now, host, ask) && !candidates.add(host) {
			return
		}
	}
}

func (t *Table) cheapest(now time.Time, ask Ask, candidates candidateSet) *hostState {
	var chosen *hostState
	lowest := 0.0
	for _, host := range candidates.hosts[:candidates.count] {
		cost := t.cost(now, host, ask)
		if chosen == nil || cost < lowest {
			chosen, lowest = host, cost
		}
	}
	return chosen
}

// cost estimates in milliseconds how long the attempt would take on the host.
func (t *Table) cost(now time.Time, host *hostState, ask Ask) float64 {
	slots := max(1, float64(host.slots())*host.rampFraction(now))
	load := float64(host.load())
	gap := t.expectedGapMillis(host)
	service := gap * float64(min(max(ask.Tokens, 1), maxCostedTokens))
	penalty := t.typical.missPenalty()
	cost := service + t.networkCost(host)
	// Sharing an engine slows everybody on it a little.
	cost += load / slots * penalty
	if waiting := load + 1 - slots; waiting > 0 {
		cost += waiting / slots * service
	}
	if !t.holdsPrefix(now, host, ask.Prefix) {
		cost += penalty
	}
	return cost * float64(1+host.failures)
}

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

// holds reports whether the host probably has the prefix cached.
func (t *Table) holdsPrefix(now time.Time, host *hostState, prefix uint64) bool {
	held := false
	t.hints.forEachHolder(now, prefix, func(id string) { held = held || id == host.ID })
	return held
}

// shortlist is a small set of hosts; it needs no allocation.
type candidateSet struct {
	hosts [ringCandidates + hostsPerPrefix + randomSamples]*hostState
	count int
}

// add reports whether there is room for more.
func (c *candidateSet) add(each *hostState) bool {
	for _, other := range c.hosts[:c.count] {
		if other == each {
			return true
		}
	}
	if c.count < len(c.hosts) {
		c.hosts[c.count] = each
		c.count++
	}
	return c.count < len(c.hosts)
}

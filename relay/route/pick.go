package route

import (
	"math"
	"slices"
	"time"
)

// Constants of the choice.
const (
	homes          = 2   // hosts from the ring that are considered
	ringPoints     = 24  // points passed on the search for them
	randomSamples  = 2   // random hosts considered beside them
	randomTries    = 6   // draws for them
	fullScanHosts  = 256 // up to so many hosts are all looked at when sampling finds none
	sameRegionCost = 2.0 // milliseconds, there and back
	otherRegion    = 6.0
	typicalGap     = 10.0 // milliseconds, until measured
	maxTokensCost  = 256  // tokens that speak for a fast host; few answers are longer
)

// Pick chooses a host with room and reserves it until Finish.
func (t *Table) Pick(now time.Time, ask Ask) (Choice, Reason) {
	if len(t.hosts) == 0 {
		return Choice{}, NoHost
	}
	ask.Exclude = t.excluded(ask)
	chosen := t.byPolicy(now, ask)
	if chosen == nil {
		return Choice{}, t.whyNone(ask)
	}
	choice := Choice{Host: chosen.Host, kept: chosen, affinity: t.holds(now, chosen, ask.Prefix)}
	choice.large = ask.Large
	choice.calm = chosen.load() < chosen.slots()
	chosen.inFlight++
	chosen.trace.add(now, chosen.inFlight)
	if ask.Large {
		chosen.allotted--
	}
	t.hints.add(ask.Prefix, chosen.ID, now.Add(placedHintAge))
	return choice, Chosen
}

// excluded returns the hosts to leave out: none where no other host serves
// the attempt, or it would wait for one that is not there.
func (t *Table) excluded(ask Ask) []string {
	if len(ask.Exclude) == 0 {
		return nil
	}
	for _, each := range t.hosts {
		if serves(each, ask) && !slices.Contains(ask.Exclude, each.ID) {
			return ask.Exclude
		}
	}
	return nil
}

func (t *Table) whyNone(ask Ask) Reason {
	for _, each := range t.hosts {
		if serves(each, ask) {
			return Busy
		}
	}
	return NoHost
}

// serves reports whether the host may run the attempt at all.
func serves(each *host, ask Ask) bool {
	if !slices.Contains(ask.Versions, each.Version) {
		return false
	}
	if ask.Adapter == "" {
		return true
	}
	return slices.ContainsFunc(each.Adapters, func(adapter Adapter) bool {
		return adapter.Name == ask.Adapter && (ask.AdapterVersion == "" || adapter.Version == ask.AdapterVersion)
	})
}

// open reports whether the host may run the attempt now.
func (t *Table) open(now time.Time, each *host, ask Ask) bool {
	if !serves(each, ask) || slices.Contains(ask.Exclude, each.ID) || each.ejected(now) {
		return false
	}
	return t.hasRoom(now, each, ask)
}

// hasRoom compares the host's load with its slots. An entry that has little
// there gets its share even where the others fill the host, or it would starve.
// A large customer gets neither that share nor the last slots: a small one that
// came to full hosts would wait for one of them to finish.
func (t *Table) hasRoom(now time.Time, each *host, ask Ask) bool {
	if each.probing {
		return each.inFlight < probeInFlight
	}
	slots := float64(each.slots()) * each.ramp(now)
	if ask.Large {
		return each.spare(slots) > 0 && (each.allotted >= 1 || t.random.Float64() < each.allotted)
	}
	if each.inFlight < max(1, int(slots)/(2*t.entries)) {
		return true
	}
	if !each.limit.Allows(each.inFlight) {
		return false
	}
	return float64(each.load()) < slots+headroom(slots)
}

// headroom is the queue that keeps an engine busy while the report of a free slot
// travels.
func headroom(slots float64) float64 { return max(1, slots/8) }

// spare is the room for large customers. A quarter is kept from them: entries
// do not see one another's newest requests, so that less is often gone when a
// small customer comes.
func (h *host) spare(slots float64) float64 {
	reserved := max(1, math.Ceil(slots/4))
	return slots - reserved - float64(h.load())
}

// best chooses among the prefix's homes, hosts that probably hold it and a few
// random ones by cost. The random ones are the power of two choices: entries
// that act on the same stale report do not all meet on the same host.
func (t *Table) best(now time.Time, ask Ask) *host {
	var found shortlist
	t.ring.walk(ask.Prefix, ringPoints, func(i int) bool {
		if t.open(now, t.hosts[i], ask) {
			found.add(t.hosts[i])
		}
		return found.count < homes
	})
	t.hints.holders(now, ask.Prefix, func(id string) {
		if each := t.byID[id]; each != nil && t.open(now, each, ask) {
			found.add(each)
		}
	})
	t.sample(now, ask, &found)
	if found.count == 0 {
		t.scan(now, ask, &found)
	}
	return t.cheapest(now, ask, found)
}

func (t *Table) sample(now time.Time, ask Ask, found *shortlist) {
	wanted := found.count + randomSamples
	for range randomTries {
		each := t.hosts[t.random.IntN(len(t.hosts))]
		if t.open(now, each, ask) {
			found.add(each)
		}
		if found.count >= wanted {
			return
		}
	}
}

// scan looks at hosts in order from a random one until the shortlist is full.
func (t *Table) scan(now time.Time, ask Ask, found *shortlist) {
	start := t.random.IntN(len(t.hosts))
	for n := range min(len(t.hosts), fullScanHosts) {
		each := t.hosts[(start+n)%len(t.hosts)]
		if t.open(now, each, ask) && !found.add(each) {
			return
		}
	}
}

func (t *Table) cheapest(now time.Time, ask Ask, found shortlist) *host {
	var chosen *host
	lowest := 0.0
	for _, each := range found.hosts[:found.count] {
		cost := t.cost(now, each, ask)
		if chosen == nil || cost < lowest {
			chosen, lowest = each, cost
		}
	}
	return chosen
}

// cost estimates in milliseconds how long the attempt would take on the host.
func (t *Table) cost(now time.Time, each *host, ask Ask) float64 {
	slots := max(1, float64(each.slots())*each.ramp(now))
	load := float64(each.load())
	gap := t.gapOf(each)
	service := gap * float64(min(max(ask.Tokens, 1), maxTokensCost))
	penalty := t.typical.missPenalty()
	cost := service + t.distance(each)
	// Sharing an engine slows everybody on it a little.
	cost += load / slots * penalty
	if waiting := load + 1 - slots; waiting > 0 {
		cost += waiting / slots * service
	}
	if !t.holds(now, each, ask.Prefix) {
		cost += penalty
	}
	return cost * float64(1+each.failures)
}

func (t *Table) gapOf(each *host) float64 {
	switch {
	case each.gapSamples > 0:
		return each.gap
	case each.TokenGap > 0 && !each.probing:
		return float64(each.TokenGap) / float64(time.Millisecond)
	case t.typical.gapMillis > 0:
		return t.typical.gapMillis
	default:
		return typicalGap
	}
}

func (t *Table) distance(each *host) float64 {
	switch {
	case each.FailureDomain == t.options.FailureDomain:
		return 0
	case each.Region == t.options.Region:
		return sameRegionCost
	default:
		return otherRegion
	}
}

// holds reports whether the host probably has the prefix cached.
func (t *Table) holds(now time.Time, each *host, prefix uint64) bool {
	held := false
	t.hints.holders(now, prefix, func(id string) { held = held || id == each.ID })
	return held
}

// shortlist is a small set of hosts; it needs no allocation.
type shortlist struct {
	hosts [homes + hostsPerPrefix + randomSamples]*host
	count int
}

// add reports whether there is room for more.
func (s *shortlist) add(each *host) bool {
	for _, other := range s.hosts[:s.count] {
		if other == each {
			return true
		}
	}
	if s.count < len(s.hosts) {
		s.hosts[s.count] = each
		s.count++
	}
	return s.count < len(s.hosts)
}

// Package deal assigns the engines of a fleet to its entries: which entries send requests to an
// engine, and which of them send guidance, the wanted state, to its host.
//
// Each entry computes its own assignments from the registered entries and engines, without a
// coordinator. Entries that know the same deployment agree, and an entry that joins or leaves
// changes few assignments. The number of engines that an entry follows grows with the number of
// engines per entry, not with the size of the fleet.
package deal

import (
	"cmp"
	"slices"

	"comfreyrelay.example/relay/rendezvous"
)

// Shares sets how many engines are assigned to an entry.
type Shares struct {
	// Near is the number of engines of its failure domain that an entry sends to if there are many.
	Near int
	// Senders is the least number of entries of its failure domain that send to an engine.
	Senders int
	// Far bounds the engines of other failure domains that an entry sends to.
	Far int
}

// DefaultShares holds the shares in use. With few senders, fewer requests compete for a free slot; with
// more than one, an engine survives the loss of a sender. Engines of other domains help a failure
// domain that gets more requests than others.
var DefaultShares = Shares{Near: 5, Senders: 3, Far: 8}

const (
	// localGuidanceSenders is the number of entries of its own failure domain that send guidance to
	// a host. An entry cut off from the store sends outdated guidance until its registration
	// lapses; the others send the current one.
	localGuidanceSenders = 3
	// remoteGuidanceSenders is the number of entries of other failure domains that do so too: all
	// entries of one region may be cut off together.
	remoteGuidanceSenders = 2
)

// Reach is the relation of an entry to an engine.
type Reach int

// Relations of an entry to an engine, the closest last.
const (
	Outside Reach = iota // left to other entries
	Far                  // engine of another failure domain, assigned to this entry within its own domain
	Near                 // engine of this entry's failure domain, with another home entry
	Home                 // engine whose home is this entry
)

// String returns the name used in logs.
func (r Reach) String() string { return [...]string{"outside", "far", "near", "home"}[r] }

// Place identifies an entry or an engine and its location.
type Place struct {
	ID            string // entry id or engine address
	Region        string
	FailureDomain string
}

// Assignment is an entry's assignment for an engine.
type Assignment struct {
	Reach Reach
	// SendsGuidance is set if the entry sends guidance to the engine's host.
	SendsGuidance bool
}

// Assigner computes the assignments of one entry from the entries that it knows.
type Assigner struct {
	shares          Shares
	self            Place
	local           []entry // entries of self's failure domain, including self, by id
	domains         []domain
	entriesByDomain map[string]int // number of entries by failure domain
}

type entry struct {
	id   string
	seed uint64
}

type domain struct {
	name, region string
	seed         uint64
}

// New returns the Assigner of self. others are the other entries and may include self.
func New(self Place, others []Place) *Assigner { return NewWith(DefaultShares, self, others) }

// NewWith is New with custom shares, for comparisons.
func NewWith(shares Shares, self Place, others []Place) *Assigner {
	a := &Assigner{shares: shares, self: self, entriesByDomain: map[string]int{}}
	known := append([]Place{self}, slices.DeleteFunc(slices.Clone(others), func(place Place) bool { return place.ID == self.ID })...)
	for _, place := range known {
		if a.entriesByDomain[place.FailureDomain]++; a.entriesByDomain[place.FailureDomain] == 1 {
			a.domains = append(a.domains, domain{place.FailureDomain, place.Region, rendezvous.Seed(place.FailureDomain)})
		}
		if place.FailureDomain == self.FailureDomain {
			a.local = append(a.local, entry{place.ID, rendezvous.Seed(place.ID)})
		}
	}
	slices.SortFunc(a.local, func(left, right entry) int { return cmp.Compare(left.id, right.id) })
	return a
}

// Assignments returns the entry's assignments by engine address, leaving out engines that are not
// assigned to it.
func (a *Assigner) Assignments(engines []Place) map[string]Assignment {
	parts := map[string]Assignment{}
	var local, remote []Place
	for _, eng := range engines {
		if eng.FailureDomain == a.self.FailureDomain {
			local = append(local, eng)
		} else {
			remote = append(remote, eng)
		}
	}
	a.assignLocal(local, parts)
	a.assignRemote(remote, parts)
	return parts
}

// assignLocal assigns the engines of the entry's failure domain. Homes are spread evenly: if the
// highest-ranked entry has its quota, the engine goes to the next one.
func (a *Assigner) assignLocal(engines []Place, parts map[string]Assignment) {
	sortByAddress(engines)
	senders := a.senders(len(engines))
	quota := (len(engines) + len(a.local) - 1) / len(a.local)
	homes := make([]int, len(a.local))
	for _, eng := range engines {
		order := a.rankEntries(eng)
		home := slices.IndexFunc(order, func(at int) bool { return homes[at] < quota })
		homes[order[home]]++
		rank := slices.IndexFunc(order, func(at int) bool { return a.local[at].id == a.self.ID })
		part := Assignment{SendsGuidance: rank < localGuidanceSenders}
		switch {
		case rank == home:
			part.Reach = Home
		case rank < senders:
			part.Reach = Near
		}
		if part != (Assignment{}) {
			parts[eng.ID] = part
		}
	}
}

// senders returns how many entries of the failure domain send to each of its engines.
func (a *Assigner) senders(engines int) int {
	if engines == 0 {
		return 0
	}
	wanted := (a.shares.Near*len(a.local) + engines - 1) / engines
	return min(len(a.local), max(a.shares.Senders, wanted))
}

// rankEntries returns the indexes in local of the failure domain's entries, the highest-ranked for
// the engine first.
func (a *Assigner) rankEntries(eng Place) []int {
	seed := rendezvous.Seed(eng.ID)
	order := make([]int, len(a.local))
	scores := make([]uint64, len(a.local))
	for at, ent := range a.local {
		order[at], scores[at] = at, rendezvous.Score(seed, ent.seed)
	}
	slices.SortFunc(order, func(left, right int) int {
		if scores[left] != scores[right] {
			return cmp.Compare(scores[right], scores[left])
		}
		return cmp.Compare(left, right)
	})
	return order
}

// assignRemote assigns the engines of other failure domains evenly, each to one entry of this
// domain, engines in the same region first. If there are more than the domain's entries can follow,
// a hash of the domain decides which are left to others.
func (a *Assigner) assignRemote(engines []Place, parts map[string]Assignment) {
	for _, eng := range engines {
		if a.rankOfSelf(eng) < a.remoteGuidanceShare(eng) {
			parts[eng.ID] = Assignment{SendsGuidance: true}
		}
	}
	a.sortRemote(engines)
	quota := min(a.shares.Far, (len(engines)+len(a.local)-1)/len(a.local))
	assigned := make([]int, len(a.local))
	assignable := quota * len(a.local)
	for _, eng := range engines[:min(assignable, len(engines))] {
		order := a.rankEntries(eng)
		assignee := order[slices.IndexFunc(order, func(at int) bool { return assigned[at] < quota })]
		assigned[assignee]++
		if a.local[assignee].id == a.self.ID {
			parts[eng.ID] = Assignment{Reach: Far, SendsGuidance: parts[eng.ID].SendsGuidance}
		}
	}
}

// sortRemote sorts engines into the order in which this failure domain assigns them.
func (a *Assigner) sortRemote(engines []Place) {
	seed := rendezvous.Seed(a.self.FailureDomain)
	score := func(eng Place) uint64 { return rendezvous.Score(seed, rendezvous.Seed(eng.ID)) }
	slices.SortFunc(engines, func(left, right Place) int {
		if leftInRegion := left.Region == a.self.Region; leftInRegion != (right.Region == a.self.Region) {
			if leftInRegion {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(right), score(left)), cmp.Compare(left.ID, right.ID))
	})
}

// rankOfSelf returns how many entries of the failure domain rank before this one for the engine.
func (a *Assigner) rankOfSelf(eng Place) int {
	seed := rendezvous.Seed(eng.ID)
	own := rendezvous.Score(seed, rendezvous.Seed(a.self.ID))
	rank := 0
	for _, other := range a.local {
		if rendezvous.Score(seed, other.seed) > own {
			rank++
		}
	}
	return rank
}

// remoteGuidanceShare returns how many entries of this failure domain send guidance to the host of
// an engine in another domain. The domains that rank first for the engine provide one each, those
// of other regions first. If there are fewer domains than needed, some provide more than one.
func (a *Assigner) remoteGuidanceShare(eng Place) int {
	wanted := localGuidanceSenders + remoteGuidanceSenders - min(localGuidanceSenders, a.entriesByDomain[eng.FailureDomain])
	seed := rendezvous.Seed(eng.ID)
	ahead, others := 0, 0
	own := rendezvous.Score(seed, rendezvous.Seed(a.self.FailureDomain))
	for _, dom := range a.domains {
		if dom.name == eng.FailureDomain {
			continue
		}
		others++
		if dom.name == a.self.FailureDomain {
			continue
		}
		otherRegion, selfOtherRegion := dom.region != eng.Region, a.self.Region != eng.Region
		if otherRegion != selfOtherRegion {
			if otherRegion {
				ahead++
			}
			continue
		}
		if rendezvous.Score(seed, dom.seed) > own {
			ahead++
		}
	}
	return max(0, wanted-ahead+others-1) / others
}

func sortByAddress(engines []Place) {
	slices.SortFunc(engines, func(left, right Place) int { return cmp.Compare(left.ID, right.ID) })
}

// Package deal shares the engines of a fleet out among its entries: which entry
// sends to which engine, and which of them send an engine's host what is wanted.
//
// Each entry computes its own part from who is registered; nobody leads. Entries that
// know the same agree, and one that comes or goes moves few engines. The engines that an entry
// follows grow with the engines for each entry and not with the fleet.
package deal

import (
	"cmp"
	"slices"

	"comfreyrelay.example/relay/rendezvous"
)

// Shares says how many engines an entry has a part in.
type Shares struct {
	// Near is the engines of its failure domain that an entry sends to where there are
	// many.
	Near int
	// Senders is the entries of its failure domain at least that send to an engine.
	Senders int
	// Far bounds the engines of other failure domains that an entry sends to.
	Far int
}

// Usual is the shares in use. Few senders crowd a free slot less; more than one survive the loss
// of another. Engines of other domains help a failure domain that gets more requests than others.
var Usual = Shares{Near: 5, Senders: 3, Far: 8}

const (
	// nearGuides is the entries of its own failure domain that send a host what is wanted. One
	// that is cut off from the store sends old guidance until its registration lapses; others
	// send the new one.
	localGuidanceSenders = 3
	// farGuides is the entries of other failure domains that do so too: all entries
	// of one region may be cut off together.
	remoteGuidanceSenders = 2
)

// Reach says how an entry stands to an engine.
type Reach int

// The reaches, the closest last.
const (
	Outside Reach = iota // left to other entries
	Far                  // of another failure domain, dealt to this entry of its own
	Near                 // of this entry's failure domain, home to another entry
	Home                 // home to this entry
)

// String returns the name for logs.
func (r Reach) String() string { return [...]string{"outside", "far", "near", "home"}[r] }

// Place is where an entry or an engine stands.
type Place struct {
	ID            string // of an entry, or the address of an engine
	Region        string
	FailureDomain string
}

// Part is what an entry has to do with an engine.
type Part struct {
	Reach Reach
	// Guide: the entry sends the engine's host what is wanted.
	Guide bool
}

// Deal holds the entries that share the engines, as one of them knows them.
type Deal struct {
	shares          Shares
	self            Place
	local           []entry // of self's failure domain, self among them, by id
	domains         []domain
	entriesByDomain map[string]int // entries by failure domain
}

type entry struct {
	id   string
	seed uint64
}

type domain struct {
	name, region string
	seed         uint64
}

// New returns the deal of an entry among others; it may be one of them.
func New(self Place, others []Place) *Deal { return NewWith(Usual, self, others) }

// NewWith is New with other shares, for those who compare them.
func NewWith(shares Shares, self Place, others []Place) *Deal {
	d := &Deal{shares: shares, self: self, entriesByDomain: map[string]int{}}
	known := append([]Place{self}, slices.DeleteFunc(slices.Clone(others), func(place Place) bool { return place.ID == self.ID })...)
	for _, place := range known {
		if d.entriesByDomain[place.FailureDomain]++; d.entriesByDomain[place.FailureDomain] == 1 {
			d.domains = append(d.domains, domain{place.FailureDomain, place.Region, rendezvous.Seed(place.FailureDomain)})
		}
		if place.FailureDomain == self.FailureDomain {
			d.local = append(d.local, entry{place.ID, rendezvous.Seed(place.ID)})
		}
	}
	slices.SortFunc(d.local, func(left, right entry) int { return cmp.Compare(left.id, right.id) })
	return d
}

// Parts returns the entry's part in each engine, by address. Engines in which it has
// none are left out.
func (d *Deal) Parts(engines []Place) map[string]Part {
	parts := map[string]Part{}
	var local, remote []Place
	for _, eng := range engines {
		if eng.FailureDomain == d.self.FailureDomain {
			local = append(local, eng)
		} else {
			remote = append(remote, eng)
		}
	}
	d.assignLocal(local, parts)
	d.assignRemote(remote, parts)
	return parts
}

// shareOwn deals the engines of the entry's failure domain. Homes are dealt evenly: an
// engine whose best entry has its share goes to the next one.
func (d *Deal) assignLocal(engines []Place, parts map[string]Part) {
	sortByAddress(engines)
	senders := d.senders(len(engines))
	quota := (len(engines) + len(d.local) - 1) / len(d.local)
	homes := make([]int, len(d.local))
	for _, eng := range engines {
		order := d.rankEntries(eng)
		home := slices.IndexFunc(order, func(at int) bool { return homes[at] < quota })
		homes[order[home]]++
		rank := slices.IndexFunc(order, func(at int) bool { return d.local[at].id == d.self.ID })
		part := Part{Guide: rank < localGuidanceSenders}
		switch {
		case rank == home:
			part.Reach = Home
		case rank < senders:
			part.Reach = Near
		}
		if part != (Part{}) {
			parts[eng.ID] = part
		}
	}
}

// senders returns how many entries of the failure domain send to each of its engines.
func (d *Deal) senders(engines int) int {
	if engines == 0 {
		return 0
	}
	wanted := (d.shares.Near*len(d.local) + engines - 1) / engines
	return min(len(d.local), max(d.shares.Senders, wanted))
}

// rank returns the entries of the failure domain, the best for the engine first, by
// their places in near.
func (d *Deal) rankEntries(eng Place) []int {
	seed := rendezvous.Seed(eng.ID)
	order := make([]int, len(d.local))
	scores := make([]uint64, len(d.local))
	for at, ent := range d.local {
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

// shareFar deals engines of other failure domains evenly, each to one entry of this
// domain, those of its region first. Where there are more than its entries can follow,
// a hash of the domain says which are left to others.
func (d *Deal) assignRemote(engines []Place, parts map[string]Part) {
	for _, eng := range engines {
		if d.rankOfSelf(eng) < d.remoteGuidanceShare(eng) {
			parts[eng.ID] = Part{Guide: true}
		}
	}
	d.sortRemote(engines)
	quota := min(d.shares.Far, (len(engines)+len(d.local)-1)/len(d.local))
	assigned := make([]int, len(d.local))
	assignable := quota * len(d.local)
	for _, eng := range engines[:min(assignable, len(engines))] {
		order := d.rankEntries(eng)
		assignee := order[slices.IndexFunc(order, func(at int) bool { return assigned[at] < quota })]
		assigned[assignee]++
		if d.local[assignee].id == d.self.ID {
			parts[eng.ID] = Part{Reach: Far, Guide: parts[eng.ID].Guide}
		}
	}
}

// orderFar puts engines into the order in which this failure domain deals them.
func (d *Deal) sortRemote(engines []Place) {
	seed := rendezvous.Seed(d.self.FailureDomain)
	score := func(eng Place) uint64 { return rendezvous.Score(seed, rendezvous.Seed(eng.ID)) }
	slices.SortFunc(engines, func(left, right Place) int {
		if leftInRegion := left.Region == d.self.Region; leftInRegion != (right.Region == d.self.Region) {
			if leftInRegion {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(right), score(left)), cmp.Compare(left.ID, right.ID))
	})
}

// rankOfSelf returns how many entries of the failure domain go before this one for
// the engine.
func (d *Deal) rankOfSelf(eng Place) int {
	seed := rendezvous.Seed(eng.ID)
	own := rendezvous.Score(seed, rendezvous.Seed(d.self.ID))
	rank := 0
	for _, other := range d.local {
		if rendezvous.Score(seed, other.seed) > own {
			rank++
		}
	}
	return rank
}

// farShare returns how many entries of this failure domain guide the host of an engine
// in another one: those domains that rank first for it give one each, those of other
// regions first, and in turn where there are few.
func (d *Deal) remoteGuidanceShare(eng Place) int {
	wanted := localGuidanceSenders + remoteGuidanceSenders - min(localGuidanceSenders, d.entriesByDomain[eng.FailureDomain])
	seed := rendezvous.Seed(eng.ID)
	ahead, others := 0, 0
	own := rendezvous.Score(seed, rendezvous.Seed(d.self.FailureDomain))
	for _, dom := range d.domains {
		if dom.name == eng.FailureDomain {
			continue
		}
		others++
		if dom.name == d.self.FailureDomain {
			continue
		}
		otherRegion, selfOtherRegion := dom.region != eng.Region, d.self.Region != eng.Region
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

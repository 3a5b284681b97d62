package control

import (
	"cmp"
	"slices"
	"time"

	"comfreyrelay.example/relay/rendezvous"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// Distance of an entry from the agent; lower is closer.
const (
	sameDomain = iota
	sameRegion
	elsewhere
)

// candidates ranks the entries as home entries for the agent: first those not to
// be avoided, then by distance, then by rendezvous hash. The hash spreads the
// agents of a failure domain over its entries and reassigns them only when an
// entry is added or removed.
func candidates(self *wire.Node, entries []*wire.Node, avoided func(id string) bool) []*wire.Node {
	type ranked struct {
		node     *wire.Node
		avoided  bool
		distance int
		score    uint64
	}
	key := rendezvous.Seed(self.GetId())
	list := make([]ranked, 0, len(entries))
	for _, entry := range entries {
		if entry.GetControlAddress() == "" {
			continue
		}
		list = append(list, ranked{
			node:     entry,
			avoided:  avoided(entry.GetId()),
			distance: distance(self, entry),
			score:    rendezvous.Score(key, rendezvous.Seed(entry.GetId())),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.avoided != b.avoided {
			if a.avoided {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score))
	})
	nodes := make([]*wire.Node, len(list))
	for i := range list {
		nodes[i] = list[i].node
	}
	return nodes
}

func distance(self, entry *wire.Node) int {
	switch {
	case entry.GetFailureDomain() == self.GetFailureDomain():
		return sameDomain
	case entry.GetRegion() == self.GetRegion():
		return sameRegion
	}
	return elsewhere
}

// penalties tracks entries that failed to reply and until when to avoid them.
type penalties struct {
	until map[string]time.Time
	count map[string]int
}

const (
	minPenalty = time.Second
	maxPenalty = 30 * time.Second
)

func newPenalties() *penalties {
	return &penalties{until: map[string]time.Time{}, count: map[string]int{}}
}

// add penalizes an entry that failed. The penalty doubles with each failure in
// a row, up to maxPenalty.
func (p *penalties) add(id string, now time.Time) {
	wait := min(minPenalty<<min(p.count[id], 8), maxPenalty)
	p.count[id]++
	p.until[id] = now.Add(wait)
}

// clear removes the penalty of an entry that replied.
func (p *penalties) clear(id string) {
	delete(p.until, id)
	delete(p.count, id)
}

// active reports whether an entry is to be avoided at the given time.
func (p *penalties) active(id string, now time.Time) bool { return now.Before(p.until[id]) }

// draining returns the ids of entries that report that they are leaving.
func draining(entries []view.Peer) map[string]bool {
	ids := map[string]bool{}
	for _, entry := range entries {
		if entry.Leaving() {
			ids[entry.Report().GetNode().GetId()] = true
		}
	}
	return ids
}

// Package spread decides how reports are distributed between nodes: which entries an entry
// keeps calls to, which reports go into one message, and which hosts are reported to an agent.
package spread

import (
	"slices"
	"strings"

	"comfreyrelay.example/relay/rendezvous"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxFullMesh is the number of other entries up to which each entry calls all others.
	maxFullMesh = 12
	// maxNearNeighbours bounds the calls to entries of the same failure domain.
	maxNearNeighbours = 4
	// maxFarNeighbours bounds the calls to entries of other failure domains.
	maxFarNeighbours = 3
)

// IsFullMesh reports whether a deployment with the given number of entries, this one included,
// is so small that each entry calls all others. An entry then sends its own observations to all
// others itself; relaying those of others would multiply the bytes by the number of entries.
func IsFullMesh(entries int) bool { return entries <= maxFullMesh+1 }

// Neighbours returns those of the given entries that self keeps a call to. A few are in its own
// failure domain and a few in others, both chosen by rendezvous hash, and one is the next by id:
// along the ring of ids updates reach every entry even if the hashed choices leave a group
// unconnected.
func Neighbours(self *wire.Node, entries []*wire.Node) []*wire.Node {
	others := slices.DeleteFunc(slices.Clone(entries), func(node *wire.Node) bool {
		return node.GetId() == self.GetId() || node.GetControlAddress() == ""
	})
	if len(others) <= maxFullMesh {
		return others
	}
	byID := make(map[string]*wire.Node, len(others))
	var near, far []string
	for _, node := range others {
		byID[node.GetId()] = node
		if node.GetFailureDomain() == self.GetFailureDomain() {
			near = append(near, node.GetId())
		} else {
			far = append(far, node.GetId())
		}
	}
	chosen := []string{successor(self.GetId(), others)}
	chosen = append(chosen, rendezvous.Top(self.GetId(), near, maxNearNeighbours)...)
	chosen = append(chosen, rendezvous.Top(self.GetId(), far, maxFarNeighbours)...)
	slices.Sort(chosen)
	chosen = slices.Compact(chosen)
	nodes := make([]*wire.Node, len(chosen))
	for i, id := range chosen {
		nodes[i] = byID[id]
	}
	return nodes
}

// successor returns the next id after the given one in the ring of all ids.
func successor(id string, others []*wire.Node) string {
	first, next := "", ""
	for _, node := range others {
		other := node.GetId()
		if first == "" || strings.Compare(other, first) < 0 {
			first = other
		}
		if other > id && (next == "" || other < next) {
			next = other
		}
	}
	if next == "" {
		return first
	}
	return next
}

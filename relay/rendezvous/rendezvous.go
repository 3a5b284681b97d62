// Package rendezvous ranks nodes for a key by highest random weight hashing:
// processes that know the same nodes agree on the order, and adding or removing
// a node moves only the keys that it ranks first for.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Seed returns the hash of a key or node name, as Score expects it.
func Seed(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of a node for a key, both given as seeds.
func Score(key, node uint64) uint64 {
	return Mix(Mix(key) ^ node)
}

// Mix scrambles all bits of x (the finaliser of splitmix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Top returns the n best nodes for the key, best first.
func Top(key string, nodes []string, n int) []string {
	type scored struct {
		score uint64
		node  string
	}
	seed := Seed(key)
	ranked := make([]scored, 0, len(nodes))
	for _, node := range nodes {
		ranked = append(ranked, scored{Score(seed, Seed(node)), node})
	}
	slices.SortFunc(ranked, func(left, right scored) int {
		return cmp.Or(cmp.Compare(right.score, left.score), cmp.Compare(left.node, right.node))
	})
	best := make([]string, 0, min(n, len(ranked)))
	for _, one := range ranked[:min(n, len(ranked))] {
		best = append(best, one.node)
	}
	return best
}

// Rank returns how many of nodes rank before node for the key. The node itself
// need not be among them.
func Rank(key, node string, nodes []string) int {
	seed := Seed(key)
	own := Score(seed, Seed(node))
	rank := 0
	for _, other := range nodes {
		score := Score(seed, Seed(other))
		if score > own || score == own && other < node {
			rank++
		}
	}
	return rank
}

// Package rendezvous ranks nodes for a key by highest random weight hashing:
// all who know the same nodes agree on the order, and a node that comes or goes
// moves only the keys it ranks first for.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Seed returns the hash that stands for a key or a node in Score.
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
	seed := Seed(key)
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(left, right string) int {
		order := cmp.Compare(Score(seed, Seed(right)), Score(seed, Seed(left)))
		if order != 0 {
			return order
		}
		return cmp.Compare(left, right)
	})
	return ranked[:min(n, len(ranked))]
}

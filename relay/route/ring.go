package route

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// pointsPerHost is the number of points that a host has on the ring.
const pointsPerHost = 32

// ring is a consistent-hash ring. Entries that know the same hosts map a prefix to
// the same hosts without communicating, and a host that joins or leaves moves only
// its own prefixes.
type ring struct {
	points []point // sorted by hash
}

type point struct {
	hash uint64
	host int // index into Table.hosts
}

func newRing(hosts []*hostState) ring {
	points := make([]point, 0, len(hosts)*pointsPerHost)
	for i, host := range hosts {
		seed := xxhash.Sum64String(host.ID)
		for n := range pointsPerHost {
			points = append(points, point{hashPair(seed, uint64(n)), i})
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		default:
			return a.host - b.host
		}
	})
	return ring{points: points}
}

func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// walk visits the hosts of the ring, starting at the prefix's position, until visit
// returns false or limit points were passed. A host may be visited more than once.
func (r ring) walk(prefix uint64, limit int, visit func(host int) bool) {
	if len(r.points) == 0 {
		return
	}
	hash := hashPair(prefix, 0)
	start := sort.Search(len(r.points), func(i int) bool { return r.points[i].hash >= hash })
	for n := range min(limit, len(r.points)) {
		if !visit(r.points[(start+n)%len(r.points)].host) {
			return
		}
	}
}

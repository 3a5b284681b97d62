package route

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds of the hints.
const (
	maxHintedPrefixes = 8192
	hostsPerPrefix    = 4
	placementHintTTL  = time.Minute      // of our own placements
	reportHintTTL     = 20 * time.Second // of the hosts' reports
)

// hints remembers which hosts probably hold a prefix. Cache events come late
// and with gaps, so a hint is no proof, and it expires.
type hints struct {
	byPrefix *simplelru.LRU[uint64, []hint]
}

type hint struct {
	host    string // id
	expires time.Time
}

func newHints() hints {
	lru, err := simplelru.NewLRU[uint64, []hint](maxHintedPrefixes, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return hints{byPrefix: lru}
}

// add notes that the host probably holds the prefix until expires.
func (h hints) add(prefix uint64, host string, expires time.Time) {
	holders, _ := h.byPrefix.Get(prefix)
	for i := range holders {
		if holders[i].host == host {
			if expires.After(holders[i].expires) {
				holders[i].expires = expires
			}
			return
		}
	}
	if len(holders) >= hostsPerPrefix {
		holders = append(holders[:0], holders[1:]...)
	}
	h.byPrefix.Add(prefix, append(holders, hint{host, expires}))
}

// holders calls visit with the hosts that probably hold the prefix.
func (h hints) forEachHolder(now time.Time, prefix uint64, visit func(host string)) {
	holders, _ := h.byPrefix.Get(prefix)
	for _, holder := range holders {
		if holder.expires.After(now) {
			visit(holder.host)
		}
	}
}

package route

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds on prefix hints.
const (
	maxHintedPrefixes = 8192
	hostsPerPrefix    = 4
	placementHintTTL  = time.Minute      // for this entry's own attempts
	reportHintTTL     = 20 * time.Second // for prefixes in hosts' reports
)

// hints records which hosts probably have a prefix cached. Cache events are late
// and incomplete, so a hint may be wrong, and it expires.
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
		panic(err) // only possible for a size below 1
	}
	return hints{byPrefix: lru}
}

// add records that the host probably has the prefix cached until expires. If too
// many hosts are recorded for the prefix, the oldest entry is dropped.
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

// forEachHolder calls visit for each host that probably has the prefix cached.
func (h hints) forEachHolder(now time.Time, prefix uint64, visit func(host string)) {
	holders, _ := h.byPrefix.Get(prefix)
	for _, holder := range holders {
		if holder.expires.After(now) {
			visit(holder.host)
		}
	}
}

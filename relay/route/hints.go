package route

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds of the hints.
const (
	maxHintedPrefixes = 8192
	hostsPerPrefix    = 4
	placedHintAge     = time.Minute      // of our own placements
	reportedHintAge   = 20 * time.Second // of the hosts' reports
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
	known, _ := h.byPrefix.Get(prefix)
	for i := range known {
		if known[i].host == host {
			if expires.After(known[i].expires) {
				known[i].expires = expires
			}
			return
		}
	}
	if len(known) >= hostsPerPrefix {
		known = append(known[:0], known[1:]...)
	}
	h.byPrefix.Add(prefix, append(known, hint{host, expires}))
}

// holders calls visit with the hosts that probably hold the prefix.
func (h hints) holders(now time.Time, prefix uint64, visit func(host string)) {
	known, _ := h.byPrefix.Get(prefix)
	for _, each := range known {
		if each.expires.After(now) {
			visit(each.host)
		}
	}
}

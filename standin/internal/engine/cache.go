package engine

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Kinds of cache event.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)

// maxEvents limits the events kept for readers; the oldest are dropped first.
const maxEvents = 1024

// CacheEvent reports that a prefix was stored in the cache or evicted from it.
type CacheEvent struct {
	// N increases by one with each event; a gap means that an event was lost.
	N      uint64 `json:"n"`
	Prefix string `json:"prefix"`
	Kind   string `json:"kind"`

	at time.Time
}

// prefixCache is a bounded LRU cache of prompt prefixes. Engine.mu guards it.
type prefixCache struct {
	prefixes *simplelru.LRU[uint64, struct{}]
	loss     float64 // fraction of events that are dropped
	losses   *rand.Rand
	next     uint64
	events   []CacheEvent // oldest first, at most maxEvents
	now      time.Time    // time of the current change, read by record
}

func newPrefixCache(size int, loss float64, losses *rand.Rand) *prefixCache {
	cache := &prefixCache{loss: loss, losses: losses}
	evicted := func(prefix uint64, _ struct{}) { cache.record(prefix, eventEvicted) }
	prefixes, err := simplelru.NewLRU(max(size, 1), evicted)
	if err != nil {
		panic(err) // only a size below 1 gives an error
	}
	cache.prefixes = prefixes
	return cache
}

// use reports whether the prefix was already cached, and adds it if not.
func (c *prefixCache) use(prefix uint64, now time.Time) bool {
	c.now = now
	if _, hit := c.prefixes.Get(prefix); hit {
		return true
	}
	c.prefixes.Add(prefix, struct{}{})
	c.record(prefix, eventStored)
	return false
}

// clear evicts all prefixes, since they are not valid for newly loaded weights.
func (c *prefixCache) clear(now time.Time) {
	c.now = now
	c.prefixes.Purge()
}

// record appends an event, unless the configured loss drops it.
func (c *prefixCache) record(prefix uint64, kind string) {
	c.next++
	if c.losses.Float64() < c.loss {
		return
	}
	event := CacheEvent{N: c.next, Prefix: strconv.FormatUint(prefix, 10), Kind: kind, at: c.now}
	c.events = append(c.events, event)
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0:0], c.events[len(c.events)-maxEvents/2:]...)
	}
}

// since returns the events numbered above after that happened no later than
// before, and the number to pass as after in the next call.
func (c *prefixCache) since(after uint64, before time.Time) ([]CacheEvent, uint64) {
	next := after
	found := []CacheEvent{}
	for _, event := range c.events {
		if event.at.After(before) {
			break
		}
		if event.N <= after {
			continue
		}
		found = append(found, event)
		next = event.N
	}
	return found, next
}

package engine

import (
	"context"
	"strconv"
)

// Kinds of CacheEvent.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent reports that the engine's prefix cache stored or evicted a prefix.
// Events may be late or missing, so they are only hints.
type CacheEvent struct {
	N      uint64 `json:"n"`
	Prefix string `json:"prefix"` // the prefix's hash in decimal
	Kind   string `json:"kind"`
}

// Hash returns the hash of the prefix. It reports false if the hash is malformed.
func (e CacheEvent) Hash() (uint64, bool) {
	hash, err := strconv.ParseUint(e.Prefix, 10, 64)
	return hash, err == nil
}

// CacheEvents returns the events with a number above after, and the value of after
// for the next call.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (events []CacheEvent, next uint64, err error) {
	var reply struct {
		Events []CacheEvent `json:"events"`
		Next   uint64       `json:"next"`
	}
	if err := c.getJSON(ctx, "/cache/events?after="+strconv.FormatUint(after, 10), &reply); err != nil {
		return nil, after, err
	}
	return reply.Events, reply.Next, nil
}

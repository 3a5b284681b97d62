package once

import (
	"sync"
	"time"
)

// shardCount splits the keys so that claims rarely wait for one another. It is
// a power of two.
const shardCount = 16

// Defaults of a Store, chosen so that its memory stays below 80 MiB.
const (
	DefaultMaxKeys        = 400_000
	DefaultMaxAnswerBytes = 16 << 20
)

// Store is the memory of one owner: Tables in shards, each under its own lock.
type Store struct {
	incarnation string // the owner that its keys name
	shards      [shardCount]storeShard
}

type storeShard struct {
	mu    sync.Mutex
	table *Table
}

// NewStore returns the empty memory of the entry with the incarnation.
func NewStore(incarnation string, options Options) *Store {
	store := &Store{incarnation: incarnation}
	each := Options{
		MaxKeys:        max(1, options.MaxKeys/shardCount),
		MaxAnswerBytes: options.MaxAnswerBytes / shardCount,
	}
	for i := range store.shards {
		store.shards[i].table = NewTable(each)
	}
	return store
}

// Claim decides about one claim; see Table.Claim.
func (s *Store) Claim(now time.Time, ask Claim) Verdict {
	if ask.Key.owner != s.incarnation {
		return Verdict{State: NotOwner}
	}
	shard := s.shardOf(ask.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.table.Claim(now, ask)
}

// Settle records how a run ended; see Table.Settle.
func (s *Store) Settle(now time.Time, ask Claim, outcome Outcome, answer []byte) bool {
	if ask.Key.owner != s.incarnation {
		return false
	}
	shard := s.shardOf(ask.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.table.Settle(now, ask, outcome, answer)
}

// Keys returns the number of keys remembered.
func (s *Store) Keys() int {
	total := 0
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		total += shard.table.Keys()
		shard.mu.Unlock()
	}
	return total
}

// shardOf uses the key's last byte, which is random in a UUIDv7.
func (s *Store) shardOf(key Key) *storeShard {
	return &s.shards[key.id[len(key.id)-1]%shardCount]
}

package once

import (
	"sync"
	"time"
)

// shardCount is the number of shards of a store, a power of two. Sharding keeps
// lock contention between claims low.
const shardCount = 16

// Default Options of an Authority; docs/design/requests.md states the memory
// that they take.
const (
	DefaultMaxKeys        = 400_000
	DefaultMaxAnswerBytes = 16 << 20
)

// store holds the keys of one owner in sharded Tables, each with its own lock.
type store struct {
	shards [shardCount]storeShard
}

type storeShard struct {
	mu     sync.Mutex
	table  *Table
	frozen bool // handed over: claims and settlements are no longer accepted
}

func newStore(options Options) *store {
	st := &store{}
	perShard := Options{
		MaxKeys:        max(1, options.MaxKeys/shardCount),
		MaxAnswerBytes: options.MaxAnswerBytes / shardCount,
	}
	for i := range st.shards {
		st.shards[i].table = NewTable(perShard)
	}
	return st
}

// claim decides a claim. It returns false if the key's shard is frozen.
func (s *store) claim(now time.Time, claim Claim) (Verdict, bool) {
	shard := s.shardOf(claim.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.frozen {
		return Verdict{}, false
	}
	return shard.table.Claim(now, claim), true
}

func (s *store) settle(now time.Time, claim Claim, outcome Outcome, answer []byte) bool {
	shard := s.shardOf(claim.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return !shard.frozen && shard.table.Settle(now, claim, outcome, answer)
}

func (s *store) keys() int {
	total := 0
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		total += shard.table.Keys()
		shard.mu.Unlock()
	}
	return total
}

// shardOf selects the key's shard by its last byte, which is random in a UUIDv7.
func (s *store) shardOf(key Key) *storeShard {
	return &s.shards[key.id[len(key.id)-1]%shardCount]
}

// freeze stops the store permanently and returns its floor and all records. A
// claim decided before its shard froze is in the records; a later one is not
// decided here.
func (s *store) freeze(now time.Time) (floor time.Time, records []byte) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		shard.frozen = true
		shard.table.advance(now)
		records = shard.table.appendRecords(records)
		if shard.table.floor.After(floor) {
			floor = shard.table.floor
		}
		shard.mu.Unlock()
	}
	return floor, records
}

package once

import (
	"sync"
	"time"
)

// shardCount splits the keys so that claims rarely wait for one another. It is
// a power of two.
const shardCount = 16

// Defaults of a Store; docs/design/requests.md gives the memory.
const (
	DefaultMaxKeys        = 400_000
	DefaultMaxAnswerBytes = 16 << 20
)

// store is the memory of one owner: Tables in shards, each under its own lock.
type store struct {
	shards [shardCount]storeShard
}

type storeShard struct {
	mu     sync.Mutex
	table  *Table
	frozen bool // handed over: nothing is granted or settled here any more
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

// claim returns false where the store is frozen.
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

// shardOf uses the key's last byte, which is random in a UUIDv7.
func (s *store) shardOf(key Key) *storeShard {
	return &s.shards[key.id[len(key.id)-1]%shardCount]
}

// freeze ends the store and returns all that it remembers. A claim that comes
// before the freeze of its shard is in the records; a later one gets nothing.
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

package gate

import (
	"context"
	"sync"
	"time"

	"comfreyrelay.example/relay/attempt"
)

const (
	// memoryShards spreads the attempts over locks.
	attemptShards = 16
	// retention outlasts the longest deadline, and TCP's last retransmission
	// of a delivery that hangs in the network.
	attemptRetention = 20 * time.Minute
	// rememberedRequests bounds all shards together; about 250 bytes each.
	maxRequests = 1 << 18
)

// memory is the agent's memory of attempts, in shards by request.
type attemptStore struct {
	shards [attemptShards]attemptShard
}

type attemptShard struct {
	mu       sync.Mutex
	attempts *attempt.Memory
	// cancels stops what runs; one for each attempt in state Running.
	cancels map[attemptKey]context.CancelFunc
}

type attemptKey struct {
	id     attempt.ID
	number uint32
}

func newAttemptStore(now time.Time) *attemptStore {
	store := &attemptStore{}
	limits := attempt.Limits{Retention: attemptRetention, Requests: maxRequests / attemptShards}
	for i := range store.shards {
		store.shards[i].attempts = attempt.NewMemory(limits, now)
		store.shards[i].cancels = map[attemptKey]context.CancelFunc{}
	}
	return store
}

// shard picks by the last byte: in a UUIDv7 the first ones are the time.
func (s *attemptStore) shard(id attempt.ID) *attemptShard {
	return &s.shards[id[len(id)-1]%attemptShards]
}

func (s *attemptStore) advance(now time.Time) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		shard.attempts.Step(now)
		shard.mu.Unlock()
	}
}

func (s *attemptStore) len() int {
	total := 0
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		total += shard.attempts.Len()
		shard.mu.Unlock()
	}
	return total
}

// begin judges a delivery; where it may begin, cancel stops it later. broken
// names an invariant that no longer holds.
func (s *attemptStore) begin(key attemptKey, repeatable bool, cancel context.CancelFunc) (verdict attempt.Verdict, violated string) {
	shard := s.shard(key.id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	verdict = shard.attempts.Begin(key.id, key.number, repeatable)
	if verdict == attempt.Begin {
		shard.cancels[key] = cancel
	}
	return verdict, shard.attempts.Check(key.id)
}

func (s *attemptStore) end(key attemptKey, ran bool) bool {
	shard := s.shard(key.id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.cancels, key)
	return shard.attempts.End(key.id, key.number, ran)
}

// cancel leaves a tombstone, or stops what runs.
func (s *attemptStore) cancel(key attemptKey) (state attempt.State, recorded bool) {
	shard := s.shard(key.id)
	shard.mu.Lock()
	state, recorded = shard.attempts.Cancel(key.id, key.number)
	cancel := shard.cancels[key]
	shard.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return state, recorded
}

// cancelAll stops everything that runs.
func (s *attemptStore) cancelAll() {
	for i := range s.shards {
		for _, cancel := range s.shards[i].cancelFuncs() {
			cancel()
		}
	}
}

func (s *attemptShard) cancelFuncs() []context.CancelFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancels := make([]context.CancelFunc, 0, len(s.cancels))
	for _, cancel := range s.cancels {
		cancels = append(cancels, cancel)
	}
	return cancels
}

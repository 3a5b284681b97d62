package gate

import (
	"context"
	"sync"
	"time"

	"comfreyrelay.example/relay/attempt"
)

const (
	// attemptShards is the number of shards, each with its own lock.
	attemptShards = 16
	// attemptRetention is how long an attempt is remembered. It is longer than
	// the longest deadline, and longer than TCP retransmits a delivery that is
	// stuck in the network.
	attemptRetention = 20 * time.Minute
	// maxRequests is the limit for all shards together. A request takes about
	// 250 bytes.
	maxRequests = 1 << 18
)

// attemptStore records the attempts that this process has seen, so that none
// runs twice. It is sharded by request ID.
type attemptStore struct {
	shards [attemptShards]attemptShard
}

type attemptShard struct {
	mu       sync.Mutex
	attempts *attempt.Memory
	// cancels holds the cancel function of each attempt in state Running.
	cancels map[attemptKey]context.CancelFunc
}

// attemptKey identifies one attempt of a request.
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

// shard selects a shard by the last byte of the ID. The first bytes of a UUIDv7
// are a timestamp and would not spread the requests.
func (s *attemptStore) shard(id attempt.ID) *attemptShard {
	return &s.shards[id[len(id)-1]%attemptShards]
}

// advance removes the requests whose retention is over.
func (s *attemptStore) advance(now time.Time) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		shard.attempts.Step(now)
		shard.mu.Unlock()
	}
}

// len returns the number of recorded requests.
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

// begin decides whether a delivered attempt may begin. If it may, the attempt is
// recorded as running, together with its cancel function. violated describes a
// violated invariant; it is empty if all hold.
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

// end records the end of a running attempt. It reports false if the attempt was
// not running. ran is false if the attempt is proved not to have run.
func (s *attemptStore) end(key attemptKey, ran bool) bool {
	shard := s.shard(key.id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.cancels, key)
	return shard.attempts.End(key.id, key.number, ran)
}

// cancel stops the attempt if it runs, or records a tombstone so that it never
// begins. recorded is false if the store is full; the attempt may then still
// begin.
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

// cancelAll stops all running attempts.
func (s *attemptStore) cancelAll() {
	for i := range s.shards {
		for _, cancel := range s.shards[i].cancelFuncs() {
			cancel()
		}
	}
}

// cancelFuncs returns the cancel functions of all running attempts. They are
// called without the lock.
func (s *attemptShard) cancelFuncs() []context.CancelFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancels := make([]context.CancelFunc, 0, len(s.cancels))
	for _, cancel := range s.cancels {
		cancels = append(cancels, cancel)
	}
	return cancels
}

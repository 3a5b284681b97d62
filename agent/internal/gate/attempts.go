package gate

import (
	"context"
	"sync"
	"time"

	"comfreyrelay.example/relay/attempt"
)

const (
	// memoryShards spreads the attempts over locks.
	memoryShards = 16
	// retention outlasts the longest deadline, and TCP's last retransmission
	// of a delivery that hangs in the network.
	retention = 20 * time.Minute
	// rememberedRequests bounds all shards together; about 250 bytes each.
	rememberedRequests = 1 << 18
)

// memory is the agent's memory of attempts, in shards by request.
type memory struct {
	shards [memoryShards]memoryShard
}

type memoryShard struct {
	mu       sync.Mutex
	attempts *attempt.Memory
	// cancels stops what runs; one for each attempt in state Running.
	cancels map[runKey]context.CancelFunc
}

type runKey struct {
	id     attempt.ID
	number uint32
}

func newMemory(now time.Time) *memory {
	mem := &memory{}
	limits := attempt.Limits{Retention: retention, Requests: rememberedRequests / memoryShards}
	for i := range mem.shards {
		mem.shards[i].attempts = attempt.NewMemory(limits, now)
		mem.shards[i].cancels = map[runKey]context.CancelFunc{}
	}
	return mem
}

// shard picks by the last byte: in a UUIDv7 the first ones are the time.
func (m *memory) shard(id attempt.ID) *memoryShard {
	return &m.shards[id[len(id)-1]%memoryShards]
}

func (m *memory) step(now time.Time) {
	for i := range m.shards {
		shard := &m.shards[i]
		shard.mu.Lock()
		shard.attempts.Step(now)
		shard.mu.Unlock()
	}
}

func (m *memory) len() int {
	total := 0
	for i := range m.shards {
		shard := &m.shards[i]
		shard.mu.Lock()
		total += shard.attempts.Len()
		shard.mu.Unlock()
	}
	return total
}

// begin judges a delivery; where it may begin, cancel stops it later. broken
// names an invariant that no longer holds.
func (m *memory) begin(key runKey, repeatable bool, cancel context.CancelFunc) (verdict attempt.Verdict, broken string) {
	shard := m.shard(key.id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	verdict = shard.attempts.Begin(key.id, key.number, repeatable)
	if verdict == attempt.Begin {
		shard.cancels[key] = cancel
	}
	return verdict, shard.attempts.Check(key.id)
}

func (m *memory) end(key runKey, ran bool) bool {
	shard := m.shard(key.id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.cancels, key)
	return shard.attempts.End(key.id, key.number, ran)
}

// cancel leaves a tombstone, or stops what runs.
func (m *memory) cancel(key runKey) (state attempt.State, stored bool) {
	shard := m.shard(key.id)
	shard.mu.Lock()
	state, stored = shard.attempts.Cancel(key.id, key.number)
	stop := shard.cancels[key]
	shard.mu.Unlock()
	if stop != nil {
		stop()
	}
	return state, stored
}

// cancelAll stops everything that runs.
func (m *memory) cancelAll() {
	for i := range m.shards {
		for _, stop := range m.shards[i].stops() {
			stop()
		}
	}
}

func (s *memoryShard) stops() []context.CancelFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	stops := make([]context.CancelFunc, 0, len(s.cancels))
	for _, stop := range s.cancels {
		stops = append(stops, stop)
	}
	return stops
}

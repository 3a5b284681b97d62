package onsite

import (
	"slices"
	"sync"

	"comfreyrelay.example/relay/failure"
)

// memoryStore keeps a bounded number of bytes of chunks in this process. Pending chunks
// belong to a version that cannot be staged yet, and this host has them nowhere else.
// Copies duplicate chunks that are staged at the engine, so that peers' requests for them
// need not read them back from the engine. It is safe for concurrent use.
type memoryStore struct {
	capacity int // bytes

	mu        sync.Mutex
	pending   map[digest][]byte // chunks of a version that cannot be staged yet
	copies    map[digest][]byte // chunks that are also staged at the engine
	copyOrder []digest          // keys of copies, oldest first
	usedBytes int               // total of pending and copies, at most capacity
}

func newMemoryStore(capacity int) *memoryStore {
	return &memoryStore{capacity: capacity, pending: map[digest][]byte{}, copies: map[digest][]byte{}}
}

// fits reports whether a version of this size fits into the store.
func (m *memoryStore) fits(bytes int) bool { return bytes <= m.capacity }

// get returns a pending chunk or a copy. The caller must not change its bytes.
func (m *memoryStore) get(sum digest) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if data, ok := m.pending[sum]; ok {
		return data, true
	}
	data, ok := m.copies[sum]
	return data, ok
}

// addPending keeps a chunk of a version that cannot be staged yet, and evicts copies to
// make room for it.
func (m *memoryStore) addPending(sum digest, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.pending[sum]; ok {
		return nil
	}
	m.dropCopy(sum)
	if !m.evictCopies(len(data)) {
		return failure.New(failure.Exhausted, "not enough memory to prefetch the next version", "it is fetched once it becomes the current one")
	}
	m.pending[sum] = slices.Clone(data)
	m.usedBytes += len(data)
	return nil
}

// markStaged records that a chunk was staged at the engine, and keeps a copy of it if
// there is room.
func (m *memoryStore) markStaged(sum digest, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if kept, ok := m.pending[sum]; ok {
		delete(m.pending, sum)
		m.copies[sum] = kept
		m.copyOrder = append(m.copyOrder, sum)
		return
	}
	if _, ok := m.copies[sum]; ok || !m.evictCopies(len(data)) {
		return
	}
	m.copies[sum] = slices.Clone(data)
	m.copyOrder = append(m.copyOrder, sum)
	m.usedBytes += len(data)
}

// drop removes a chunk, whether it is pending or a copy.
func (m *memoryStore) drop(sum digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usedBytes -= len(m.pending[sum])
	delete(m.pending, sum)
	m.dropCopy(sum)
}

// dropCopy removes a copy. The caller holds m.mu.
func (m *memoryStore) dropCopy(sum digest) {
	data, ok := m.copies[sum]
	if !ok {
		return
	}
	m.usedBytes -= len(data)
	delete(m.copies, sum)
	m.copyOrder = slices.DeleteFunc(m.copyOrder, func(other digest) bool { return other == sum })
}

// evictCopies removes the oldest copies until the given number of bytes fits, and reports
// whether it does. The caller holds m.mu.
func (m *memoryStore) evictCopies(bytes int) bool {
	for m.usedBytes+bytes > m.capacity && len(m.copyOrder) > 0 {
		m.dropCopy(m.copyOrder[0])
	}
	return m.usedBytes+bytes <= m.capacity
}

package onsite

import (
	"slices"
	"sync"

	"comfreyrelay.example/relay/failure"
)

// memory keeps chunks in this process, up to a bound: those of a version that is not
// wanted yet, which lie nowhere else, and copies of what was staged beside the engine,
// for which others ask and which need not be read back from the engine first. It is safe for
// concurrent use.
type memoryStore struct {
	capacity int // bytes

	mu        sync.Mutex
	pending   map[digest][]byte // of a version that is not wanted yet
	copies    map[digest][]byte
	copyOrder []digest // of copies, oldest first
	usedBytes int      // of both, at most room
}

func newMemoryStore(capacity int) *memoryStore {
	return &memoryStore{capacity: capacity, pending: map[digest][]byte{}, copies: map[digest][]byte{}}
}

// fits reports whether a version may wait here.
func (m *memoryStore) fits(bytes int) bool { return bytes <= m.capacity }

// get returns a chunk. The caller must not change its bytes.
func (m *memoryStore) get(sum digest) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if data, ok := m.pending[sum]; ok {
		return data, true
	}
	data, ok := m.copies[sum]
	return data, ok
}

// wait keeps a chunk of a version that is not wanted yet; copies make room for it.
func (m *memoryStore) addPending(sum digest, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.pending[sum]; ok {
		return nil
	}
	m.dropCopy(sum)
	if !m.evictCopies(len(data)) {
		return failure.New(failure.Exhausted, "no room for a version that is not wanted yet", "it is fetched once it is")
	}
	m.pending[sum] = slices.Clone(data)
	m.usedBytes += len(data)
	return nil
}

// staged notes that a chunk lies beside the engine, of which a copy stays if there is
// room.
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

// drop forgets a chunk.
func (m *memoryStore) drop(sum digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usedBytes -= len(m.pending[sum])
	delete(m.pending, sum)
	m.dropCopy(sum)
}

// dropCopy forgets a copy; m.mu is held.
func (m *memoryStore) dropCopy(sum digest) {
	data, ok := m.copies[sum]
	if !ok {
		return
	}
	m.usedBytes -= len(data)
	delete(m.copies, sum)
	m.copyOrder = slices.DeleteFunc(m.copyOrder, func(other digest) bool { return other == sum })
}

// makeRoom drops the oldest copies until so many bytes fit, and reports whether they do;
// m.mu is held.
func (m *memoryStore) evictCopies(bytes int) bool {
	for m.usedBytes+bytes > m.capacity && len(m.copyOrder) > 0 {
		m.dropCopy(m.copyOrder[0])
	}
	return m.usedBytes+bytes <= m.capacity
}

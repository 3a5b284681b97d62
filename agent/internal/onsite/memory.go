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
type memory struct {
	room int // bytes

	mu      sync.Mutex
	waiting map[digest][]byte // of a version that is not wanted yet
	copies  map[digest][]byte
	order   []digest // of copies, oldest first
	bytes   int      // of both, at most room
}

func newMemory(room int) *memory {
	return &memory{room: room, waiting: map[digest][]byte{}, copies: map[digest][]byte{}}
}

// fits reports whether a version may wait here.
func (m *memory) fits(bytes int) bool { return bytes <= m.room }

// get returns a chunk. The caller must not change its bytes.
func (m *memory) get(sum digest) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if data, ok := m.waiting[sum]; ok {
		return data, true
	}
	data, ok := m.copies[sum]
	return data, ok
}

// wait keeps a chunk of a version that is not wanted yet; copies make room for it.
func (m *memory) wait(sum digest, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.waiting[sum]; ok {
		return nil
	}
	m.dropCopy(sum)
	if !m.makeRoom(len(data)) {
		return failure.New(failure.Exhausted, "no room for a version that is not wanted yet", "it is fetched once it is")
	}
	m.waiting[sum] = slices.Clone(data)
	m.bytes += len(data)
	return nil
}

// staged notes that a chunk lies beside the engine, of which a copy stays if there is
// room.
func (m *memory) staged(sum digest, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if kept, ok := m.waiting[sum]; ok {
		delete(m.waiting, sum)
		m.copies[sum] = kept
		m.order = append(m.order, sum)
		return
	}
	if _, ok := m.copies[sum]; ok || !m.makeRoom(len(data)) {
		return
	}
	m.copies[sum] = slices.Clone(data)
	m.order = append(m.order, sum)
	m.bytes += len(data)
}

// drop forgets a chunk.
func (m *memory) drop(sum digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes -= len(m.waiting[sum])
	delete(m.waiting, sum)
	m.dropCopy(sum)
}

// dropCopy forgets a copy; m.mu is held.
func (m *memory) dropCopy(sum digest) {
	data, ok := m.copies[sum]
	if !ok {
		return
	}
	m.bytes -= len(data)
	delete(m.copies, sum)
	m.order = slices.DeleteFunc(m.order, func(other digest) bool { return other == sum })
}

// makeRoom drops the oldest copies until so many bytes fit, and reports whether they do;
// m.mu is held.
func (m *memory) makeRoom(bytes int) bool {
	for m.bytes+bytes > m.room && len(m.order) > 0 {
		m.dropCopy(m.order[0])
	}
	return m.bytes+bytes <= m.room
}

package kv

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
)

const (
	// MaxValueBytes is the size limit of a value.
	MaxValueBytes = 1 << 20
	// historyLength is the least number of recent changes that a Memory keeps
	// for its watches.
	historyLength = 10000
)

// Memory implements the service in memory, for tests and the stand-in; no production
// program uses it. Its methods fail with the kinds that Store documents, but never
// with Ambiguous, and with Unavailable only for a cancelled Watch.
type Memory struct {
	clock clockwork.Clock

	mu            sync.Mutex
	revision      uint64            // revision of the last change
	entries       map[string]Entry  // the live keys
	leaseByKey    map[string]string // key -> lease
	leases        map[string]*memoryLease
	leasesGranted int           // number of leases ever granted; names the next one
	history       []Entry       // changes after compacted, by revision
	compacted     uint64        // history holds the changes after this revision
	changed       chan struct{} // closed and replaced on every change
}

// memoryLease is a lease that expires at expiresAt, which each renewal extends.
type memoryLease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool
}

// NewMemory returns a Store with an in-memory service of its own. Tests inject faults
// by wrapping the Store's fields.
func NewMemory(clock clockwork.Clock) *Store { return NewMemoryService(clock).Store() }

// NewMemoryService returns an empty in-memory service.
func NewMemoryService(clock clockwork.Clock) *Memory {
	return &Memory{
		clock:      clock,
		entries:    map[string]Entry{},
		leaseByKey: map[string]string{},
		leases:     map[string]*memoryLease{},
		changed:    make(chan struct{}),
	}
}

// Store returns a Store that calls the service directly.
func (m *Memory) Store() *Store {
	return &Store{
		Get: func(_ context.Context, key string) (Entry, bool, error) {
			entry, found := m.Get(key)
			return entry, found, nil
		},
		List: func(_ context.Context, prefix string) ([]Entry, error) {
			found, _ := m.List(prefix)
			return found, nil
		},
		Swap: func(_ context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
			return m.Swap(key, value, ifRevision, lease)
		},
		Delete: func(_ context.Context, key string, ifRevision uint64) error { return m.Delete(key, ifRevision) },
		Watch:  m.Watch,
		Grant: func(_ context.Context, ttl time.Duration) (string, error) {
			return m.Grant(ttl), nil
		},
		KeepAlive: func(_ context.Context, lease string) error { return m.KeepAlive(lease) },
		Revoke: func(_ context.Context, lease string) error {
			m.Revoke(lease)
			return nil
		},
	}
}

// lockAndExpire locks m.mu and ends the expired leases, so that no call sees a lease
// that expired just before its timer ran.
func (m *Memory) lockAndExpire() {
	m.mu.Lock()
	now := m.clock.Now()
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		if !m.leases[name].expiresAt.After(now) {
			m.endLease(name)
		}
	}
}

// Get returns the entry of a live key.
func (m *Memory) Get(key string) (Entry, bool) {
	m.lockAndExpire()
	defer m.mu.Unlock()
	entry, found := m.entries[key]
	return entry, found
}

// List returns the live entries below the prefix, sorted by key, and the service's
// revision.
func (m *Memory) List(prefix string) ([]Entry, uint64) {
	m.lockAndExpire()
	defer m.mu.Unlock()
	var found []Entry
	for key, entry := range m.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b Entry) int { return cmp.Compare(a.key, b.key) })
	return found, m.revision
}

// Swap writes the value if the key's revision is ifRevision; see Store.Swap. If it
// fails with kind Conflict, it returns the key's current revision.
func (m *Memory) Swap(key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, failure.New(failure.Invalid, "the value is over 1 MiB", "split it into several values")
	}
	m.lockAndExpire()
	defer m.mu.Unlock()
	if current := m.entries[key].revision; current != ifRevision {
		return current, conflictError(key)
	}
	if _, alive := m.leases[lease]; lease != "" && !alive {
		return 0, leaseExpired(lease)
	}
	m.detachLease(key)
	if lease != "" {
		m.leaseByKey[key] = lease
		m.leases[lease].keys[key] = true
	}
	m.record(Entry{key: key, value: slices.Clone(value)})
	return m.revision, nil
}

// Delete removes the key if its revision is ifRevision.
func (m *Memory) Delete(key string, ifRevision uint64) error {
	m.lockAndExpire()
	defer m.mu.Unlock()
	current, found := m.entries[key]
	if !found || current.revision != ifRevision {
		return conflictError(key)
	}
	m.deleteKey(key)
	return nil
}

// Changes returns the changes below the prefix after the given revision, the current
// revision, and a channel that is closed on the next change of any key.
func (m *Memory) Changes(prefix string, after uint64) ([]Entry, uint64, <-chan struct{}, error) {
	m.lockAndExpire()
	defer m.mu.Unlock()
	if after < m.compacted {
		return nil, m.revision, nil, failure.New(failure.Stale, "the history is compacted", "list the keys again")
	}
	var found []Entry
	start, _ := slices.BinarySearchFunc(m.history, after+1, func(entry Entry, revision uint64) int {
		return cmp.Compare(entry.revision, revision)
	})
	if after == Latest {
		start = len(m.history)
	}
	for _, entry := range m.history[start:] {
		if strings.HasPrefix(entry.key, prefix) {
			found = append(found, entry)
		}
	}
	return found, m.revision, m.changed, nil
}

// Watch waits for changes; see Store.Watch.
func (m *Memory) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
	timeout := m.clock.After(wait)
	for {
		found, now, changed, err := m.Changes(prefix, after)
		if err != nil || len(found) > 0 || after > now {
			return found, now, err
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, now, nil
		case <-ctx.Done():
			return nil, after, failure.Wrap(ctx.Err(), failure.Unavailable, "the watch was cancelled", "watch again")
		}
	}
}

// Grant creates a lease that expires after ttl unless renewed.
func (m *Memory) Grant(ttl time.Duration) string {
	m.lockAndExpire()
	defer m.mu.Unlock()
	m.leasesGranted++
	name := fmt.Sprintf("lease-%d", m.leasesGranted)
	m.leases[name] = &memoryLease{ttl: ttl, expiresAt: m.clock.Now().Add(ttl), keys: map[string]bool{}}
	m.clock.AfterFunc(ttl, func() { m.expire(name) })
	return name
}

// KeepAlive renews the lease. It fails with kind NotFound if the lease has expired.
func (m *Memory) KeepAlive(name string) error {
	m.lockAndExpire()
	defer m.mu.Unlock()
	lease, alive := m.leases[name]
	if !alive {
		return leaseExpired(name)
	}
	lease.expiresAt = m.clock.Now().Add(lease.ttl)
	return nil
}

// Revoke ends the lease and deletes its keys.
func (m *Memory) Revoke(name string) {
	m.lockAndExpire()
	defer m.mu.Unlock()
	m.endLease(name)
}

// Compact discards the history of changes.
func (m *Memory) Compact() {
	m.lockAndExpire()
	defer m.mu.Unlock()
	m.history = nil
	m.compacted = m.revision
}

// expire ends the lease if it has expired. If the lease was renewed, expire runs
// again at the new time.
func (m *Memory) expire(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lease, alive := m.leases[name]
	if !alive {
		return
	}
	if remaining := lease.expiresAt.Sub(m.clock.Now()); remaining > 0 {
		m.clock.AfterFunc(remaining, func() { m.expire(name) })
		return
	}
	m.endLease(name)
}

func (m *Memory) endLease(name string) {
	lease, alive := m.leases[name]
	if !alive {
		return
	}
	delete(m.leases, name)
	for _, key := range slices.Sorted(maps.Keys(lease.keys)) {
		m.deleteKey(key)
	}
}

func (m *Memory) deleteKey(key string) {
	m.detachLease(key)
	m.record(Entry{key: key, deleted: true})
}

func (m *Memory) detachLease(key string) {
	lease, found := m.leaseByKey[key]
	if !found {
		return
	}
	delete(m.leaseByKey, key)
	if boundLease, alive := m.leases[lease]; alive {
		delete(boundLease.keys, key)
	}
}

// record assigns the next revision to the change, stores it and wakes the watches.
func (m *Memory) record(entry Entry) {
	m.revision++
	entry.revision = m.revision
	if entry.deleted {
		delete(m.entries, entry.key)
	} else {
		m.entries[entry.key] = entry
	}
	m.history = append(m.history, entry)
	if len(m.history) > 2*historyLength {
		m.compacted = m.history[historyLength-1].revision
		m.history = slices.Clone(m.history[historyLength:])
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func conflictError(key string) error {
	return failure.New(failure.Conflict, "the key "+key+" was changed by another client", "read it again and retry with the new revision")
}

func leaseExpired(lease string) error {
	return failure.New(failure.NotFound, "the lease "+lease+" expired", "grant a new one")
}

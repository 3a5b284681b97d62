package site

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/kv"
)

// maxDeletions bounds the deletions that are remembered for those who ask what
// changed: an hour of replaced hosts in a large fleet.
const maxDeletions = 4096

// Mirror holds the store's keys as far as they are known, and is the one way by
// which they reach a State: from the store itself, and from other entries that
// follow it. What both send overlaps and comes in any order; of each key only the
// newest revision is taken. It is safe for concurrent use.
type Mirror struct {
	state  *State
	decode func(kv.Entry) (Record, error)
	clock  clockwork.Clock
	log    *slog.Logger

	mu       sync.Mutex
	revision uint64 // everything up to it is known; 0: nothing was read yet
	// keys holds deletions too, of revisions after forgotten.
	keys           map[string]kv.Entry
	deleted        int
	prunedRevision uint64
	updatedAt      time.Time     // when the newest knowledge came; zero: none did
	changed        chan struct{} // closed and replaced when revision grows
}

// NewMirror returns an empty Mirror. Decode reads a key; the zero Record is of no
// concern, and an error leaves the value out unless the Record beside it withdraws
// what the key named.
func NewMirror(state *State, decode func(kv.Entry) (Record, error), clock clockwork.Clock, log *slog.Logger) *Mirror {
	return &Mirror{state: state, decode: decode, clock: clock, log: log, keys: map[string]kv.Entry{}, changed: make(chan struct{})}
}

// Revision returns the revision up to which everything is known; 0 before the
// first reading.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Apply takes over all changes after one revision up to another. Changes after a
// revision that is not known yet leave a gap and are refused. At once says that
// they came as they were made; else they may be as old as the knowledge before.
func (m *Mirror) Apply(after uint64, changes []kv.Entry, revision uint64, live bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after > m.revision {
		return false
	}
	m.applyLocked(changes, revision, live)
	return true
}

// AddPartial takes over some keys of the store before the first whole reading, which drops those
// that it lacks.
func (m *Mirror) AddPartial(entries []kv.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision == 0 {
		m.applyLocked(entries, 0, true)
	}
}

// Reset takes over a whole reading of the store at a revision: keys that it lacks
// are gone.
func (m *Mirror) Reset(entries []kv.Entry, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision >= m.revision {
		entries = append(slices.Clone(entries), m.deletionsMissingFrom(entries, revision)...)
	}
	m.applyLocked(entries, max(1, revision), true)
}

// missing returns the deletions of the keys known that a reading lacks.
func (m *Mirror) deletionsMissingFrom(entries []kv.Entry, revision uint64) []kv.Entry {
	seen := map[string]bool{}
	for _, entry := range entries {
		seen[entry.Key()] = true
	}
	var gone []kv.Entry
	for key, known := range m.keys {
		if !seen[key] && !known.Deleted() && known.Revision() <= revision {
			gone = append(gone, kv.NewEntry(key, nil, revision, true))
		}
	}
	return gone
}

// take keeps what is newer than what is known; m.mu is held.
func (m *Mirror) applyLocked(entries []kv.Entry, revision uint64, live bool) {
	delay := time.Duration(0)
	if !live && !m.updatedAt.IsZero() {
		delay = m.clock.Since(m.updatedAt)
	}
	m.updatedAt = m.clock.Now()
	var records []Record
	for _, entry := range entries {
		old, known := m.keys[entry.Key()]
		if known && !supersedes(entry, old) {
			continue
		}
		m.setKey(entry, old)
		if rec, ok := m.decodeEntry(entry); ok {
			rec.Late = delay
			records = append(records, rec)
		}
	}
	m.pruneDeletions()
	m.state.Apply(records, revision)
	if revision > m.revision {
		m.revision = revision
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// newer reports whether an entry goes before what is known of its key. A key that
// a reading lacks is gone at the revision of the reading, which may be that of its
// last change.
func supersedes(entry, old kv.Entry) bool {
	if entry.Revision() == old.Revision() {
		return entry.Deleted() && !old.Deleted()
	}
	return entry.Revision() > old.Revision()
}

func (m *Mirror) setKey(entry, old kv.Entry) {
	if old.Deleted() {
		m.deleted--
	}
	if entry.Deleted() {
		m.deleted++
	}
	m.keys[entry.Key()] = entry
}

// read decodes a key and logs what was learned. A record beside an error withdraws
// what the key named.
func (m *Mirror) decodeEntry(entry kv.Entry) (Record, bool) {
	rec, err := m.decode(entry)
	if err != nil {
		m.log.Error("a value is left out", "key", entry.Key(), "revision", entry.Revision(), "withdrawn", rec.Withdrawn, "error", err)
		return rec, rec.Withdrawn
	}
	if rec.Kind == 0 {
		return Record{}, false
	}
	rec.Revision = entry.Revision()
	m.log.Info("learned", "key", entry.Key(), "revision", entry.Revision(), "gone", entry.Deleted(), "bytes", len(entry.Value()))
	return rec, true
}

// pruneDeletions drops the older half of the deletions where there are too many.
func (m *Mirror) pruneDeletions() {
	if m.deleted <= maxDeletions {
		return
	}
	var deleted []kv.Entry
	for _, entry := range m.keys {
		if entry.Deleted() {
			deleted = append(deleted, entry)
		}
	}
	slices.SortFunc(deleted, byRevision)
	for _, entry := range deleted[:len(deleted)/2] {
		delete(m.keys, entry.Key())
		m.prunedRevision = max(m.prunedRevision, entry.Revision())
		m.deleted--
	}
}

func byRevision(left, right kv.Entry) int { return cmp.Compare(left.Revision(), right.Revision()) }

// Changes are the newest values of the keys that changed after a revision.
type Changes struct {
	Entries []kv.Entry
	// Revision is that up to which everything is known with them.
	Revision uint64
	// Whole: keys that are not among the entries do not exist.
	Whole bool
}

// Since returns what changed after a revision, in the order of revisions, and a
// channel that is closed at the next change. Several changes of one key make one:
// who asks seldom gets little.
func (m *Mirror) Since(revision uint64) (Changes, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision == 0 {
		return Changes{}, m.changed // what was introduced is no reading
	}
	found := Changes{Revision: m.revision, Whole: revision < m.prunedRevision || revision == 0}
	for _, entry := range m.keys {
		if found.Whole && !entry.Deleted() || !found.Whole && entry.Revision() > revision {
			found.Entries = append(found.Entries, entry)
		}
	}
	slices.SortFunc(found.Entries, byRevision)
	return found, m.changed
}

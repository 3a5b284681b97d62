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

// maxDeletions bounds the deletions kept for callers of Since: about one hour of replaced
// hosts in a large fleet.
const maxDeletions = 4096

// maxClaims bounds the claims that wait for changes. A process that lacks a change makes a few each second.
const maxClaims = 32

// claim is a revision that was the store's newest at a time or later.
type claim struct {
	at       time.Duration // on the clock of State.Freshness
	revision uint64
}

// Mirror holds the known keys of the store and is the only path by which they reach
// a State, whether they come from the store itself or from other entries that follow
// it. The two overlap and arrive in any order, so only the newest revision of each key
// is applied. It is safe for concurrent use.
type Mirror struct {
	state  *State
	decode func(kv.Entry) (Record, error)
	clock  clockwork.Clock
	log    *slog.Logger

	mu       sync.Mutex
	revision uint64 // all changes up to it are known; 0 before the first full read
	// keys also holds deleted keys; deletions up to prunedRevision may have been dropped.
	keys           map[string]kv.Entry
	deleted        int
	prunedRevision uint64
	updatedAt      time.Time     // time of the last update; zero before the first
	changed        chan struct{} // closed and replaced when revision grows
	claims         []claim       // with revisions that are not known yet
}

// NewMirror returns an empty Mirror. The function decode decodes a key; a zero Record
// means that the key is ignored. If decode returns an error, the value is ignored too,
// unless the Record returned with it is Withdrawn: then what the key named is removed.
func NewMirror(state *State, decode func(kv.Entry) (Record, error), clock clockwork.Clock, log *slog.Logger) *Mirror {
	return &Mirror{state: state, decode: decode, clock: clock, log: log, keys: map[string]kv.Entry{}, changed: make(chan struct{})}
}

// Revision returns the revision up to which all changes are known, or 0 before the
// first full read.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Apply merges all changes after one revision up to another. If after is newer than the
// known revision, changes in between are missing: it then applies nothing and returns
// false. Live means that the changes were received as they were made; otherwise they may
// have been made at any time since the data was last proven to be the newest.
func (m *Mirror) Apply(after uint64, changes []kv.Entry, revision uint64, live bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after > m.revision {
		return false
	}
	m.applyLocked(changes, revision, live)
	return true
}

// AddPartial merges some keys of the store before the first full read, which removes those that
// the store no longer holds. After the first full read it does nothing.
func (m *Mirror) AddPartial(entries []kv.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision == 0 {
		m.applyLocked(entries, 0, true)
	}
}

// ApplySome merges some of the changes after the known revision, which does not advance: other changes
// may be missing.
func (m *Mirror) ApplySome(changes []kv.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLocked(changes, 0, false)
}

// Reset merges a full read of the store at a revision and treats known keys that are
// missing from it as deleted. Live is as in Apply.
func (m *Mirror) Reset(entries []kv.Entry, revision uint64, live bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision >= m.revision {
		entries = append(slices.Clone(entries), m.deletionsMissingFrom(entries, revision)...)
	}
	m.applyLocked(entries, max(1, revision), live)
}

// deletionsMissingFrom returns a deletion for each known key that is missing from a full
// read at the given revision.
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

// applyLocked stores the entries that are newer than the known ones and applies them to
// the State. The caller holds m.mu.
func (m *Mirror) applyLocked(entries []kv.Entry, revision uint64, live bool) {
	delay := time.Duration(0)
	if !live {
		delay = m.maxDelay()
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
			rec.MaxDelay = delay
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
	m.claims = slices.DeleteFunc(m.claims, m.proveClaim)
}

// ProveAt records the data as proven at a time, now or once all changes up to the revision are known,
// which was the store's newest at that time or later. The data thus stays proven while the store
// changes again and again.
//
// Rule CLAIM of spec/freshness.pml.
func (m *Mirror) ProveAt(at time.Duration, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if made := (claim{at, revision}); !m.proveClaim(made) && len(m.claims) < maxClaims {
		m.claims = append(m.claims, made)
	}
}

// proveClaim records the data as proven at the time of a claim, unless changes up to its revision are
// missing. It reports whether it did. The caller holds m.mu.
func (m *Mirror) proveClaim(made claim) bool {
	if m.revision == 0 || made.revision > m.revision {
		return false
	}
	m.state.Freshness().Prove(made.at)
	return true
}

// maxDelay returns for how long a change that is received now may have been in the store: since the
// data was proven to be the newest. The caller holds m.mu.
func (m *Mirror) maxDelay() time.Duration {
	if age, proven := m.state.Freshness().Age(); proven {
		return age
	}
	if m.revision == 0 {
		return 0
	}
	return m.clock.Since(m.updatedAt)
}

// supersedes reports whether an entry replaces the known one of the same key. A key that
// is missing from a full read counts as deleted at the revision of that read, which may
// equal the revision of the key's last change.
func supersedes(entry, old kv.Entry) bool {
	if entry.Revision() == old.Revision() {
		return entry.Deleted() && !old.Deleted()
	}
	return entry.Revision() > old.Revision()
}

// setKey stores an entry in place of the old one and keeps the count of deletions.
func (m *Mirror) setKey(entry, old kv.Entry) {
	if old.Deleted() {
		m.deleted--
	}
	if entry.Deleted() {
		m.deleted++
	}
	m.keys[entry.Key()] = entry
}

// decodeEntry decodes a key and logs it. It returns false if the key is to be ignored. A record
// returned with a decoding error is used only if it is Withdrawn, which removes what the
// key named.
func (m *Mirror) decodeEntry(entry kv.Entry) (Record, bool) {
	rec, err := m.decode(entry)
	if err != nil {
		m.log.Error("ignoring a value that cannot be decoded", "key", entry.Key(), "revision", entry.Revision(), "withdrawn", rec.Withdrawn, "error", err)
		return rec, rec.Withdrawn
	}
	if rec.Kind == 0 {
		return Record{}, false
	}
	rec.Revision = entry.Revision()
	m.log.Info("learned", "key", entry.Key(), "revision", entry.Revision(), "gone", entry.Deleted(), "bytes", len(entry.Value()))
	return rec, true
}

// pruneDeletions drops the older half of the deletions if there are more than maxDeletions.
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

// Changes holds the newest values of the keys that changed after a revision.
type Changes struct {
	Entries []kv.Entry
	// Revision is the revision up to which they include all changes.
	Revision uint64
	// Full is set if Entries holds the full state: other keys do not exist.
	Full bool
}

// Since returns what changed after a revision, ordered by revision, and a channel that is
// closed at the next change. It includes only the last change of each key, so that the
// result stays small for callers that ask rarely. If the deletions after the revision are no longer all known, it
// returns the full state.
func (m *Mirror) Since(revision uint64) (Changes, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision == 0 {
		return Changes{}, m.changed // keys from AddPartial are not a full read
	}
	found := Changes{Revision: m.revision, Full: revision < m.prunedRevision || revision == 0}
	for _, entry := range m.keys {
		if found.Full && !entry.Deleted() || !found.Full && entry.Revision() > revision {
			found.Entries = append(found.Entries, entry)
		}
	}
	slices.SortFunc(found.Entries, byRevision)
	return found, m.changed
}

// Package kv is the client of the platform's key-value service.
package kv

import (
	"context"
	"math"
	"time"
)

// Latest is a revision to give to Watch, which then answers at once with
// no changes and the service's present revision. The greatest revision of a
// List is no substitute: it may lie before the start of a compacted history.
const Latest = math.MaxUint64

// Entry is one key's value at one revision.
type Entry struct {
	key      string
	value    []byte // empty where the key was deleted
	revision uint64 // of the key's last change; grows across the whole service
	deleted  bool
}

// NewEntry makes an Entry; fakes in tests use it too.
func NewEntry(key string, value []byte, revision uint64, deleted bool) Entry {
	return Entry{key: key, value: value, revision: revision, deleted: deleted}
}

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Value returns the value; the caller does not change it.
func (e Entry) Value() []byte { return e.value }

// Revision returns the service-wide revision of the last change.
func (e Entry) Revision() uint64 { return e.revision }

// Deleted reports whether the entry is a deletion.
func (e Entry) Deleted() bool { return e.deleted }

// Store is the service as the system uses it. Its fields are the seams: NewHTTP
// fills them for the real service, tests with fakes. Errors are
// failure.Errors: Conflict where a condition did not hold, Unavailable where
// the call surely had no effect, Ambiguous where it may have had, Exhausted
// where this process's own budget is used up.
type Store struct {
	// Get returns the entry; found is false where the key does not exist.
	Get func(ctx context.Context, key string) (entry Entry, found bool, err error)
	// List returns the entries below the prefix, by key.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// Page returns entries below the prefix whose keys come after one, as many as an answer
	// holds, and whether others follow. nil where the service answers whole lists alone.
	Page func(ctx context.Context, prefix, after string) (entries []Entry, more bool, err error)
	// Swap writes the value if the key's revision is still ifRevision (0: it
	// does not exist) and returns the new one. A lease id that is not empty
	// binds the key to the lease.
	Swap func(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (revision uint64, err error)
	// Delete removes the key if its revision is still ifRevision.
	Delete func(ctx context.Context, key string, ifRevision uint64) error
	// Watch waits until a key below the prefix changed after the service
	// revision and returns the changes and the revision to go on from; none
	// after the wait. Kind Stale: the history is compacted; learn the present
	// revision with Latest, List, and watch from that revision.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []Entry, now uint64, err error)
	// Grant makes a lease that lapses unless kept alive within the time.
	Grant func(ctx context.Context, ttl time.Duration) (lease string, err error)
	// KeepAlive renews the lease; kind NotFound where it lapsed.
	KeepAlive func(ctx context.Context, lease string) error
	// Revoke ends the lease and deletes its keys.
	Revoke func(ctx context.Context, lease string) error
}

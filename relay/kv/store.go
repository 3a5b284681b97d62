// Package kv implements a client of the platform's key-value service and an
// in-memory service for tests.
package kv

import (
	"context"
	"math"
	"time"
)

// Latest is a revision for Watch, which then returns at once with no changes and the
// service's current revision. The greatest revision in a List is no substitute: it
// may precede the start of a compacted history.
const Latest = math.MaxUint64

// Entry is the value of a key at one revision.
type Entry struct {
	key      string
	value    []byte // empty if the key was deleted
	revision uint64 // of the key's last change; increases across the whole service
	deleted  bool
}

// NewEntry returns an Entry. Fakes in tests use it too.
func NewEntry(key string, value []byte, revision uint64, deleted bool) Entry {
	return Entry{key: key, value: value, revision: revision, deleted: deleted}
}

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Value returns the value, which the caller must not modify.
func (e Entry) Value() []byte { return e.value }

// Revision returns the service-wide revision of the last change.
func (e Entry) Revision() uint64 { return e.revision }

// Deleted reports whether the entry is a deletion.
func (e Entry) Deleted() bool { return e.deleted }

// Store holds the operations of the service as functions, so that tests can replace
// each one; NewHTTP sets them for the real service. Errors are failure.Errors of
// kind Conflict if a condition did not hold, Unavailable if the call certainly had
// no effect, Ambiguous if it may have had one, and Exhausted if this process's own
// budget is used up.
type Store struct {
	// Get returns the entry of the key; found is false if the key does not exist.
	Get func(ctx context.Context, key string) (entry Entry, found bool, err error)
	// List returns the entries below the prefix, sorted by key.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// Page returns one page of the entries below the prefix whose keys sort after the
	// key after, and whether more follow. It is nil if the service only returns whole
	// lists.
	Page func(ctx context.Context, prefix, after string) (entries []Entry, more bool, err error)
	// Swap writes the value if the key's revision is still ifRevision (0 if the
	// key must not exist) and returns the new revision. A non-empty lease id
	// binds the key to the lease.
	Swap func(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (revision uint64, err error)
	// Delete removes the key if its revision is still ifRevision.
	Delete func(ctx context.Context, key string, ifRevision uint64) error
	// Watch waits until a key below the prefix changes after the given service
	// revision. It returns the changes and the revision to continue from, and no
	// changes if none happen within the wait. It fails with kind Stale if the
	// history is compacted. The caller then gets the current revision with
	// Latest, calls List and watches from that revision.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []Entry, now uint64, err error)
	// Grant creates a lease that expires unless renewed within ttl.
	Grant func(ctx context.Context, ttl time.Duration) (lease string, err error)
	// KeepAlive renews the lease. It fails with kind NotFound if the lease has
	// expired.
	KeepAlive func(ctx context.Context, lease string) error
	// Revoke ends the lease and deletes its keys.
	Revoke func(ctx context.Context, lease string) error
}

package store

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/wire"
)

// collectGrace is how long a part must stay unreferenced and unmodified before
// it is deleted.
const collectGrace = 10 * time.Minute

// listShards is the number of list calls per pass, one for each first hex digit
// of the hash. The parts of a large deployment do not fit in one response.
const listShards = 16

// garbage records when an unreferenced part was first seen, and at which
// revision of its key.
type garbage struct {
	revision  uint64 // of the key in the key-value service; rewriting the part changes it
	firstSeen time.Time
}

// Collector deletes parts that no kept revision references. It runs on the
// lease holder, but two concurrent collectors are safe because every write and
// delete is conditional.
//
// A submission in progress has written parts that no root references yet, and it
// may be paused for longer than any grace period. Before deleting, the collector
// therefore rewrites the root key. Every submission that read the root earlier
// then fails its swap, retries and rewrites its parts. A rewritten part is not
// deleted, because the delete is conditional on the key revision that was marked.
type Collector struct {
	store      *Store
	marked     map[string]garbage         // unreferenced parts by hash
	referenced map[uint32]map[string]bool // part hashes by kept revision
}

// NewCollector returns a Collector with no parts marked.
func NewCollector(store *Store) *Collector {
	return &Collector{store: store, marked: map[string]garbage{}, referenced: map[uint32]map[string]bool{}}
}

// Pass marks unreferenced parts, deletes those whose grace period has expired
// and returns the number of parts deleted.
func (c *Collector) Pass(ctx context.Context) (int, error) {
	current, err := c.store.readRoot(ctx)
	if err != nil || current.root == nil {
		return 0, err
	}
	if err := c.loadKeptRevisions(ctx, current.root); err != nil {
		return 0, err
	}
	expired, err := c.mark(ctx)
	if err != nil || len(expired) == 0 {
		return 0, err
	}
	if err := c.touchRoot(ctx, current); err != nil {
		return 0, err
	}
	return c.delete(ctx, expired)
}

// loadKeptRevisions updates the part hashes of the kept revisions. The root of a
// revision never changes, so each is read only once.
func (c *Collector) loadKeptRevisions(ctx context.Context, newest *wire.Root) error {
	oldest := uint32(1)
	if newest.GetRevision() > KeptRevisions {
		oldest = newest.GetRevision() - KeptRevisions + 1
	}
	for revision := range c.referenced {
		if revision < oldest {
			delete(c.referenced, revision)
		}
	}
	for revision := oldest; revision <= newest.GetRevision(); revision++ {
		if c.referenced[revision] != nil {
			continue
		}
		root := newest
		if revision != newest.GetRevision() {
			var err error
			if root, err = c.store.RootOf(ctx, revision); err != nil {
				return err
			}
		}
		c.referenced[revision] = hashesOf(root)
	}
	return nil
}

// hashesOf returns the set of part hashes that the root references.
func hashesOf(root *wire.Root) map[string]bool {
	hashes := make(map[string]bool, len(root.GetParts()))
	for _, part := range root.GetParts() {
		hashes[part.GetHash()] = true
	}
	return hashes
}

// isReferenced reports whether any kept revision references the part.
func (c *Collector) isReferenced(hash string) bool {
	for _, hashes := range c.referenced {
		if hashes[hash] {
			return true
		}
	}
	return false
}

// mark lists all parts, updates the set of unreferenced ones and returns those
// whose grace period has expired.
func (c *Collector) mark(ctx context.Context) (map[string]garbage, error) {
	now := c.store.clock.Now()
	marked, expired := map[string]garbage{}, map[string]garbage{}
	for shard := range listShards {
		parts, err := c.store.kv.List(ctx, fmt.Sprintf("%s%x", PartsPrefix, shard))
		if err != nil {
			return nil, err
		}
		for _, part := range parts {
			c.markPart(part, now, marked, expired)
		}
	}
	c.marked = marked
	return expired, nil
}

// markPart adds the part to marked if it is unreferenced, and also to expired if
// its grace period is over. The grace period restarts when the part is rewritten.
func (c *Collector) markPart(part kv.Entry, now time.Time, marked, expired map[string]garbage) {
	hash := part.Key()[len(PartsPrefix):]
	if c.isReferenced(hash) {
		return
	}
	candidate, known := c.marked[hash]
	if !known || candidate.revision != part.Revision() {
		candidate = garbage{revision: part.Revision(), firstSeen: now}
	}
	marked[hash] = candidate
	if now.Sub(candidate.firstSeen) >= collectGrace {
		expired[hash] = candidate
	}
}

// touchRoot rewrites the root key with its current value, which advances the
// key's revision. The conditional write proves that the root is still the one
// whose parts were kept.
func (c *Collector) touchRoot(ctx context.Context, current versionedRoot) error {
	value, err := proto.Marshal(current.root)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "cannot encode the document root", "report this")
	}
	_, err = c.store.kv.Swap(ctx, RootKey, value, current.kvRevision, "")
	return err
}

// delete deletes the expired parts, except those that changed since they were
// marked, and returns the number deleted.
func (c *Collector) delete(ctx context.Context, expired map[string]garbage) (int, error) {
	deleted := 0
	for hash, candidate := range expired {
		err := c.store.kv.Delete(ctx, partKey(hash), candidate.revision)
		if err == nil {
			deleted++
		} else if kind := failure.KindOf(err); kind != failure.Conflict && kind != failure.NotFound {
			return deleted, err
		}
		delete(c.marked, hash)
	}
	return deleted, nil
}

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

// collectGrace is how long a part has to lie unreferenced and untouched before
// it is deleted.
const collectGrace = 10 * time.Minute

// listShards is the number of listings that one pass over all parts takes: the
// parts of a large deployment do not fit one answer.
const listShards = 16

// garbage is an unreferenced part as it was first seen.
type garbage struct {
	revision  uint64 // of the key in the service; a touched part has another
	firstSeen time.Time
}

// Collector deletes parts that no kept revision names. One lease-holder runs
// it, but two at once do no harm: every write and delete is conditional.
//
// A submission under way has written parts that no root names yet, and may be
// paused for longer than any grace. Before it deletes, the collector therefore
// renews the root key: every submission that read the root earlier fails its
// swap, starts anew and touches its parts, and a touched part survives, since
// the delete names the revision of the part that was marked.
type Collector struct {
	store      *Store
	marked     map[string]garbage         // by hash
	referenced map[uint32]map[string]bool // hashes by kept revision
}

// NewCollector returns a Collector that has marked nothing.
func NewCollector(store *Store) *Collector {
	return &Collector{store: store, marked: map[string]garbage{}, referenced: map[uint32]map[string]bool{}}
}

// Pass marks new garbage, deletes what was marked long enough ago and returns
// the number of parts deleted.
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

// readKept learns the parts of the kept revisions; a root never changes, so
// each is read once.
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

func hashesOf(root *wire.Root) map[string]bool {
	hashes := make(map[string]bool, len(root.GetParts()))
	for _, part := range root.GetParts() {
		hashes[part.GetHash()] = true
	}
	return hashes
}

func (c *Collector) isReferenced(hash string) bool {
	for _, hashes := range c.referenced {
		if hashes[hash] {
			return true
		}
	}
	return false
}

// mark lists all parts and returns those whose grace is over.
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

// renew writes the root key as it is: its revision in the service moves, and
// the condition proves that the root is the one whose parts were spared.
func (c *Collector) touchRoot(ctx context.Context, current versionedRoot) error {
	value, err := proto.Marshal(current.root)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "a root cannot be encoded", "report this")
	}
	_, err = c.store.kv.Swap(ctx, RootKey, value, current.kvRevision, "")
	return err
}

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

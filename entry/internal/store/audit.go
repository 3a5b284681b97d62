package store

import (
	"context"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxDiffBytes bounds the diff within a root: roots travel to every process
	// with every change.
	maxDiffBytes = 16 << 10
	// changeOverhead is what the encoding adds to each change.
	changeOverhead = 4
	// maxAuditPage bounds how many records one call reads.
	maxAuditPage = 200
)

// Audit returns the records from the given revision on, oldest first, at most
// limit of them.
func (s *Store) Audit(ctx context.Context, from uint32, limit int) ([]*wire.Audit, error) {
	current, err := s.readRoot(ctx)
	if err != nil {
		return nil, err
	}
	from = max(1, from)
	var records []*wire.Audit
	for revision := from; revision < current.root.GetRevision() && len(records) < min(limit, maxAuditPage); revision++ {
		root, err := s.RootOf(ctx, revision)
		if err != nil {
			return nil, err
		}
		records = append(records, root.GetAudit())
	}
	if len(records) < min(limit, maxAuditPage) && current.root.GetRevision() >= from {
		records = append(records, current.root.GetAudit())
	}
	return records, nil
}

// record writes the root under its own key of the trail. The root key's next
// swap would otherwise overwrite the only copy of its audit record.
func (s *Store) writeRecord(ctx context.Context, root *wire.Root) error {
	value, err := proto.Marshal(root)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "a root cannot be encoded", "report this")
	}
	_, err = s.kv.Swap(ctx, auditKey(root.GetRevision()), value, 0, "")
	switch {
	case err == nil || failure.KindOf(err) == failure.Conflict:
		return nil // There is one root of each revision: whoever wrote it wrote this.
	case failure.KindOf(err) == failure.Ambiguous:
		return s.confirmRecord(ctx, root.GetRevision(), err)
	}
	return err
}

// ensureRecord writes the root's record where it is missing: reads are cheaper
// than writes, and its submitter has nearly always written it.
func (s *Store) ensureRecord(ctx context.Context, root *wire.Root) error {
	if root == nil {
		return nil
	}
	if _, found, err := s.kv.Get(ctx, auditKey(root.GetRevision())); err != nil || found {
		return err
	}
	return s.writeRecord(ctx, root)
}

// confirmRecord settles a write of the trail whose reply was lost.
func (s *Store) confirmRecord(ctx context.Context, revision uint32, cause error) error {
	_, found, err := s.kv.Get(ctx, auditKey(revision))
	if err != nil {
		return err
	}
	if !found {
		return failure.Wrap(cause, failure.Unavailable, "the audit record of the revision in force could not be written",
			"submit again once the key-value service answers")
	}
	return nil
}

// Repair writes the record of the root in force where its submitter died
// before it could.
func (s *Store) Repair(ctx context.Context) error {
	current, err := s.readRoot(ctx)
	if err != nil {
		return err
	}
	return s.ensureRecord(ctx, current.root)
}

// bounded keeps the first changes of a long diff; the whole one can be computed
// from the parts.
func truncateDiff(changes []*wire.Change) []*wire.Change {
	size := 0
	for i, change := range changes {
		size += proto.Size(change) + changeOverhead
		if size > maxDiffBytes {
			return append(changes[:i:i], &wire.Change{Path: "", After: `"more changes left out; see the diff of the revisions"`})
		}
	}
	return changes
}

package store

import (
	"context"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxDiffBytes limits the diff stored in a root, because the root is sent to
	// every process on every change.
	maxDiffBytes = 16 << 10
	// changeOverhead is the number of bytes that the encoding adds per change.
	changeOverhead = 4
	// maxAuditPage limits the number of records returned by one call.
	maxAuditPage = 200
)

// Audit returns up to limit audit records, oldest first, starting at the given
// revision.
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

// writeRecord copies the root to its own audit key. Without this copy, the next
// swap of the root key would overwrite the only copy of its audit record.
func (s *Store) writeRecord(ctx context.Context, root *wire.Root) error {
	value, err := proto.Marshal(root)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "cannot encode the document root", "report this")
	}
	_, err = s.kv.Swap(ctx, auditKey(root.GetRevision()), value, 0, "")
	switch {
	case err == nil || failure.KindOf(err) == failure.Conflict:
		return nil // Each revision has exactly one root, so an existing record is identical.
	case failure.KindOf(err) == failure.Ambiguous:
		return s.confirmRecord(ctx, root.GetRevision(), err)
	}
	return err
}

// ensureRecord writes the root's audit record if it is missing. It reads first
// because reads are cheaper than writes and the submitter has nearly always
// written the record already.
func (s *Store) ensureRecord(ctx context.Context, root *wire.Root) error {
	if root == nil {
		return nil
	}
	if _, found, err := s.kv.Get(ctx, auditKey(root.GetRevision())); err != nil || found {
		return err
	}
	return s.writeRecord(ctx, root)
}

// confirmRecord checks whether an audit write whose reply was lost took effect.
func (s *Store) confirmRecord(ctx context.Context, revision uint32, cause error) error {
	_, found, err := s.kv.Get(ctx, auditKey(revision))
	if err != nil {
		return err
	}
	if !found {
		return failure.Wrap(cause, failure.Unavailable, "cannot write the audit record of the revision in force",
			"submit again once the key-value service answers")
	}
	return nil
}

// Repair writes the missing audit record of the root in force, in case its
// submitter crashed before writing it.
func (s *Store) Repair(ctx context.Context) error {
	current, err := s.readRoot(ctx)
	if err != nil {
		return err
	}
	return s.ensureRecord(ctx, current.root)
}

// truncateDiff keeps the first changes of a long diff, up to maxDiffBytes. The
// full diff can be recomputed from the parts.
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

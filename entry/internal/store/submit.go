package store

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxAttempts bounds how often one submission starts anew because the root
	// key moved without a new revision, or a reply was lost.
	maxAttempts = 8
	// maxSettleLookback bounds the records read in search of a submission id.
	maxAuditLookback = 64
	// recordTimeout bounds the write of a record behind the submitter's back.
	recordTimeout = 10 * time.Second
	// retryPause lets a service recover that just lost a reply.
	retryDelay = 100 * time.Millisecond
)

// Submission is one operator's wish to replace the document.
type Submission struct {
	Document     *wire.Document
	BaseRevision uint32
	// SubmissionID is unique and chosen by the submitter: the same one sent
	// again is the same submission.
	SubmissionID string
	Operator     string
	FromAddress  string
	Reason       string
}

// ConflictError reports that somebody else changed the document first.
type ConflictError struct {
	problem       *failure.Error
	current       uint32
	theirs, yours []*wire.Change
}

// CurrentRevision returns the revision in force.
func (e *ConflictError) CurrentRevision() uint32 { return e.current }

// Theirs returns the changes accepted since the base revision.
func (e *ConflictError) Theirs() []*wire.Change { return e.theirs }

// Yours returns the changes refused.
func (e *ConflictError) Yours() []*wire.Change { return e.yours }

// Error returns message and remedy.
func (e *ConflictError) Error() string { return e.problem.Error() }

// Unwrap makes the error a failure.Error to errors.As.
func (e *ConflictError) Unwrap() error { return e.problem }

// attempt is one submission under way.
type pendingSubmission struct {
	Submission

	pieces []document.PartBytes
	// maybe: a swap's reply was lost and the swap may still take effect. From
	// then on only the service can say whether the submission was accepted.
	outcomeUnknown bool
}

// Submit makes the document the next revision and returns its root. It returns
// nil error only when the service has the document; kind Ambiguous means that
// submitting again with the same SubmissionID shows it.
func (s *Store) Submit(ctx context.Context, sub Submission) (*wire.Root, error) {
	if sub.SubmissionID == "" {
		return nil, failure.New(failure.Invalid, "the submission has no submissionId", "send a UUID that is new for each submission")
	}
	pending := &pendingSubmission{Submission: sub, pieces: document.Split(sub.Document)}
	var lastErr error
	for range maxAttempts {
		root, err := s.attempt(ctx, pending)
		if err == nil || !isRetryable(err) {
			return root, pending.finalError(err)
		}
		lastErr = err
		if !s.waitBeforeRetry(ctx) {
			break
		}
	}
	return nil, pending.finalError(lastErr)
}

// again reports whether an attempt's error leaves the outcome open.
func isRetryable(err error) bool {
	kind := failure.KindOf(err)
	return kind == failure.Ambiguous || kind == failure.Stale
}

func (s *Store) waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.clock.After(retryDelay):
		return true
	}
}

// verdict turns an error into what the submitter may rely on. After a lost
// reply, "unavailable" would be a guess: the swap may have taken effect.
func (p *pendingSubmission) finalError(err error) error {
	if err == nil {
		return nil
	}
	kind := failure.KindOf(err)
	uncertain := kind == failure.Unavailable || kind == failure.Exhausted || isRetryable(err) || kind == failure.Internal
	if p.outcomeUnknown && uncertain {
		return failure.Wrap(err, failure.Ambiguous, "the document may have been accepted or not: the service's reply was lost",
			"submit it again with the same submissionId to learn which; or look at the audit trail")
	}
	if kind == failure.Stale {
		return failure.Wrap(err, failure.Unavailable, "the document was not accepted: the root key kept moving", "submit it again")
	}
	return err
}

// try makes one attempt from a fresh read of the root. Kind Stale: the root key
// moved without a new revision, kind Ambiguous: a reply was lost; both start
// anew.
func (s *Store) attempt(ctx context.Context, pending *pendingSubmission) (*wire.Root, error) {
	current, err := s.readRoot(ctx)
	if err != nil {
		return nil, s.wrapUnavailable(err)
	}
	if accepted, err := s.findAccepted(ctx, pending, current); accepted != nil || err != nil {
		return accepted, err
	}
	if current.root.GetRevision() != pending.BaseRevision {
		return nil, s.conflictError(ctx, pending, current)
	}
	if err := s.writeParts(ctx, pending.pieces, current.root); err != nil {
		return nil, s.wrapUnavailable(err)
	}
	if err := s.ensureRecord(ctx, current.root); err != nil {
		return nil, s.wrapUnavailable(err)
	}
	return s.swap(ctx, pending, current)
}

func (s *Store) wrapUnavailable(err error) error {
	if kind := failure.KindOf(err); kind != failure.Unavailable && kind != failure.Exhausted {
		return err
	}
	return failure.Wrap(err, failure.Unavailable, "this call did not submit the document: the key-value service does not answer",
		"what is in force stays in force; submit again, with the same submissionId, once the service is back")
}

// settled looks for the submission among what was accepted since its base. It
// returns nil and no error where the submission was not accepted.
//
// Rule SETTLE of spec/document.pml.
func (s *Store) findAccepted(ctx context.Context, pending *pendingSubmission, current versionedRoot) (*wire.Root, error) {
	newest := current.root.GetRevision()
	if newest <= pending.BaseRevision {
		return nil, nil
	}
	if current.root.GetSubmissionId() == pending.SubmissionID {
		return s.verifyContent(pending, current.root)
	}
	if newest-pending.BaseRevision > maxAuditLookback {
		return nil, failure.New(failure.Conflict,
			fmt.Sprintf("%d revisions were accepted since base revision %d", newest-pending.BaseRevision, pending.BaseRevision),
			"look for your submissionId in the audit trail, or start again from the document in force")
	}
	for revision := pending.BaseRevision + 1; revision < newest; revision++ {
		root, err := s.RootOf(ctx, revision)
		if err != nil {
			return nil, err
		}
		if root.GetSubmissionId() == pending.SubmissionID {
			return s.verifyContent(pending, root)
		}
	}
	return nil, nil
}

func (s *Store) verifyContent(pending *pendingSubmission, root *wire.Root) (*wire.Root, error) {
	if root.GetAudit().GetContentHash() != document.ContentHash(document.Parts(pending.pieces)) {
		return nil, failure.New(failure.Invalid, "the submissionId was used for another document",
			"send a UUID that is new for each submission")
	}
	s.log.Info("submission settled", "revision", root.GetRevision(), "submissionId", root.GetSubmissionId())
	return root, nil
}

// conflict returns both sides' changes since the base revision.
func (s *Store) conflictError(ctx context.Context, pending *pendingSubmission, current versionedRoot) error {
	if current.root.GetRevision() < pending.BaseRevision {
		return failure.New(failure.Conflict,
			fmt.Sprintf("base revision %d is newer than the service's revision %d", pending.BaseRevision, current.root.GetRevision()),
			"read the document again; if its revision is still newer, the service has lost data: restore it from its backup")
	}
	conflict := &ConflictError{
		problem: failure.New(failure.Conflict,
			fmt.Sprintf("revision %d was accepted first, from the same base revision %d", current.root.GetRevision(), pending.BaseRevision),
			"read the document again, make your changes in it and submit it with its revision as the base"),
		current: current.root.GetRevision(),
	}
	_, base, err := s.Revision(ctx, pending.BaseRevision)
	if err != nil {
		return conflict // The base is too old to show diffs.
	}
	theirs, err := s.Assemble(ctx, current.root)
	if err != nil {
		return conflict
	}
	conflict.theirs = document.Diff(base, theirs)
	conflict.yours = document.Diff(base, pending.Document)
	return conflict
}

// writeParts makes sure that every part is in the service and stays there. A
// part that the root in force does not name may be about to be collected: it is
// written anew, so that the collector's conditional delete fails.
func (s *Store) writeParts(ctx context.Context, pieces []document.PartBytes, base *wire.Root) error {
	for _, piece := range pieces {
		hash := piece.Part().GetHash()
		inUse := slices.ContainsFunc(base.GetParts(), func(part *wire.Part) bool { return part.GetHash() == hash })
		if !inUse {
			if err := s.writePart(ctx, hash, piece.Bytes()); err != nil {
				return err
			}
		}
		s.parts.Add(hash, piece.Bytes())
	}
	return nil
}

func (s *Store) writePart(ctx context.Context, hash string, content []byte) error {
	ifRevision := uint64(0)
	for range maxAttempts {
		_, err := s.kv.Swap(ctx, partKey(hash), content, ifRevision, "")
		if kind := failure.KindOf(err); err == nil || (kind != failure.Conflict && kind != failure.Ambiguous) {
			return err
		}
		entry, found, err := s.kv.Get(ctx, partKey(hash))
		if err != nil {
			return err
		}
		ifRevision = 0
		if found {
			ifRevision = entry.Revision()
		}
	}
	return failure.New(failure.Unavailable, "a part of the document could not be written", "submit it again")
}

// swap replaces the root: the moment of acceptance.
//
// Rule CAS of spec/document.pml.
func (s *Store) swap(ctx context.Context, pending *pendingSubmission, current versionedRoot) (*wire.Root, error) {
	before, err := s.Assemble(ctx, current.root)
	if err != nil {
		return nil, err
	}
	root := s.newRoot(pending, before)
	value, err := proto.Marshal(root)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the document cannot be encoded", "write its texts in UTF-8")
	}
	_, err = s.kv.Swap(ctx, RootKey, value, current.kvRevision, "")
	switch failure.KindOf(err) {
	case failure.Conflict:
		// Another submission, the collector's renewal, or our own earlier swap
		// whose reply was lost: the next attempt reads which.
		return nil, failure.Wrap(err, failure.Stale, "the root key moved", "submit again")
	case failure.Ambiguous:
		pending.outcomeUnknown = true
		return nil, err
	default:
		if err != nil {
			return nil, s.wrapUnavailable(err)
		}
	}
	s.runAsync(func() { s.writeRecordAsync(root) })
	return root, nil
}

// recordLater writes the record of the root that was just accepted, while the
// submitter already has its answer. Where it fails, or the process dies first,
// the next submission or the collector writes it.
func (s *Store) writeRecordAsync(root *wire.Root) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := s.writeRecord(ctx, root); err != nil {
		s.log.Warn("audit record left for the next submission or the collector", "revision", root.GetRevision(), "error", err)
	}
}

// newRoot returns the next root with its own audit record.
//
// Rule EMBED of spec/document.pml.
func (s *Store) newRoot(pending *pendingSubmission, before *wire.Document) *wire.Root {
	parts := document.Parts(pending.pieces)
	revision := pending.BaseRevision + 1
	return &wire.Root{
		Revision:     revision,
		Parts:        parts,
		SubmissionId: pending.SubmissionID,
		Audit: &wire.Audit{
			Revision:     revision,
			BaseRevision: pending.BaseRevision,
			Operator:     pending.Operator,
			At:           timestamppb.New(s.clock.Now()),
			FromAddress:  pending.FromAddress,
			Reason:       pending.Reason,
			Diff:         truncateDiff(document.Diff(before, pending.Document)),
			ContentHash:  document.ContentHash(parts),
			SubmissionId: pending.SubmissionID,
		},
	}
}

// Rollback makes the content of an old revision the next one.
func (s *Store) Rollback(ctx context.Context, target uint32, sub Submission) (*wire.Root, error) {
	if target == 0 {
		return nil, failure.New(failure.Invalid, "there is no revision 0 to roll back to", "name a revision of the audit trail")
	}
	_, doc, err := s.Revision(ctx, target)
	if err != nil {
		return nil, err
	}
	sub.Document = doc
	if sub.Reason == "" {
		sub.Reason = fmt.Sprintf("rollback to revision %d", target)
	}
	return s.Submit(ctx, sub)
}

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
	// maxAttempts limits the attempts of one submission. It retries when the root
	// key changed without a new revision, or when a reply was lost.
	maxAttempts = 8
	// maxAuditLookback limits the revisions searched for a submission id.
	maxAuditLookback = 64
	// recordTimeout limits the asynchronous write of an audit record.
	recordTimeout = 10 * time.Second
	// retryDelay gives the key-value service time to recover between attempts,
	// since it may have just lost a reply.
	retryDelay = 100 * time.Millisecond
)

// Submission is an operator's request to replace the document.
type Submission struct {
	Document     *wire.Document
	BaseRevision uint32
	// SubmissionID is a unique id chosen by the submitter. It makes retries
	// idempotent: the same id sent again is the same submission.
	SubmissionID string
	Operator     string
	FromAddress  string
	Reason       string
}

// ConflictError reports that another operator changed the document since the
// base revision.
type ConflictError struct {
	problem       *failure.Error
	current       uint32
	theirs, yours []*wire.Change
}

// CurrentRevision returns the revision in force.
func (e *ConflictError) CurrentRevision() uint32 { return e.current }

// Theirs returns the changes accepted since the base revision.
func (e *ConflictError) Theirs() []*wire.Change { return e.theirs }

// Yours returns the changes of the rejected submission.
func (e *ConflictError) Yours() []*wire.Change { return e.yours }

// Error returns the message and the remedy.
func (e *ConflictError) Error() string { return e.problem.Error() }

// Unwrap returns the failure.Error, so that errors.As finds it.
func (e *ConflictError) Unwrap() error { return e.problem }

// pendingSubmission is a submission in progress, across all its attempts.
type pendingSubmission struct {
	Submission

	pieces []document.PartBytes
	// outcomeUnknown is set when the reply to a swap was lost. The swap may still
	// take effect, so only the key-value service can tell whether the submission
	// was accepted.
	outcomeUnknown bool
}

// Submit makes the document the next revision and returns its root. The error is
// nil only if the key-value service has stored the document. An error of kind
// Ambiguous means that the outcome is unknown; submitting again with the same
// SubmissionID reveals it.
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

// isRetryable reports whether an attempt that failed with err can be retried.
func isRetryable(err error) bool {
	kind := failure.KindOf(err)
	return kind == failure.Ambiguous || kind == failure.Stale
}

// waitBeforeRetry waits for retryDelay and reports whether ctx is still active.
func (s *Store) waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.clock.After(retryDelay):
		return true
	}
}

// finalError converts the last attempt's error into the one that the submitter
// gets. After a lost reply, it replaces "unavailable" by "ambiguous", because the
// swap may have taken effect.
func (p *pendingSubmission) finalError(err error) error {
	if err == nil {
		return nil
	}
	kind := failure.KindOf(err)
	uncertain := kind == failure.Unavailable || kind == failure.Exhausted || isRetryable(err) || kind == failure.Internal
	if p.outcomeUnknown && uncertain {
		return failure.Wrap(err, failure.Ambiguous, "it is unknown whether the document was accepted: the key-value service's reply was lost",
			"submit it again with the same submissionId, or check the audit trail")
	}
	if kind == failure.Stale {
		return failure.Wrap(err, failure.Unavailable, "the document was not accepted: the root key changed during every attempt", "submit it again")
	}
	return err
}

// attempt reads the root and tries once to replace it. An error of kind Stale
// means that the root key changed during the attempt, and one of kind Ambiguous
// that a reply was lost. Both are retried.
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

// wrapUnavailable adds a remedy to errors of kind Unavailable or Exhausted and
// returns other errors unchanged.
func (s *Store) wrapUnavailable(err error) error {
	if kind := failure.KindOf(err); kind != failure.Unavailable && kind != failure.Exhausted {
		return err
	}
	return failure.Wrap(err, failure.Unavailable, "this call did not submit the document: the key-value service is unavailable",
		"the current document stays in force; submit again with the same submissionId once the service is back")
}

// findAccepted looks for the submission among the revisions accepted since its
// base. It returns a nil root and no error if the submission was not accepted, and
// an error if more than maxAuditLookback revisions would have to be searched.
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

// verifyContent returns the accepted root if its content matches the submission,
// and an error if the SubmissionID was reused for another document.
func (s *Store) verifyContent(pending *pendingSubmission, root *wire.Root) (*wire.Root, error) {
	if root.GetAudit().GetContentHash() != document.ContentHash(document.Parts(pending.pieces)) {
		return nil, failure.New(failure.Invalid, "the submissionId was used for another document",
			"send a UUID that is new for each submission")
	}
	s.log.Info("submission was already accepted", "revision", root.GetRevision(), "submissionId", root.GetSubmissionId())
	return root, nil
}

// conflictError returns a ConflictError with both sides' changes since the base
// revision, or without them if the documents cannot be read. A base newer than
// the stored revision gives a plain error of kind Conflict.
func (s *Store) conflictError(ctx context.Context, pending *pendingSubmission, current versionedRoot) error {
	if current.root.GetRevision() < pending.BaseRevision {
		return failure.New(failure.Conflict,
			fmt.Sprintf("base revision %d is newer than revision %d in the key-value service", pending.BaseRevision, current.root.GetRevision()),
			"read the document again; if its revision is still newer, the key-value service has lost data: restore it from its backup")
	}
	conflict := &ConflictError{
		problem: failure.New(failure.Conflict,
			fmt.Sprintf("revision %d was accepted first, from the same base revision %d", current.root.GetRevision(), pending.BaseRevision),
			"read the document again, apply your changes to it and submit it with its revision as the base"),
		current: current.root.GetRevision(),
	}
	_, base, err := s.Revision(ctx, pending.BaseRevision)
	if err != nil {
		return conflict // The parts of the base may no longer be kept.
	}
	theirs, err := s.Assemble(ctx, current.root)
	if err != nil {
		return conflict
	}
	conflict.theirs = document.Diff(base, theirs)
	conflict.yours = document.Diff(base, pending.Document)
	return conflict
}

// writeParts ensures that every part is in the key-value service and stays there.
// The collector may be about to delete a part that the root in force does not
// reference. Such a part is rewritten, so that the conditional delete fails.
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

// writePart writes one part unconditionally, also if the key already exists. A
// conflict or a lost reply is retried at the key's current revision.
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
	return failure.New(failure.Unavailable, "cannot write a document part", "submit it again")
}

// swap replaces the root if its key has not changed since it was read. The
// document is accepted when this write takes effect.
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
		return nil, failure.Wrap(err, failure.Invalid, "cannot encode the document", "use valid UTF-8 in all its strings")
	}
	_, err = s.kv.Swap(ctx, RootKey, value, current.kvRevision, "")
	switch failure.KindOf(err) {
	case failure.Conflict:
		// The key was changed by another submission, by the collector, or by our
		// own earlier swap whose reply was lost. The next attempt finds out which.
		return nil, failure.Wrap(err, failure.Stale, "the root key was changed", "submit again")
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

// writeRecordAsync writes the audit record of a root that was just accepted,
// without the submitter waiting for it. If the write fails or the process crashes
// first, the next submission or the collector writes the record.
func (s *Store) writeRecordAsync(root *wire.Root) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := s.writeRecord(ctx, root); err != nil {
		s.log.Warn("cannot write audit record; the next submission or collection retries", "revision", root.GetRevision(), "error", err)
	}
}

// newRoot returns the root of the next revision, including its audit record.
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

// Rollback submits the document of the target revision as the next revision.
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

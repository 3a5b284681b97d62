package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// Change is a difference between two documents at one path.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before"` // JSON text; empty where the value did not exist
	After  string `json:"after"`
}

// Changes converts changes from their wire form to that of the HTTP API.
func Changes(diff []*wire.Change) []Change {
	changes := make([]Change, len(diff))
	for i, change := range diff {
		changes[i] = Change{Path: change.GetPath(), Before: change.GetBefore(), After: change.GetAfter()}
	}
	return changes
}

// InForce is the document in force and its revision, which is 0 if there is no
// document yet.
type InForce struct {
	Revision uint32          `json:"revision"`
	Document json.RawMessage `json:"document"`
}

// Document returns the document in force.
func (c *Client) Document(ctx context.Context) (*InForce, error) {
	found := &InForce{}
	return found, c.get(ctx, "/v1/document", found)
}

// Validation is the result of validating a document without submitting it.
type Validation struct {
	Valid    bool               `json:"valid"`
	Problems []document.Problem `json:"errors"`
}

// Validate asks an entry to validate a document against the state of the
// deployment that the entry knows.
func (c *Client) Validate(ctx context.Context, doc json.RawMessage) (*Validation, error) {
	found := &Validation{}
	err := c.call(ctx, http.MethodPost, "/v1/document/validate", doc, found)
	var invalid *InvalidDocument
	if errors.As(err, &invalid) {
		return &Validation{Problems: invalid.Problems}, nil
	}
	return found, err
}

// Submission is a request to replace the document.
type Submission struct {
	BaseRevision uint32 `json:"baseRevision"`
	// SubmissionID makes a retry after a lost reply safe: an id is accepted
	// only once.
	SubmissionID string          `json:"submissionId"`
	Reason       string          `json:"reason"`
	Document     json.RawMessage `json:"document"`
}

// accepted is the response body for an accepted change.
type accepted struct {
	Revision uint32 `json:"revision"`
}

// validate returns an error if a successful reply has no revision, which means
// that it did not come from an entry.
func (a *accepted) validate() error {
	if a.Revision > 0 {
		return nil
	}
	return failure.New(failure.Ambiguous, "the entry's reply has no revision", "look at status and audit before you try again")
}

// Submit submits a document and returns the number of the new revision.
func (c *Client) Submit(ctx context.Context, change *Submission) (uint32, error) {
	var got accepted
	err := c.call(ctx, http.MethodPost, "/v1/document", change, &got)
	if err == nil {
		err = got.validate()
	}
	if err != nil {
		return c.resolveConflict(ctx, err, change.BaseRevision, change.SubmissionID)
	}
	return got.Revision, nil
}

// Rollback is a request for a new revision with the content of an earlier one.
type Rollback struct {
	ToRevision   uint32 `json:"toRevision"`
	BaseRevision uint32 `json:"baseRevision"`
	SubmissionID string `json:"submissionId"`
	Reason       string `json:"reason"`
}

// Rollback creates a new revision with the content of an earlier one and returns
// its number.
func (c *Client) Rollback(ctx context.Context, change *Rollback) (uint32, error) {
	var got accepted
	err := c.call(ctx, http.MethodPost, "/v1/document/rollback", change, &got)
	if err == nil {
		err = got.validate()
	}
	if err != nil {
		return c.resolveConflict(ctx, err, change.BaseRevision, change.SubmissionID)
	}
	return got.Revision, nil
}

// maxResolveRecords is the number of audit records after the base revision that
// resolveConflict searches.
const maxResolveRecords = 100

// resolveConflict searches the audit trail for the caller's own submission if err
// is a conflict after a lost reply, and returns its revision if found. Without
// this, a change that was accepted and then followed by another operator's change
// would be reported as rejected. It returns any other error unchanged.
func (c *Client) resolveConflict(ctx context.Context, err error, base uint32, submission string) (uint32, error) {
	var maybe *MaybeOwnConflict
	if !errors.As(err, &maybe) {
		return 0, err
	}
	trail, auditErr := c.Audit(ctx, base+1, maxResolveRecords)
	if auditErr != nil {
		return 0, failure.Wrap(auditErr, failure.Ambiguous, "a reply was lost, then somebody else's change was found",
			"look for your reason in the audit trail before you try again")
	}
	for _, record := range trail {
		if record.SubmissionID == submission {
			return record.Revision, nil
		}
	}
	return 0, maybe.conflict
}

// Diff returns the changes between two revisions.
func (c *Client) Diff(ctx context.Context, from, to uint32) ([]Change, error) {
	var got struct {
		Changes []Change `json:"changes"`
	}
	err := c.get(ctx, fmt.Sprintf("/v1/document/diff?from=%d&to=%d", from, to), &got)
	return got.Changes, err
}

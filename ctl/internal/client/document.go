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

// Change is one difference between two documents.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before"` // JSON text; empty where the value did not exist
	After  string `json:"after"`
}

// Changes turns wire changes into those of the API.
func Changes(diff []*wire.Change) []Change {
	changes := make([]Change, len(diff))
	for i, change := range diff {
		changes[i] = Change{Path: change.GetPath(), Before: change.GetBefore(), After: change.GetAfter()}
	}
	return changes
}

// InForce is the document in force with its revision; 0 stands for none yet.
type InForce struct {
	Revision uint32          `json:"revision"`
	Document json.RawMessage `json:"document"`
}

// Document returns the document in force.
func (c *Client) Document(ctx context.Context) (*InForce, error) {
	found := &InForce{}
	return found, c.get(ctx, "/v1/document", found)
}

// Validation is what an entry says of a document that is not submitted.
type Validation struct {
	Valid    bool               `json:"valid"`
	Problems []document.Problem `json:"errors"`
}

// Validate has an entry check a document against what it knows of the deployment.
func (c *Client) Validate(ctx context.Context, doc json.RawMessage) (*Validation, error) {
	found := &Validation{}
	err := c.call(ctx, http.MethodPost, "/v1/document/validate", doc, found)
	var invalid *InvalidDocument
	if errors.As(err, &invalid) {
		return &Validation{Problems: invalid.Problems}, nil
	}
	return found, err
}

// Submission is one change of the document.
type Submission struct {
	BaseRevision uint32 `json:"baseRevision"`
	// SubmissionID settles a lost reply: the same id is accepted once.
	SubmissionID string          `json:"submissionId"`
	Reason       string          `json:"reason"`
	Document     json.RawMessage `json:"document"`
}

// accepted is the reply to an accepted change.
type accepted struct {
	Revision uint32 `json:"revision"`
}

// validate refuses a success without a revision: whoever sent it is no entry.
func (a *accepted) validate() error {
	if a.Revision > 0 {
		return nil
	}
	return failure.New(failure.Ambiguous, "the entry's reply names no revision", "look at status and audit before you try again")
}

// Submit asks for a new revision and returns its number.
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

// Rollback is a new revision of an old content.
type Rollback struct {
	ToRevision   uint32 `json:"toRevision"`
	BaseRevision uint32 `json:"baseRevision"`
	SubmissionID string `json:"submissionId"`
	Reason       string `json:"reason"`
}

// Rollback asks for a new revision of an old content and returns its number.
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

// maxResolveRecords is how many records behind the base are searched.
const maxResolveRecords = 100

// resolveConflict looks for the caller's own submission in the audit trail where a
// conflict came after a lost reply: without it an accepted change, followed by
// somebody else's, would be reported as refused.
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

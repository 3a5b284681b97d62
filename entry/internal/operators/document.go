package operators

import (
	"bytes"
	"encoding/json"
	"net/http"

	"comfreyrelay.example/entry/internal/store"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
)

// documentBody is the response of GET /v1/document.
type documentBody struct {
	Revision uint32          `json:"revision"`
	Document json.RawMessage `json:"document"`
}

// validationBody is the response of POST /v1/document/validate.
type validationBody struct {
	Valid  bool               `json:"valid"`
	Errors []document.Problem `json:"errors,omitempty"`
}

// submissionBody is the request of POST /v1/document.
type submissionBody struct {
	BaseRevision uint32          `json:"baseRevision"`
	SubmissionID string          `json:"submissionId"`
	Reason       string          `json:"reason"`
	Document     json.RawMessage `json:"document"`
}

// rollbackBody is the request of POST /v1/document/rollback.
type rollbackBody struct {
	ToRevision   uint32 `json:"toRevision"`
	BaseRevision uint32 `json:"baseRevision"`
	SubmissionID string `json:"submissionId"`
	Reason       string `json:"reason"`
}

// acceptedBody is the response to an accepted submission or rollback.
type acceptedBody struct {
	Revision uint32 `json:"revision"`
}

const (
	maxReasonBytes       = 1000
	maxSubmissionIDBytes = 100
)

// decode decodes JSON into target and rejects unknown keys.
func decode(text []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return failure.Wrap(err, failure.Invalid, "cannot decode the body", "send the JSON object that docs/PROTOCOLS.md describes")
	}
	return nil
}

// getDocument handles GET /v1/document.
func (a *API) getDocument(w http.ResponseWriter, _ *http.Request) {
	revision, doc := a.InForce()
	if doc == nil {
		writeError(w, failure.New(failure.NotFound, "no document is in force here", "submit one with base revision 0"))
		return
	}
	writeJSON(w, http.StatusOK, documentBody{Revision: revision, Document: document.Format(doc)})
}

// postValidate handles POST /v1/document/validate.
func (a *API) postValidate(w http.ResponseWriter, r *http.Request) {
	text, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	_, problems := a.Validate(text)
	writeJSON(w, http.StatusOK, validationBody{Valid: len(problems) == 0, Errors: problems})
}

// postDocument handles POST /v1/document.
func (a *API) postDocument(w http.ResponseWriter, r *http.Request) {
	body := submissionBody{}
	if err := readJSON(w, r, &body); err != nil {
		writeError(w, err)
		return
	}
	if err := checkLengths(body.SubmissionID, body.Reason); err != nil {
		writeError(w, err)
		return
	}
	doc, problems := a.Validate(body.Document)
	if len(problems) > 0 {
		writeProblems(w, problems)
		return
	}
	sub := submission(r, body.BaseRevision, body.SubmissionID, body.Reason)
	sub.Document = doc
	revision, err := a.Submit(r.Context(), sub)
	writeAccepted(w, revision, err)
}

// postRollback handles POST /v1/document/rollback.
func (a *API) postRollback(w http.ResponseWriter, r *http.Request) {
	body := rollbackBody{}
	if err := readJSON(w, r, &body); err != nil {
		writeError(w, err)
		return
	}
	if err := checkLengths(body.SubmissionID, body.Reason); err != nil {
		writeError(w, err)
		return
	}
	sub := submission(r, body.BaseRevision, body.SubmissionID, body.Reason)
	revision, err := a.Rollback(r.Context(), body.ToRevision, sub)
	writeAccepted(w, revision, err)
}

// checkLengths limits the texts that are stored in the root, because the root is
// sent to every process.
func checkLengths(submissionID, reason string) error {
	if len(submissionID) > maxSubmissionIDBytes || len(reason) > maxReasonBytes {
		return failure.New(failure.Invalid, "the reason or the submissionId is too long", "keep the reason under 1000 bytes and use a UUID")
	}
	return nil
}

// submission returns a submission without a document, made by the authenticated
// operator.
func submission(r *http.Request, base uint32, id, reason string) store.Submission {
	return store.Submission{
		BaseRevision: base,
		SubmissionID: id,
		Operator:     operatorOf(r),
		FromAddress:  FromAddress(r),
		Reason:       reason,
	}
}

// writeAccepted writes the accepted revision, or the error if there is one.
func writeAccepted(w http.ResponseWriter, revision uint32, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, acceptedBody{Revision: revision})
}

// getDiff handles GET /v1/document/diff.
func (a *API) getDiff(w http.ResponseWriter, r *http.Request) {
	from, err := queryUint(r, "from", 0)
	if err != nil {
		writeError(w, err)
		return
	}
	current, _ := a.InForce()
	to, err := queryUint(r, "to", current)
	if err != nil {
		writeError(w, err)
		return
	}
	changes, err := a.Diff(r.Context(), from, to)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		From    uint32   `json:"from"`
		To      uint32   `json:"to"`
		Changes []Change `json:"changes"`
	}{from, to, Changes(changes)})
}

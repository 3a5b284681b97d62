package operators

import (
	"net/http"
	"time"

	"comfreyrelay.example/relay/wire"
)

// defaultAuditLimit is the number of records returned if the request sets no limit.
const defaultAuditLimit = 50

// Record is one record of the audit trail, as JSON of the API.
type Record struct {
	Revision     uint32    `json:"revision"`
	BaseRevision uint32    `json:"baseRevision"`
	Operator     string    `json:"operator"`
	At           time.Time `json:"at"`
	FromAddress  string    `json:"fromAddress"`
	Reason       string    `json:"reason"`
	Diff         []Change  `json:"diff"`
	ContentHash  string    `json:"contentHash"`
	SubmissionID string    `json:"submissionId"`
}

// NewRecord converts a wire audit record to an API record.
func NewRecord(audit *wire.Audit) Record {
	return Record{
		Revision: audit.GetRevision(), BaseRevision: audit.GetBaseRevision(), Operator: audit.GetOperator(),
		At: audit.GetAt().AsTime(), FromAddress: audit.GetFromAddress(), Reason: audit.GetReason(),
		Diff: Changes(audit.GetDiff()), ContentHash: audit.GetContentHash(), SubmissionID: audit.GetSubmissionId(),
	}
}

// getAudit handles GET /v1/audit.
func (a *API) getAudit(w http.ResponseWriter, r *http.Request) {
	from, err := queryUint(r, "from", 1)
	if err != nil {
		writeError(w, err)
		return
	}
	limit, err := queryUint(r, "limit", defaultAuditLimit)
	if err != nil {
		writeError(w, err)
		return
	}
	trail, err := a.Audit(r.Context(), from, int(limit))
	if err != nil {
		writeError(w, err)
		return
	}
	records := make([]Record, len(trail))
	for i, audit := range trail {
		records[i] = NewRecord(audit)
	}
	writeJSON(w, http.StatusOK, struct {
		Records []Record `json:"records"`
	}{records})
}

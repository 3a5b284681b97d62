package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Record is one entry of the audit trail.
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

// Audit returns at most limit records from a revision on, oldest first.
func (c *Client) Audit(ctx context.Context, from uint32, limit int) ([]Record, error) {
	var got struct {
		Records []Record `json:"records"`
	}
	err := c.get(ctx, fmt.Sprintf("/v1/audit?from=%d&limit=%d", from, limit), &got)
	return got.Records, err
}

// Node is one process as the entry knows it.
type Node struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Revision in force there, by its latest report.
	Revision     uint32 `json:"revision"`
	PlanRevision uint32 `json:"planRevision"`
	// AgeMillis is how old that report is.
	AgeMillis int64 `json:"ageMillis"`
	Leaving   bool  `json:"leaving"`
	Lost      bool  `json:"lost"`
	// Load: requests running and queued on a host, or in flight at an entry.
	Running uint32 `json:"running"`
	Queued  uint32 `json:"queued"`
}

// Status says what is in force and who knows it.
type Status struct {
	// Entry is the id of the entry that answered.
	Entry        string `json:"entry"`
	Revision     uint32 `json:"revision"`
	PlanRevision uint32 `json:"planRevision"`
	// AgeMillis is the time since the key-value service confirmed the revision;
	// negative where it never did.
	AgeMillis int64 `json:"ageMillis"`
	// LowestRevision is the lowest in force on any node that is not lost.
	LowestRevision uint32 `json:"lowestRevision"`
	Nodes          []Node `json:"nodes"`
}

// Status returns what one entry knows of the deployment.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	found := &Status{}
	return found, c.get(ctx, "/v1/status", found)
}

// Progress is how far a version is in one failure domain.
type Progress struct {
	Model         string `json:"model"`
	Version       string `json:"version"`
	FailureDomain string `json:"failureDomain"`
	// Wanted is the replicas that the document asks for; the rest count hosts.
	Wanted   int `json:"wanted"`
	Serving  int `json:"serving"`
	Whole    int `json:"whole"`
	Fetching int `json:"fetching"`
	Failed   int `json:"failed"`
	// ChunksHave and ChunksTotal are sums over the hosts.
	ChunksHave  uint64   `json:"chunksHave"`
	ChunksTotal uint64   `json:"chunksTotal"`
	HoldUps     []string `json:"holdUps"`
}

// Rollout says how far the intended versions are.
type Rollout struct {
	Revision uint32     `json:"revision"`
	Done     bool       `json:"done"`
	Models   []Progress `json:"models"`
}

// Rollout returns the progress as one entry knows it.
func (c *Client) Rollout(ctx context.Context) (*Rollout, error) {
	found := &Rollout{}
	return found, c.get(ctx, "/v1/rollout", found)
}

// drainBody asks to take a host out, or back.
type drainBody struct {
	Drain bool `json:"drain"`
}

// Drain takes a host out of service, or back with drain false. Sending it
// twice does no harm.
func (c *Client) Drain(ctx context.Context, host string, drain bool) error {
	return c.call(ctx, http.MethodPost, "/v1/hosts/"+url.PathEscape(host)+"/drain", &drainBody{Drain: drain}, nil)
}

// Directory is the answer to "which entry do I use?".
type Directory struct {
	Use        string   `json:"use"`
	Spares     []string `json:"spares"`
	TTLSeconds float64  `json:"ttlSeconds"`
}

// Entries asks which entry callers are sent to.
func (c *Client) Entries(ctx context.Context) (*Directory, error) {
	found := &Directory{}
	return found, c.get(ctx, "/v1/entries", found)
}

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

// Node is the state of one process, as last reported to the entry.
type Node struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Revision is the one in force on the node, according to its latest report.
	Revision     uint32 `json:"revision"`
	PlanRevision uint32 `json:"planRevision"`
	// AgeMillis is the age of that report.
	AgeMillis int64 `json:"ageMillis"`
	Leaving   bool  `json:"leaving"`
	Lost      bool  `json:"lost"`
	// Running and Queued are the load: requests running and queued on a host,
	// or in flight at an entry.
	Running uint32 `json:"running"`
	Queued  uint32 `json:"queued"`
}

// Status is the revision in force and the state of each node.
type Status struct {
	// Entry is the id of the entry that answered.
	Entry        string `json:"entry"`
	Revision     uint32 `json:"revision"`
	PlanRevision uint32 `json:"planRevision"`
	// AgeMillis is the time since the key-value service last confirmed the
	// revision; negative if it never did.
	AgeMillis int64 `json:"ageMillis"`
	// LowestRevision is the lowest revision in force on any node that is not lost.
	LowestRevision uint32 `json:"lowestRevision"`
	Nodes          []Node `json:"nodes"`
}

// Status returns the state of the deployment as one entry knows it.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	found := &Status{}
	return found, c.get(ctx, "/v1/status", found)
}

// Progress is the rollout progress of a model version in one failure domain.
type Progress struct {
	Model         string `json:"model"`
	Version       string `json:"version"`
	FailureDomain string `json:"failureDomain"`
	// Wanted is the number of replicas that the document asks for; Serving, Whole,
	// Fetching and Failed count hosts.
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

// Rollout is the rollout progress of the intended model versions.
type Rollout struct {
	Revision uint32     `json:"revision"`
	Done     bool       `json:"done"`
	Models   []Progress `json:"models"`
}

// Rollout returns the rollout progress as one entry knows it.
func (c *Client) Rollout(ctx context.Context) (*Rollout, error) {
	found := &Rollout{}
	return found, c.get(ctx, "/v1/rollout", found)
}

// drainBody is the request body for draining a host or ending its drain.
type drainBody struct {
	Drain bool `json:"drain"`
}

// Drain takes a host out of service, or returns it to service if drain is false.
// The request is idempotent.
func (c *Client) Drain(ctx context.Context, host string, drain bool) error {
	return c.call(ctx, http.MethodPost, "/v1/hosts/"+url.PathEscape(host)+"/drain", &drainBody{Drain: drain}, nil)
}

// Directory tells a caller which entry to use and which ones to fall back on.
type Directory struct {
	Use        string   `json:"use"`
	Spares     []string `json:"spares"`
	TTLSeconds float64  `json:"ttlSeconds"`
}

// Entries returns the entry that callers are directed to.
func (c *Client) Entries(ctx context.Context) (*Directory, error) {
	found := &Directory{}
	return found, c.get(ctx, "/v1/entries", found)
}

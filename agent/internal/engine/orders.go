package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"comfreyrelay.example/relay/failure"
)

// Orders that an engine takes.
const (
	Load   = "load"
	Unload = "unload"
	Role   = "role"
)

// Adapter names one adapter of an order or a status.
type Adapter struct {
	Name        string   `json:"name"`
	Version     string   `json:"version"`
	ChunkHashes []string `json:"chunkHashes,omitempty"`
}

// Order is one order to the engine.
type Order struct {
	Fence       uint64    `json:"fence"`
	Order       string    `json:"order"`
	Model       string    `json:"model,omitempty"`
	Version     string    `json:"version,omitempty"`
	ChunkHashes []string  `json:"chunkHashes,omitempty"`
	Adapters    []Adapter `json:"adapters,omitempty"`
	Role        string    `json:"role,omitempty"`
}

// Status is what the engine says of itself; it lags.
type Status struct {
	Model           string    `json:"model"`
	Version         string    `json:"version"`
	Adapters        []Adapter `json:"adapters"`
	Fence           uint64    `json:"fence"`
	Role            string    `json:"role"`
	Running         uint32    `json:"running"`
	Queued          uint32    `json:"queued"`
	Slots           uint32    `json:"slots"`
	TokensPerSecond float64   `json:"tokensPerSecond"`
}

// Status asks the engine for its state.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	status := &Status{}
	return status, c.getJSON(ctx, "/status", status)
}

// Order gives an order. Kind Stale: the engine obeyed a newer fencing number,
// which is returned. Kind Invalid: a chunk is missing or wrong there.
func (c *Client) Order(ctx context.Context, order *Order) (current uint64, err error) {
	res, err := c.post(ctx, c.keepAlive, "/orders", order)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusOK:
		discardBody(res)
		return order.Fence, nil
	case http.StatusConflict:
		var reply struct {
			Fence uint64 `json:"fence"`
		}
		_ = json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&reply)
		return reply.Fence, failure.New(failure.Stale, "the engine obeyed a newer fencing number",
			"wait for the plan of the present lease-holder")
	}
	discardBody(res)
	return 0, statusError(res.StatusCode)
}

package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"comfreyrelay.example/relay/failure"
)

// Kinds of orders to an engine.
const (
	OrderLoad    = "load"
	OrderUnload  = "unload"
	OrderSetRole = "role"
)

// Adapter describes an adapter in an order or a status.
type Adapter struct {
	Name        string   `json:"name"`
	Version     string   `json:"version"`
	ChunkHashes []string `json:"chunkHashes,omitempty"`
}

// Order tells the engine to load or unload weights or to change its role. Fence is
// a fencing number: the engine rejects an order whose number is lower than that of
// an order it has accepted.
type Order struct {
	Fence       uint64    `json:"fence"`
	Kind        string    `json:"order"`
	Model       string    `json:"model,omitempty"`
	Version     string    `json:"version,omitempty"`
	ChunkHashes []string  `json:"chunkHashes,omitempty"`
	Adapters    []Adapter `json:"adapters,omitempty"`
	Role        string    `json:"role,omitempty"`
}

// Status is the engine's report of its own state, which may be out of date.
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

// Order sends an order. On success current is the fencing number of the order. The
// error has kind Stale if the engine has accepted a newer fencing number, which is
// then returned as current, and kind Invalid if the engine lacks a chunk or has a
// wrong one.
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
		return reply.Fence, failure.New(failure.Stale, "the engine has accepted a newer fencing number",
			"wait for the plan of the current lease holder")
	}
	discardBody(res)
	return 0, statusError(res.StatusCode)
}

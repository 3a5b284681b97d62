package engine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"

	"comfreyrelay.example/relay/failure"
)

type callMessage struct {
	RequestID string `json:"requestId,omitempty"`
	Body      []byte `json:"body"`
}

// Call runs one call of a plain service and returns the body of its answer.
// Kind Exhausted: the service refused; whether that proves that it did not run
// is a property of the document's endpoint class.
func (c *Client) Call(ctx context.Context, requestID string, body []byte, atMostOnce bool) ([]byte, error) {
	res, err := c.post(ctx, c.httpClient(atMostOnce), "/call", callMessage{RequestID: requestID, Body: body})
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		discardBody(res)
		return nil, callStatusError(res.StatusCode)
	}
	var reply callMessage
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return nil, failure.Wrap(err, failure.Ambiguous, "the service's answer was cut short or malformed",
			"look at the service's log whether the call ran")
	}
	return reply.Body, nil
}

// callStatusError treats every status but 503 as proof of nothing: a service
// may fail in the middle of a call.
func callStatusError(status int) error {
	if status == http.StatusServiceUnavailable {
		return statusError(status)
	}
	return failure.New(failure.Ambiguous, "the service answered "+http.StatusText(status),
		"look at the service's log whether the call ran")
}

// Reach reports whether something listens at the endpoint's address.
func (c *Client) Reach(ctx context.Context) error {
	endpoint, err := url.Parse(c.baseURL)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "endpointUrl is not an address", "correct it")
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", endpoint.Host)
	if err != nil {
		return transportError(err)
	}
	return conn.Close()
}

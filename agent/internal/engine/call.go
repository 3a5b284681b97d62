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

// callMessage is the JSON form of a call and of its answer.
type callMessage struct {
	RequestID string `json:"requestId,omitempty"`
	Body      []byte `json:"body"`
}

// Call sends one call to a plain service and returns the body of the answer. An
// error of kind Exhausted means that the service refused the call; whether that
// proves that it did not run is a property of the endpoint class in the document.
// For atMostOnce see Generate.
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
		return nil, failure.Wrap(err, failure.Ambiguous, "the service's answer is incomplete or malformed",
			"check in the service's log whether the call ran")
	}
	return reply.Body, nil
}

// callStatusError returns kind Ambiguous for every status but 503, because a service
// may fail during a call.
func callStatusError(status int) error {
	if status == http.StatusServiceUnavailable {
		return statusError(status)
	}
	return failure.New(failure.Ambiguous, "the service answered "+http.StatusText(status),
		"check in the service's log whether the call ran")
}

// CheckReachable returns nil if a TCP connection to the endpoint's address can be opened.
func (c *Client) CheckReachable(ctx context.Context) error {
	endpoint, err := url.Parse(c.baseURL)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "endpointUrl is not a valid URL", "correct it")
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", endpoint.Host)
	if err != nil {
		return transportError(err)
	}
	return conn.Close()
}

// Package engine is the HTTP client of the endpoint of this host: a model engine,
// a plain service or the mainframe bridge. No other package of the agent calls the
// endpoint.
//
// Errors are failure.Errors whose kind says what is known about the request.
// Unavailable (the endpoint was not reached), Exhausted (it refused the request
// before running it) and NotFound (what was asked for is not loaded) prove that
// the request did not run. Ambiguous proves nothing. For the exception of a plain
// service see Call.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"comfreyrelay.example/relay/failure"
)

const (
	// dialTimeout is the timeout for connecting to the endpoint, which is on the
	// same host.
	dialTimeout = time.Second
	// maxReplyBytes is the maximum size of a reply that is not streamed.
	maxReplyBytes = 4 << 20
	// idleConns is the maximum number of idle connections to the endpoint.
	idleConns = 64
)

// Client calls the endpoint. It is safe for concurrent use.
type Client struct {
	baseURL string // without a trailing slash
	// keepAlive reuses connections.
	keepAlive *http.Client
	// noReuse dials for each call. If the endpoint closes a reused connection
	// while a request is sent, it is unknown whether the request was read; a
	// failed dial proves that it was not.
	noReuse *http.Client
}

// New returns a Client of the endpoint at baseURL, which has the form
// "http://ip:port".
func New(baseURL string) *Client {
	return &Client{baseURL: baseURL, keepAlive: newHTTPClient(true), noReuse: newHTTPClient(false)}
}

func newHTTPClient(keepAlive bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableKeepAlives:   !keepAlive,
			DisableCompression:  true,
			MaxIdleConns:        idleConns,
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     30 * time.Second,
		},
		// Following a redirect would send the body a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.keepAlive.CloseIdleConnections()
	c.noReuse.CloseIdleConnections()
}

// post sends a JSON body. The request has neither GetBody nor an Idempotency-Key
// header, so that net/http never sends the POST again on its own.
func (c *Client) post(ctx context.Context, client *http.Client, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "cannot encode the call", "report it")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the endpoint's address is invalid", "correct endpointUrl")
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	return res, nil
}

// getJSON sends a GET request and decodes the JSON reply into out.
func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	body, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return failure.Wrap(err, failure.Corrupt, "the endpoint's reply to "+path+" cannot be decoded",
			"check that endpointUrl names the endpoint")
	}
	return nil
}

// do sends an idempotent request and returns the body of the reply.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the endpoint's address is invalid", "correct endpointUrl")
	}
	res, err := c.keepAlive.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		discardBody(res)
		return nil, statusError(res.StatusCode)
	}
	reply, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err != nil {
		return nil, transportError(err)
	}
	if len(reply) > maxReplyBytes {
		return nil, failure.New(failure.Invalid, "the endpoint's reply is too large", "answer with at most 4 MiB")
	}
	return reply, nil
}

// discardBody reads the rest of a short reply so that the connection can be reused.
func discardBody(res *http.Response) {
	_, _ = io.CopyN(io.Discard, res.Body, 4<<10)
}

// transportError returns an error of kind Unavailable if the connection could not
// be established, and of kind Ambiguous if the request may have been sent.
func transportError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return failure.Wrap(err, failure.Unavailable, "the endpoint cannot be reached",
			"start it, or correct endpointUrl")
	}
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err
	}
	return failure.Wrap(err, failure.Ambiguous, "the connection to the endpoint broke",
		"check in the endpoint's own log whether the call ran")
}

// statusError maps an HTTP status other than 200 to an error.
func statusError(status int) error {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return failure.New(failure.Exhausted, "the endpoint's queue is full", "try again later")
	case http.StatusNotFound:
		return failure.New(failure.NotFound, "the endpoint does not have what was asked for", "load it first")
	case http.StatusConflict:
		return failure.New(failure.NotFound, "the endpoint has something else loaded", "wait for the load")
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		return failure.New(failure.Invalid, "the endpoint rejected the call as invalid", "look at the endpoint's log")
	}
	return failure.New(failure.Ambiguous, "the endpoint answered "+http.StatusText(status),
		"look at the endpoint's log")
}

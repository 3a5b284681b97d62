// Package engine speaks to the one endpoint of this host: a model engine, a
// plain service or the mainframe bridge. No other package of the agent does.
//
// Errors are failure.Errors whose kind says what is proved of a request:
// Unavailable (the endpoint was never reached), Exhausted (it refused before
// running), NotFound (what was asked for is not loaded) prove that it did not
// run; Ambiguous proves nothing.
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
	// dialTimeout bounds the connect to an endpoint on the same host.
	dialTimeout = time.Second
	// maxReplyBytes bounds every reply that is read whole.
	maxReplyBytes = 4 << 20
	// idleConns bounds the connections kept to the endpoint.
	idleConns = 64
)

// Client calls the endpoint. It is safe for concurrent use.
type Client struct {
	baseURL string // without a trailing slash
	// kept reuses connections.
	keepAlive *http.Client
	// fresh dials for each call. On a kept connection that the endpoint closes
	// at the same moment nobody knows whether the request was read; a
	// failed dial proves that it was not.
	noReuse *http.Client
}

// New returns a Client of the endpoint at the base address "http://ip:port".
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
		// A redirect would send the body a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.keepAlive.CloseIdleConnections()
	c.noReuse.CloseIdleConnections()
}

// post sends a JSON body. The request has no GetBody and no Idempotency-Key
// header, without which net/http never sends a POST again by itself.
func (c *Client) post(ctx context.Context, client *http.Client, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "cannot encode the call", "report it")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the endpoint's address is wrong", "correct endpointUrl")
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	return res, nil
}

// get reads a JSON reply into out.
func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	body, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return failure.Wrap(err, failure.Corrupt, "the endpoint's reply to "+path+" cannot be read",
			"check that endpointUrl names the endpoint")
	}
	return nil
}

// read does a call whose repetition is harmless and returns the reply's body.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the endpoint's address is wrong", "correct endpointUrl")
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

// drainReply reads the rest of a short reply so that its connection is kept.
func discardBody(res *http.Response) {
	_, _ = io.CopyN(io.Discard, res.Body, 4<<10)
}

// transportError distinguishes a call that was never handed out from one that may have
// been.
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
		"look at the endpoint's own log whether the call ran")
}

func statusError(status int) error {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return failure.New(failure.Exhausted, "the endpoint is over its queue", "try again later")
	case http.StatusNotFound:
		return failure.New(failure.NotFound, "the endpoint does not have it", "load it first")
	case http.StatusConflict:
		return failure.New(failure.NotFound, "the endpoint has something else loaded", "wait for the load")
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		return failure.New(failure.Invalid, "the endpoint found the call wrong", "look at the endpoint's log")
	}
	return failure.New(failure.Ambiguous, "the endpoint answered "+http.StatusText(status),
		"look at the endpoint's log")
}

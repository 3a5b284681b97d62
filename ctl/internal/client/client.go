// Package client is an HTTP client for the operator API, with failover between
// several entries.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
)

const (
	// maxReplyBytes limits how much of a response body is read.
	maxReplyBytes = 64 << 20
	// maxRounds is the number of passes over the list of entries.
	maxRounds = 3
	// initialBackoff is the delay before the second pass. It doubles after each
	// pass in which no entry gave a definite reply.
	initialBackoff = 300 * time.Millisecond
)

// Options configure a Client.
type Options struct {
	// Entries lists the addresses (IP:PORT) of the entries, in the order to try.
	Entries []string
	// Key is sent as the bearer token; no token is sent if it is empty.
	Key string
	// Timeout limits one attempt at one entry.
	Timeout time.Duration
	Clock   clockwork.Clock
	// Send replaces the HTTP client in tests; if nil, requests go over the network.
	Send func(*http.Request) (*http.Response, error)
	// Notify tells the user why another entry is tried.
	Notify func(line string)
}

// Client sends each request to the entries in order until one gives a definite
// reply, and starts with that entry the next time. It is not safe for concurrent
// use.
type Client struct {
	opts Options
	// preferred is the index of the entry that last gave a definite reply.
	preferred int
	// notified holds the lines already passed to Notify, so that polling does
	// not repeat them.
	notified map[string]bool
}

// New validates the options and returns a Client.
func New(opts Options) (*Client, error) {
	if len(opts.Entries) == 0 {
		return nil, failure.New(failure.Invalid, "no entry is named", "name one with --entry IP:PORT or COMFREY_ENTRY")
	}
	for _, entry := range opts.Entries {
		if _, err := netip.ParseAddrPort(entry); err != nil {
			return nil, failure.New(failure.Invalid, fmt.Sprintf("the entry %q is not an IP number with a port", entry),
				"write it as 127.0.0.1:7102")
		}
	}
	if opts.Send == nil {
		opts.Send = newHTTPClient().Do
	}
	if opts.Notify == nil {
		opts.Notify = func(string) {}
	}
	return &Client{opts: opts, notified: map[string]bool{}}, nil
}

// newHTTPClient returns an HTTP client that never resends a request by itself:
// it opens a new connection for each request and does not follow redirects.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// reply is the complete HTTP response of an entry.
type reply struct {
	status int
	body   []byte
}

// get sends a GET request for path and decodes the reply into the value into.
func (c *Client) get(ctx context.Context, path string, into any) error {
	return c.call(ctx, http.MethodGet, path, nil, into)
}

// call sends a request to the entries in order, retrying with exponential
// backoff, and decodes the reply into the value into. Changes must be idempotent:
// a reply may be lost after the change took effect, and the request is then resent.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	text, err := encode(body)
	if err != nil {
		return err
	}
	attempts := &attempts{isChange: method != http.MethodGet}
	backoff := initialBackoff
	for round := range maxRounds {
		if round > 0 {
			if err := c.wait(ctx, backoff); err != nil {
				return attempts.unsettledError(err)
			}
			backoff *= 2
		}
		if final, err := c.tryEntries(ctx, attempts, method, path, text, into); final {
			return err
		}
	}
	return attempts.unsettledError(nil)
}

// tryEntries tries each entry at most once and reports whether one of them gave
// a definite result, together with the error of that result.
func (c *Client) tryEntries(ctx context.Context, attempts *attempts, method, path string, text []byte, into any) (bool, error) {
	count := len(c.opts.Entries)
	start := c.preferred
	for i := range count {
		index := (start + i) % count
		answer, err := c.send(ctx, c.opts.Entries[index], method, path, text)
		if err == nil {
			err = decodeReply(answer, into, method)
		}
		if err == nil || attempts.isFinal(err) {
			c.preferred = index
			return true, attempts.finalError(err)
		}
		attempts.record(err)
		c.notify(c.opts.Entries[index], err)
	}
	return false, nil
}

// notify reports a failed attempt to the user, each distinct line once.
func (c *Client) notify(entry string, err error) {
	line := fmt.Sprintf("entry %s: %v", entry, err)
	if c.notified[line] {
		return
	}
	c.notified[line] = true
	c.opts.Notify(line)
}

// wait sleeps for the backoff or until ctx is done.
func (c *Client) wait(ctx context.Context, backoff time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.opts.Clock.After(backoff):
		return nil
	}
}

// send makes one attempt at one entry and reads the whole response.
func (c *Client) send(ctx context.Context, entry, method, path string, text []byte) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(text))
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the request cannot be created", "correct the arguments")
	}
	if len(text) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.opts.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.opts.Key)
	}
	response, err := c.opts.Send(request)
	if err != nil {
		return nil, classifySendError(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, classifySendError(err)
	}
	return &reply{status: response.StatusCode, body: content}, nil
}

// classifySendError returns Unavailable if the connection could not be opened, so
// that the request had no effect, and Ambiguous if the reply is missing or
// incomplete, so that the request may have taken effect.
func classifySendError(err error) error {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err // drop the URL: the caller already names the entry
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return failure.Wrap(err, failure.Unavailable, "the entry cannot be reached", "name another with --entry")
	}
	return failure.Wrap(err, failure.Ambiguous, "the reply is missing or incomplete", "ask for the state before you try again")
}

// encode returns body as JSON, or nil if there is no body.
func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "the request cannot be encoded", "report this with the command line")
	}
	return text, nil
}

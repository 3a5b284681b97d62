// Package client speaks the operators' HTTP API of any of several entries.
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
	// maxReplyBytes bounds what is read of one reply.
	maxReplyBytes = 64 << 20
	// maxRounds is how often the whole list of entries is tried.
	maxRounds = 3
	// initialBackoff doubles after each round that found no entry.
	initialBackoff = 300 * time.Millisecond
)

// Options configure a Client.
type Options struct {
	// Entries are IP addresses with ports, tried in order.
	Entries []string
	// Key is the bearer key; empty sends none.
	Key string
	// Timeout bounds one attempt at one entry.
	Timeout time.Duration
	Clock   clockwork.Clock
	// Send replaces the HTTP client in tests; nil sends over the network.
	Send func(*http.Request) (*http.Response, error)
	// Notify shows the person at the terminal why another entry is tried.
	Notify func(line string)
}

// Client tries the entries in order until one replies, and begins with that one
// the next time. It is not safe for concurrent use.
type Client struct {
	opts Options
	// preferred is the index of the entry that replied last.
	preferred int
	// notified holds the lines that Notify got: polling repeats them.
	notified map[string]bool
}

// New checks the options and makes a Client.
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

// newHTTPClient returns a client that never sends a request again by itself:
// it makes a connection for each request and follows no redirect.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// reply is one entry's whole answer.
type reply struct {
	status int
	body   []byte
}

// get reads a path from the first entry that replies.
func (c *Client) get(ctx context.Context, path string, into any) error {
	return c.call(ctx, http.MethodGet, path, nil, into)
}

// call sends one request to the entries in order. A change must be safe to
// send twice: a reply may be lost after the change took effect.
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

// tryEntries asks each entry once and reports whether one settled the request.
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

func (c *Client) notify(entry string, err error) {
	line := fmt.Sprintf("entry %s: %v", entry, err)
	if c.notified[line] {
		return
	}
	c.notified[line] = true
	c.opts.Notify(line)
}

func (c *Client) wait(ctx context.Context, backoff time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.opts.Clock.After(backoff):
		return nil
	}
}

func (c *Client) send(ctx context.Context, entry, method, path string, text []byte) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(text))
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the request cannot be made", "correct the arguments")
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

// classifySendError distinguishes a request that never left, which had no effect, from one
// whose reply did not come, which may have had one.
func classifySendError(err error) error {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err // the entry is named elsewhere
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return failure.Wrap(err, failure.Unavailable, "the entry cannot be reached", "name another with --entry")
	}
	return failure.Wrap(err, failure.Ambiguous, "no whole reply came", "ask for the state before you try again")
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "the request cannot be written", "report this with the command line")
	}
	return text, nil
}

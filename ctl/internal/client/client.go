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
	// rounds is how often the whole list of entries is tried.
	rounds = 3
	// firstPause doubles after each round that found no entry.
	firstPause = 300 * time.Millisecond
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
	// first is the index of the entry that replied last.
	first int
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
	pause := firstPause
	for round := range rounds {
		if round > 0 {
			if err := c.wait(ctx, pause); err != nil {
				return attempts.giveUp(err)
			}
			pause *= 2
		}
		if settled, err := c.round(ctx, attempts, method, path, text, into); settled {
			return err
		}
	}
	return attempts.giveUp(nil)
}

// round asks each entry once and reports whether one settled the request.
func (c *Client) round(ctx context.Context, attempts *attempts, method, path string, text []byte, into any) (bool, error) {
	count := len(c.opts.Entries)
	begin := c.first
	for i := range count {
		at := (begin + i) % count
		answer, err := c.once(ctx, c.opts.Entries[at], method, path, text)
		if err == nil {
			err = read(answer, into, method)
		}
		if err == nil || attempts.settles(err) {
			c.first = at
			return true, attempts.settled(err)
		}
		attempts.note(err)
		c.notify(c.opts.Entries[at], err)
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

func (c *Client) wait(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.opts.Clock.After(pause):
		return nil
	}
}

func (c *Client) once(ctx context.Context, entry, method, path string, text []byte) (*reply, error) {
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
		return nil, lost(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, lost(err)
	}
	return &reply{status: response.StatusCode, body: content}, nil
}

// lost distinguishes a request that never left, which had no effect, from one
// whose reply did not come, which may have had one.
func lost(err error) error {
	var address *url.Error
	if errors.As(err, &address) {
		err = address.Err // the entry is named elsewhere
	}
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
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

package kv

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"comfreyrelay.example/relay/budget"
	"comfreyrelay.example/relay/failure"
)

// entryBody is the JSON form of an entry in the service's answers.
type entryBody struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

func (b entryBody) entry() Entry { return NewEntry(b.Key, b.Value, b.Revision, b.Deleted) }

func entries(bodies []entryBody) []Entry {
	out := make([]Entry, 0, len(bodies))
	for _, body := range bodies {
		out = append(out, body.entry())
	}
	return out
}

// NewHTTP returns a Store for the service at baseURL. The caller becomes the
// User-Agent, by which the service accounts for calls. Each call first waits for the
// budget. Redirects and retries are disabled, so that a write is sent at most once.
func NewHTTP(baseURL, caller string, limit *budget.Budget, client *http.Client) *Store {
	return newHTTP(newCaller(baseURL, caller, limit, client))
}

func newCaller(baseURL, agent string, limit *budget.Budget, client *http.Client) *caller {
	once := *client
	once.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &caller{base: strings.TrimSuffix(baseURL, "/"), agent: agent, budget: limit, client: &once}
}

func newHTTP(c *caller) *Store {
	return &Store{
		Get:       c.get,
		List:      c.list,
		Swap:      c.swap,
		Delete:    c.delete,
		Watch:     c.watch,
		Grant:     c.grant,
		KeepAlive: c.keepAlive,
		Revoke:    c.revoke,
	}
}

func (c *caller) get(ctx context.Context, key string) (Entry, bool, error) {
	var body entryBody
	err := c.send(ctx, call{kind: budget.Get, key: key, method: http.MethodGet, path: "/kv/" + key, timeout: callTimeout}, &body)
	if err != nil && failure.KindOf(err) == failure.NotFound {
		return Entry{}, false, nil
	}
	if err != nil {
		return Entry{}, false, err
	}
	return body.entry(), true, nil
}

func (c *caller) list(ctx context.Context, prefix string) ([]Entry, error) {
	var body struct {
		Entries []entryBody `json:"entries"`
	}
	err := c.send(ctx, call{kind: budget.List, key: prefix, method: http.MethodGet, path: "/kv",
		query: url.Values{"prefix": {prefix}}, timeout: callTimeout}, &body)
	if err != nil {
		return nil, err
	}
	return entries(body.Entries), nil
}

func (c *caller) swap(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	query := url.Values{"ifRevision": {strconv.FormatUint(ifRevision, 10)}}
	if lease != "" {
		query.Set("lease", lease)
	}
	var body struct {
		Revision uint64 `json:"revision"`
	}
	err := c.send(ctx, call{kind: budget.Swap, key: key, method: http.MethodPut, path: "/kv/" + key,
		query: query, body: value, timeout: callTimeout}, &body)
	return body.Revision, err
}

func (c *caller) delete(ctx context.Context, key string, ifRevision uint64) error {
	return c.send(ctx, call{kind: budget.Delete, key: key, method: http.MethodDelete, path: "/kv/" + key,
		query: url.Values{"ifRevision": {strconv.FormatUint(ifRevision, 10)}}, timeout: callTimeout}, nil)
}

func (c *caller) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var body struct {
		Changes  []entryBody `json:"changes"`
		Revision uint64      `json:"revision"`
	}
	err := c.send(ctx, call{kind: budget.Watch, key: prefix, method: http.MethodGet, path: "/watch",
		query: query, timeout: wait + watchGrace}, &body)
	if err != nil {
		return nil, after, err
	}
	return entries(body.Changes), body.Revision, nil
}

func (c *caller) grant(ctx context.Context, ttl time.Duration) (string, error) {
	var body struct {
		Lease string `json:"lease"`
	}
	err := c.send(ctx, call{kind: budget.Grant, method: http.MethodPost, path: "/leases",
		query: url.Values{"ttlMillis": {strconv.FormatInt(ttl.Milliseconds(), 10)}}, timeout: callTimeout}, &body)
	return body.Lease, err
}

func (c *caller) keepAlive(ctx context.Context, lease string) error {
	return c.send(ctx, call{kind: budget.KeepAlive, method: http.MethodPost, path: "/leases/" + lease + "/keepalive",
		timeout: callTimeout}, nil)
}

func (c *caller) revoke(ctx context.Context, lease string) error {
	return c.send(ctx, call{kind: budget.Revoke, method: http.MethodDelete, path: "/leases/" + lease, timeout: callTimeout}, nil)
}

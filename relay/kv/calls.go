package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"comfreyrelay.example/relay/budget"
	"comfreyrelay.example/relay/failure"
)

const (
	// callTimeout limits a call whose context has no earlier deadline, so that
	// calls to a service that accepts them and never answers fail.
	callTimeout = 10 * time.Second
	// watchGrace is how much longer than its requested wait a watch may take
	// before the client treats it as failed.
	watchGrace = 5 * time.Second
	// maxAnswerBytes limits the bytes read from one answer.
	maxAnswerBytes = 64 << 20
)

// caller sends HTTP requests to the service.
type caller struct {
	base   string // without a trailing slash
	agent  string // User-Agent
	budget *budget.Budget
	client *http.Client // must not follow redirects, which would send a write twice
}

// call describes one HTTP request.
type call struct {
	kind    budget.Kind
	key     string
	method  string
	path    string // unescaped, starts with a slash
	query   url.Values
	body    []byte
	timeout time.Duration
}

// send waits for the budget, makes the call once and decodes the body of a 200 into
// answer.
func (c *caller) send(ctx context.Context, call call, answer any) error {
	if err := c.budget.Wait(ctx, budget.Call{Kind: call.kind, Key: call.key}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	status, text, err := c.roundTrip(ctx, call)
	if err != nil {
		return err
	}
	if err := statusError(call, status); err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return answerLost(err, call)
	}
	return nil
}

// roundTrip makes the call and returns the status and body of the answer. A write
// that fails after it got a connection may have taken effect; a write that never got
// one has not.
func (c *caller) roundTrip(ctx context.Context, call call) (int, []byte, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return 0, nil, failure.Wrap(err, failure.Invalid, "cannot build the request to the key-value service", "check kvUrl in the settings")
	}
	answer, err := c.client.Do(request)
	if err != nil && !connected.Load() {
		return 0, nil, unavailable(err)
	}
	if err != nil {
		return 0, nil, answerLost(err, call)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, answerLost(err, call)
	}
	return answer.StatusCode, text, nil
}

func (c *caller) request(ctx context.Context, call call) (*http.Request, error) {
	target := c.base + (&url.URL{Path: call.path}).EscapedPath()
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot resend the body on its own.
	request.GetBody = nil
	request.Header.Set("User-Agent", c.agent)
	return request, nil
}

// statusError maps an HTTP status to an error, or nil for 200.
func statusError(call call, status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return failure.New(failure.NotFound, "the key-value service does not know "+call.path, "create it first")
	case http.StatusConflict:
		return failure.New(failure.Conflict, "the key "+call.key+" was changed by another client", "read it again and retry with the new revision")
	case http.StatusGone:
		return failure.New(failure.Stale, "the history of "+call.key+" is compacted", "list the keys again")
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return unavailable(nil)
	}
	if status >= http.StatusInternalServerError {
		return answerLost(nil, call)
	}
	return failure.New(failure.Invalid, "the key-value service refused "+call.path+": "+http.StatusText(status),
		"check the key and that the value has at most 1 MiB")
}

func unavailable(cause error) error {
	return failure.Wrap(cause, failure.Unavailable, "the key-value service cannot be reached or has reached its rate limit",
		"try again later; nothing was changed")
}

// answerLost returns the error for a call that was sent but got no usable answer. A
// write is then Ambiguous.
func answerLost(cause error, call call) error {
	if !call.kind.Writes() {
		return unavailable(cause)
	}
	return failure.Wrap(cause, failure.Ambiguous, "the key-value service did not answer; the write may have taken effect",
		"read the key again to see whether it did")
}

package onsite

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/relay/site"
)

// maxIdleStoreConns limits the idle connections to the store, and storeIdleTimeout how long they are
// kept.
const (
	maxIdleStoreConns = 3
	storeIdleTimeout  = 20 * time.Second
	// largeAnswerBytes and slowAnswerTime are the size of an answer and the time for its body from
	// which on it is logged. Entries of a region share the link over which they read.
	largeAnswerBytes = 64 << 10
	slowAnswerTime   = 200 * time.Millisecond
)

// storeTransport sends the calls to the store and records in a Contact which of them were answered.
// Once open connections prove silent it ends the calls that wait on them.
type storeTransport struct {
	conns   *http.Transport
	contact *site.Contact
	log     *slog.Logger

	mu      sync.Mutex
	pending map[*storeCall]bool
}

// storeCall is a call without an answer yet.
type storeCall struct {
	began time.Duration
	end   context.CancelCauseFunc
}

// newStoreClient returns an HTTP client for the store whose connections are closed when the store
// stops responding.
func newStoreClient(contact *site.Contact, log *slog.Logger) *http.Client {
	return &http.Client{
		Transport: &storeTransport{
			conns: &http.Transport{
				DialContext:         upstream.Dial,
				MaxIdleConnsPerHost: maxIdleStoreConns, IdleConnTimeout: storeIdleTimeout, DisableCompression: true,
				MaxResponseHeaderBytes: maxHeaderBytes,
			},
			contact: contact, log: log, pending: map[*storeCall]bool{},
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RoundTrip implements http.RoundTripper.
func (t *storeTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, end := context.WithCancelCause(req.Context())
	call := &storeCall{began: t.contact.Now(), end: end}
	var reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(conn httptrace.GotConnInfo) { reused.Store(conn.Reused) },
	})
	t.add(call)
	resp, err := t.conns.RoundTrip(req.WithContext(ctx))
	t.remove(call)
	switch {
	case errors.Is(context.Cause(ctx), site.ErrSilentConnection):
		if err == nil {
			_ = resp.Body.Close()
		}
		return nil, site.ErrSilentConnection
	case err != nil:
		end(nil)
		t.contact.Unanswered(call.began, !reused.Load())
		t.conns.CloseIdleConnections()
		return nil, err
	case refusesCalls(resp.StatusCode):
		t.contact.Unanswered(call.began, true)
		return resp, nil
	default:
		t.react(t.contact.Answered(call.began, !reused.Load()))
	}
	resp.Body = &storeBody{ReadCloser: resp.Body, transport: t, path: req.URL.Path, began: call.began, headAt: t.contact.Now()}
	// The request's own context, which the client cancels once it has read the body, ends ctx.
	return resp, nil
}

// storeBody is the body of an answer. It is logged once it is closed, if it was large or slow.
type storeBody struct {
	io.ReadCloser
	transport     *storeTransport
	path          string
	began, headAt time.Duration // of the call, and when the head of its answer arrived
	bytes         int
}

func (b *storeBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	if count > 0 {
		b.bytes += count
		b.transport.contact.Received()
	}
	return count, err
}

func (b *storeBody) Close() error {
	took := b.transport.contact.Now() - b.headAt
	if b.bytes >= largeAnswerBytes {
		b.transport.contact.Transferred(took)
	}
	if b.bytes >= largeAnswerBytes || took >= slowAnswerTime {
		b.transport.log.Info("large or slow answer of the store", "path", b.path, "bytes", b.bytes,
			"headMillis", (b.headAt - b.began).Milliseconds(), "bodyMillis", took.Milliseconds())
	}
	return b.ReadCloser.Close()
}

// refusesCalls reports whether a status means that the store does not serve this process for now. It
// may refuse the owners of registrations too.
func refusesCalls(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

func (t *storeTransport) add(call *storeCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending[call] = true
}

func (t *storeTransport) remove(call *storeCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, call)
}

// react logs what an answer shows and ends the calls on silent connections.
func (t *storeTransport) react(answer site.Answer) {
	if answer.Outage > 0 {
		t.log.Info("registrations that lapsed are kept", "outageMillis", answer.Outage.Milliseconds(), "graceMillis", t.contact.GraceLeft().Milliseconds())
	}
	if answer.SilentBefore == 0 {
		return
	}
	ended := 0
	t.mu.Lock()
	for call := range t.pending {
		if call.began < answer.SilentBefore {
			call.end(site.ErrSilentConnection)
			ended++
		}
	}
	t.mu.Unlock()
	t.log.Warn("connections to the store went silent", "endedCalls", ended)
}

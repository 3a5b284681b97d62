package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// leavingCaller is a caller that disconnects while its answer is written.
type leavingCaller struct {
	*httptest.ResponseRecorder
	leave context.CancelFunc
}

func (c leavingCaller) Write(data []byte) (int, error) {
	c.leave()
	time.Sleep(20 * time.Millisecond) // the cancellation runs in its own goroutine
	return c.ResponseRecorder.Write(data)
}

// Guards against a caller's disconnection that ends another caller's request: its connection to the
// endpoint was already kept for the next request when the first one was cancelled.
func TestCallerThatLeavesAfterItsAnswerEndsNoOtherRequest(t *testing.T) {
	ep := newEndpoint(t, "i-1")
	h := newDeployment(t, ep)
	ctx, leave := context.WithCancel(t.Context())
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/once/a", nil)
	req.Host = "h"
	req.Header.Set("X-Attempt-Id", "id-0")
	req.Header.Set("X-Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Bearer key-1")
	caller := leavingCaller{httptest.NewRecorder(), leave}
	h.gateway.ServeHTTP(caller, req)
	if got, want := caller.Code, http.StatusOK; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	h.send(t, "/once/a", "key-1", "").check(t, 200, "ok", true)
	if got, want := h.gateway.Counters()["connectionDials"], int64(1); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

// blockedWriter receives an answer whose body is not accepted before proceed is closed.
type blockedWriter struct {
	*httptest.ResponseRecorder
	began, proceed chan struct{}
}

func (w *blockedWriter) Write(body []byte) (int, error) {
	close(w.began)
	<-w.proceed
	return w.ResponseRecorder.Write(body)
}

// Guards against a request that still uses its connection to an endpoint while the connection already
// serves another one. Only the race detector notices.
func TestReturnedConnectionIsNotUsed(t *testing.T) {
	first := &blockedWriter{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
	h := newDeployment(t, newEndpoint(t, "i-1", complete("first"), func(id string) []byte {
		close(first.proceed)
		return complete("second")(id)
	}))
	request := func(id string) *http.Request {
		req := httptest.NewRequest(http.MethodPost, "/once/a", nil)
		req.Host = "h"
		req.Header.Set("X-Attempt-Id", id)
		req.Header.Set("Authorization", "Bearer key-1")
		return req
	}
	var served sync.WaitGroup
	served.Go(func() { h.gateway.ServeHTTP(first, request("id-1")) })
	<-first.began
	second := httptest.NewRecorder()
	h.gateway.ServeHTTP(second, request("id-2"))
	served.Wait()
	if first.Body.String() != "first" || second.Body.String() != "second" {
		t.Errorf("got %q and %q, want the answers to both requests", first.Body, second.Body)
	}
	if got := h.gateway.Counters()["connectionDials"]; got != 1 {
		t.Errorf("got %d connections, want one that serves both requests", got)
	}
}

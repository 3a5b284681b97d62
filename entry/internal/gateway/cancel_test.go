package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
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

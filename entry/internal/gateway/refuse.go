package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// refusal is a final answer of the system's own.
type refusal struct {
	status int
	reason string        // for logs and people
	wait   time.Duration // when to come back; 0: not said
	hangUp bool          // the caller should use another entry
}

// promises reports whether the status means that the request did not run.
func (r refusal) promises() bool {
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	}
	return false
}

// notServed refuses a request that no endpoint served: with proof that it did
// not run where that is so.
func (x *exchange) notServed(reason string, wait time.Duration) *refusal {
	if x.mayRun {
		return &refusal{status: http.StatusBadGateway, reason: reason}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, wait: wait}
}

// overdue ends a request whose time is over or whose caller left.
func (x *exchange) overdue(ctx context.Context) *refusal {
	if errors.Is(context.Cause(ctx), errHeld) {
		if refused := x.held(); refused != nil {
			return refused
		}
	}
	reason := "the time is over"
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = "the caller left"
	}
	if x.mayRun {
		return &refusal{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, wait: soonReturn}
}

// abort ends the caller's connection, so that an answer that broke off does not
// look complete.
func (g *Gateway) abort() { panic(http.ErrAbortHandler) }

// refuse writes a refusal, or breaks off an answer that was begun.
func (x *exchange) refuse(ref refusal) {
	x.logEnd(ref.reason, ref.status)
	if x.header != nil {
		x.gateway.abort()
	}
	header := x.w.Header()
	if ref.hangUp || x.gateway.leaving.Load() {
		header.Set("Connection", "close")
	}
	if ref.wait > 0 && ref.promises() {
		x.gateway.cfg.Wire.Refuse(header, ref.wait)
	}
	http.Error(x.w, ref.reason, ref.status)
}

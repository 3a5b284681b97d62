package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// refusal is a final answer of the system's own.
type refusal struct {
	status     int
	reason     string        // for logs and people
	retryAfter time.Duration // when to come back; 0: not said
	closeConn  bool          // the caller should use another entry
}

// promises reports whether the status means that the request did not run.
func (r refusal) provesNotRun() bool {
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	}
	return false
}

// notServed refuses a request that no endpoint served: with proof that it did
// not run where that is so.
func (x *exchange) refuseUnserved(reason string, wait time.Duration) *refusal {
	if x.mayHaveRun {
		return &refusal{status: http.StatusBadGateway, reason: reason}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: wait}
}

// overdue ends a request whose time is over or whose caller left.
func (x *exchange) refuseCanceled(ctx context.Context) *refusal {
	if errors.Is(context.Cause(ctx), errQuarantined) {
		if refused := x.checkQuarantine(); refused != nil {
			return refused
		}
	}
	reason := "the time is over"
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = "the caller left"
	}
	if x.mayHaveRun {
		return &refusal{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: shortRetryAfter}
}

// abort ends the caller's connection, so that an answer that broke off does not
// look complete.
func (g *Gateway) abort() { panic(http.ErrAbortHandler) }

// refuse writes a refusal, or breaks off an answer that was begun.
func (x *exchange) refuse(ref refusal) {
	x.logEnd(ref.reason, ref.status)
	if x.answerHeader != nil {
		x.gateway.abort()
	}
	header := x.w.Header()
	if ref.closeConn || x.gateway.closeConns.Load() {
		header.Set("Connection", "close")
	}
	if ref.retryAfter > 0 && ref.provesNotRun() {
		x.gateway.cfg.Wire.Refuse(header, ref.retryAfter)
	}
	http.Error(x.w, ref.reason, ref.status)
}

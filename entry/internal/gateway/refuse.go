package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"comfreyrelay.example/relay/call"
)

// refusal is a final answer that the entry gives by itself.
type refusal struct {
	status     int
	reason     string        // for the log and as the body of the answer
	retryAfter time.Duration // time after which to retry; 0 if none is given
	closeConn  bool          // close the connection, so that the caller uses another entry
}

// refuseUnserved refuses a request that no endpoint served. Only if it certainly did not run does
// it get a status that says so.
func (x *exchange) refuseUnserved(reason string, wait time.Duration) *refusal {
	if x.mayHaveRun {
		return &refusal{status: http.StatusBadGateway, reason: reason}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: wait}
}

// refuseCanceled refuses a request whose context ended: its deadline passed, its caller
// disconnected or it was quarantined.
func (x *exchange) refuseCanceled(ctx context.Context) *refusal {
	if errors.Is(context.Cause(ctx), errQuarantined) {
		if refused := x.checkQuarantine(); refused != nil {
			return refused
		}
	}
	shutdown := errors.Is(context.Cause(ctx), errShutdown)
	if shutdown && !x.mayHaveRun {
		return refuseDraining()
	}
	reason := "the time is over"
	switch {
	case shutdown:
		reason = errShutdown.Error()
	case !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		reason = "the caller disconnected"
	}
	if x.mayHaveRun {
		return &refusal{status: http.StatusGatewayTimeout, reason: reason, closeConn: shutdown}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: shortRetryAfter}
}

// abort closes the caller's connection, so that a truncated answer does not look complete.
func (g *Gateway) abort() { panic(http.ErrAbortHandler) }

// refuse sends a refusal to the caller, or cuts the answer off if it has begun.
func (x *exchange) refuse(ref refusal) {
	x.logEnd(ref.reason, ref.status)
	if x.answerHeader != nil {
		x.gateway.abort()
	}
	header := x.w.Header()
	if ref.closeConn || x.gateway.closeConns.Load() {
		header.Set("Connection", "close")
	}
	if ref.retryAfter > 0 && call.PromisesNotRun(ref.status) {
		x.gateway.cfg.Wire.Refuse(header, ref.retryAfter)
	}
	http.Error(x.w, ref.reason, ref.status)
}

package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/relay/call"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
)

const (
	// maxBufferedAnswerBytes limits an answer that is buffered completely before it is sent to the
	// caller.
	maxBufferedAnswerBytes = 256 << 10
	// maxDiscardBytes limits an answer that is read and discarded to keep its connection.
	maxDiscardBytes = 64 << 10
	// maxAnswerBytes limits an answer that is relayed while it is received.
	maxAnswerBytes = 8 << 20
	// firstServerError is the lowest status that reports a failure of the endpoint.
	firstServerError = 500
)

// boundedBody is the body of an answer. Reading it fails if it has left bytes or more.
type boundedBody struct {
	io.ReadCloser
	left int
}

var errAnswerTooLong = errors.New("the answer is too long")

func (b *boundedBody) Read(into []byte) (int, error) {
	if b.left <= 0 {
		return 0, errAnswerTooLong
	}
	n, err := b.ReadCloser.Read(into)
	b.left -= n
	return n, err
}

// discardAnswer reads an answer to its end and drops it. It fails if the answer is too long.
func discardAnswer(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes))
	if err == nil && n == maxDiscardBytes {
		return errors.New("the answer to another request is too long")
	}
	return err
}

// relayAnswer relays an endpoint's answer to the caller, or returns why it is not relayed.
func (x *exchange) relayAnswer(ctx context.Context, grant *fleet.Grant, conn *upstream.Conn, resp *http.Response, answer call.Answer) fleet.Outcome {
	if answer.ProvesNotRun(grant.ID()) {
		x.provenNotRun, x.mayHaveRun = true, x.mayHaveRunBefore
		x.dropAnswer(grant, conn, resp, answer)
		if answer.Misdirected() {
			return fleet.Moved
		}
		return fleet.Refused
	}
	if answer.StatesNotRun || call.PromisesNotRun(answer.Status) {
		x.gateway.counters.unprovenRejections.Add(1)
	}
	if answer.Misdirected() || call.PromisesNotRun(answer.Status) && !x.route.Repeatable() {
		// The caller would take the status for the promise that the request did not run.
		x.dropAnswer(grant, conn, resp, answer)
		return fleet.Failed
	}
	if resp.StatusCode < http.StatusMultipleChoices && !answer.Signed {
		conn.Close()
		return fleet.Broken
	}
	resp.Body = &boundedBody{ReadCloser: resp.Body, left: maxAnswerBytes + 1}
	if resp.StatusCode == http.StatusOK && x.route.Kind == catalog.Stream {
		return x.relayStream(ctx, grant, conn, resp, answer)
	}
	return x.relayBuffered(ctx, grant, conn, resp, answer)
}

// dropAnswer drops an answer that is not relayed, and keeps its connection if it can be reused.
func (x *exchange) dropAnswer(grant *fleet.Grant, conn *upstream.Conn, resp *http.Response, answer call.Answer) {
	if upstream.EndsWithConnection(resp) || discardAnswer(resp) != nil {
		conn.Close()
		return
	}
	x.gateway.cfg.Pool.Put(conn, resp, answer.Idle, grant.MaxIdleConns())
}

// relayBuffered reads the whole answer before it sends any of it. A truncated answer thus never
// reaches the caller, and the request may be retried. Answers that exceed the buffer are relayed by
// relayUnbuffered.
func (x *exchange) relayBuffered(ctx context.Context, grant *fleet.Grant, conn *upstream.Conn, resp *http.Response, answer call.Answer) fleet.Outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswerBytes))
	if err != nil {
		closeAfterError(conn, err)
		return x.abandonedOr(ctx, silentOutcome(err, fleet.Broken))
	}
	failed := resp.StatusCode >= firstServerError
	if failed && x.mayRetry() {
		x.gateway.cfg.Pool.Put(conn, resp, answer.Idle, grant.MaxIdleConns())
		return fleet.Failed
	}
	if x.answerHeader != nil {
		// A stream that has begun cannot be replaced by another answer.
		conn.Close()
		return fleet.Broken
	}
	if len(body) == maxBufferedAnswerBytes {
		return x.relayUnbuffered(ctx, conn, resp, body)
	}
	x.gateway.cfg.Pool.Put(conn, resp, answer.Idle, grant.MaxIdleConns())
	x.writeAnswer(resp, body)
	x.status = resp.StatusCode
	if failed {
		return fleet.Failed
	}
	return fleet.Served
}

// mayRetry reports whether the route allows another attempt after this one.
func (x *exchange) mayRetry() bool {
	return x.route.Repeatable() && x.attemptsUsed+1 < x.route.MaxAttempts
}

// writeAnswer sends header and body to the caller.
func (x *exchange) writeAnswer(resp *http.Response, body []byte) {
	x.writeHeader(resp)
	if x.req.Method != http.MethodHead {
		_, _ = x.w.Write(body)
	}
}

// writeHeader sends the endpoint's status and headers to the caller.
func (x *exchange) writeHeader(resp *http.Response) {
	header := x.w.Header()
	x.gateway.cfg.Wire.Relay(header, resp.Header)
	if len(header["Content-Type"]) == 0 {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	if x.gateway.closeConns.Load() {
		header.Set("Connection", "close")
	}
	x.answerHeader = resp.Header
	x.w.WriteHeader(resp.StatusCode)
}

// relayUnbuffered relays an answer that exceeds the buffer while it is received. It cannot be
// retracted: if it is cut off, so is the caller's connection.
func (x *exchange) relayUnbuffered(ctx context.Context, conn *upstream.Conn, resp *http.Response, prefix []byte) fleet.Outcome {
	x.writeAnswer(resp, prefix)
	defer conn.Close()
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		x.notResumable = true
		return x.abandonedOr(ctx, fleet.Broken)
	}
	x.status = resp.StatusCode
	return fleet.Served
}

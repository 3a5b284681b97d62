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
	// maxWhole bounds an answer that is read whole before the caller gets it,
	// bytes.
	maxBufferedAnswerBytes = 256 << 10
	// maxSkipped bounds an answer that is read over.
	maxDiscardBytes = 64 << 10
	// firstServerError is the least status by which an endpoint says that it
	// failed.
	firstServerError = 500
)

// skip reads over an answer.
func discardAnswer(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes))
	if err == nil && n == maxDiscardBytes {
		return errors.New("the answer to another request is too long")
	}
	return err
}

// take relays an endpoint's answer or says why it is not relayed.
func (x *exchange) relayAnswer(ctx context.Context, grant *fleet.Grant, conn *upstream.Conn, resp *http.Response, answer call.Answer) fleet.Outcome {
	if answer.NotRun {
		x.mayHaveRun = x.mayHaveRunBefore
		outcome := fleet.Refused
		if answer.Elsewhere {
			outcome = fleet.Moved
		}
		if discardAnswer(resp) != nil {
			conn.Close()
			return outcome
		}
		x.gateway.cfg.Pool.Put(conn, resp, answer.Idle, grant.IdleRoom())
		return outcome
	}
	if resp.StatusCode < http.StatusMultipleChoices && !answer.Signed {
		conn.Close()
		return fleet.Broken
	}
	if resp.StatusCode == http.StatusOK && x.route.Kind == catalog.Stream {
		return x.relayStream(ctx, grant, conn, resp, answer)
	}
	return x.relayBuffered(ctx, grant, conn, resp, answer)
}

// relayWhole reads the answer to its end and gives it to the caller: one that
// breaks off never looks complete, and may be asked for again.
func (x *exchange) relayBuffered(ctx context.Context, grant *fleet.Grant, conn *upstream.Conn, resp *http.Response, answer call.Answer) fleet.Outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswerBytes))
	if err != nil {
		closeAfterError(conn, err)
		return x.abandonedOr(ctx, silentOutcome(err, fleet.Broken))
	}
	failed := resp.StatusCode >= firstServerError
	if failed && x.mayRetry() {
		x.gateway.cfg.Pool.Put(conn, resp, answer.Idle, grant.IdleRoom())
		return fleet.Failed
	}
	if x.answerHeader != nil {
		// A stream that was begun can't end with another answer.
		conn.Close()
		return fleet.Broken
	}
	if len(body) == maxBufferedAnswerBytes {
		return x.relayUnbuffered(ctx, conn, resp, body)
	}
	x.gateway.cfg.Pool.Put(conn, resp, answer.Idle, grant.IdleRoom())
	x.writeAnswer(resp, body)
	x.status = resp.StatusCode
	if failed {
		return fleet.Failed
	}
	return fleet.Served
}

// mayRepeat reports whether another attempt of the request is possible.
func (x *exchange) mayRetry() bool {
	return x.route.Repeatable() && x.attemptsUsed+1 < x.route.MaxAttempts
}

// answer writes a whole answer.
func (x *exchange) writeAnswer(resp *http.Response, body []byte) {
	x.writeHeader(resp)
	if x.req.Method != http.MethodHead {
		_, _ = x.w.Write(body)
	}
}

// writeHead copies the endpoint's status and headers.
func (x *exchange) writeHeader(resp *http.Response) {
	header := x.w.Header()
	x.gateway.cfg.Wire.Relay(header, resp.Header)
	if len(header["Content-Type"]) == 0 {
		header["Content-Type"] = nil // the library would guess one
	}
	if x.gateway.closeConns.Load() {
		header.Set("Connection", "close")
	}
	x.answerHeader = resp.Header
	x.w.WriteHeader(resp.StatusCode)
}

// relayRest relays a long answer as it comes. Once it began it can't be taken
// back: where it breaks off, the caller's connection does too.
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

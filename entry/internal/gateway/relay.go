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
	maxWhole = 256 << 10
	// maxSkipped bounds an answer that is read over.
	maxSkipped = 64 << 10
	// firstServerError is the least status by which an endpoint says that it
	// failed.
	firstServerError = 500
)

// skip reads over an answer.
func skip(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkipped))
	if err == nil && n == maxSkipped {
		return errors.New("the answer to another request is too long")
	}
	return err
}

// take relays an endpoint's answer or says why it is not relayed.
func (x *exchange) take(ctx context.Context, grant *fleet.Grant, conn *upstream.Conn, resp *http.Response, answer call.Answer) fleet.Outcome {
	if answer.NotRun {
		x.mayRun = x.mightHaveRun
		outcome := fleet.Refused
		if answer.Elsewhere {
			outcome = fleet.Moved
		}
		if skip(resp) != nil {
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
	return x.relayWhole(ctx, grant, conn, resp, answer)
}

// relayWhole reads the answer to its end and gives it to the caller: one that
// breaks off never looks complete, and may be asked for again.
func (x *exchange) relayWhole(ctx context.Context, grant *fleet.Grant, conn *upstream.Conn, resp *http.Response, answer call.Answer) fleet.Outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole))
	if err != nil {
		giveUp(conn, err)
		return x.brokenBy(ctx, silentOr(err, fleet.Broken))
	}
	failed := resp.StatusCode >= firstServerError
	if failed && x.mayRepeat() {
		x.gateway.cfg.Pool.Put(conn, resp, answer.Idle, grant.IdleRoom())
		return fleet.Failed
	}
	if x.header != nil {
		// A stream that was begun can't end with another answer.
		conn.Close()
		return fleet.Broken
	}
	if len(body) == maxWhole {
		return x.relayRest(ctx, conn, resp, body)
	}
	x.gateway.cfg.Pool.Put(conn, resp, answer.Idle, grant.IdleRoom())
	x.answer(resp, body)
	x.status = resp.StatusCode
	if failed {
		return fleet.Failed
	}
	return fleet.Served
}

// mayRepeat reports whether another attempt of the request is possible.
func (x *exchange) mayRepeat() bool {
	return x.route.Repeatable() && x.runs+1 < x.route.MaxAttempts
}

// answer writes a whole answer.
func (x *exchange) answer(resp *http.Response, body []byte) {
	x.writeHead(resp)
	if x.req.Method != http.MethodHead {
		_, _ = x.w.Write(body)
	}
}

// writeHead copies the endpoint's status and headers.
func (x *exchange) writeHead(resp *http.Response) {
	header := x.w.Header()
	x.gateway.cfg.Wire.Relay(header, resp.Header)
	if len(header["Content-Type"]) == 0 {
		header["Content-Type"] = nil // the library would guess one
	}
	if x.gateway.leaving.Load() {
		header.Set("Connection", "close")
	}
	x.header = resp.Header
	x.w.WriteHeader(resp.StatusCode)
}

// relayRest relays a long answer as it comes. Once it began it can't be taken
// back: where it breaks off, the caller's connection does too.
func (x *exchange) relayRest(ctx context.Context, conn *upstream.Conn, resp *http.Response, begun []byte) fleet.Outcome {
	x.answer(resp, begun)
	defer conn.Close()
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		x.final = true
		return x.brokenBy(ctx, fleet.Broken)
	}
	x.status = resp.StatusCode
	return fleet.Served
}

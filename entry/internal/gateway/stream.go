package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/relay/call"
	"comfreyrelay.example/relay/fleet"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 64 << 10

// errTruncatedEvent reports that a stream ended within an event.
var errTruncatedEvent = errors.New("the stream ended within an event")

// relayStream relays complete events as they arrive. If the endpoint fails, the stream may resume
// at another endpoint after the last complete event.
func (x *exchange) relayStream(ctx context.Context, grant *fleet.Grant, conn *upstream.Conn, resp *http.Response, answer call.Answer) fleet.Outcome {
	events := &eventReader{reader: bufio.NewReaderSize(resp.Body, eventBufferBytes)}
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			closeAfterError(conn, err)
			return x.abandonedOr(ctx, silentOutcome(err, fleet.Broken))
		}
		if x.events == 0 && x.answerHeader == nil {
			x.writeHeader(resp)
		}
		x.recordEventTime()
		x.noteProgress()
		grant.Began()
		x.events++
		x.adm.Progress(x.lastEventAt, x.tokensPerEvent())
		if event.id != "" {
			x.lastEventID = event.id
		}
		if err := x.writeEvent(event.bytes); err != nil {
			conn.Cancel()
			conn.Close()
			return fleet.Abandoned
		}
		x.gateway.counters.events.Add(1)
	}
	if x.answerHeader == nil {
		x.writeHeader(resp)
	}
	x.gateway.cfg.Pool.Put(conn, resp, answer.Idle, grant.MaxIdleConns())
	x.status = resp.StatusCode
	return fleet.Served
}

// tokensPerEvent returns the usual number of tokens in an event: those that an engine writes in a pass.
func (x *exchange) tokensPerEvent() int {
	if x.adm.Engine == nil {
		return 0
	}
	return max(1, x.adm.Engine.StepsPerPass)
}

// recordEventTime updates the delay of the first event and the longest pause between events.
func (x *exchange) recordEventTime() {
	now := x.gateway.cfg.Clock.Now()
	if x.events == 0 {
		x.answering.Store(true)
		x.firstEventAfter = now.Sub(x.arrived)
	} else {
		x.longestPause = max(x.longestPause, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// eventBufferBytes is the read buffer of a stream, large enough for a typical event.
const eventBufferBytes = 1 << 10

// writeEvent sends an event to the caller without buffering.
func (x *exchange) writeEvent(event []byte) error {
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// event is one server-sent event as received, with the blank line that ends it.
type event struct {
	bytes []byte
	id    string
}

// eventReader splits a stream into events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

// next returns the next complete event, whose bytes are valid until the next call. It returns
// io.EOF if the stream ended between two events.
func (r *eventReader) next() (event, error) {
	r.buffer = r.buffer[:0]
	found := event{}
	for {
		line, err := r.reader.ReadSlice('\n')
		r.buffer = append(r.buffer, line...)
		if len(r.buffer) > maxEventBytes {
			return event{}, errors.New("an event is too long")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(r.buffer) > 0 {
			return event{}, errTruncatedEvent
		}
		if err != nil {
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			found.bytes = r.buffer
			return found, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			found.id = string(bytes.TrimSpace(id))
		}
	}
}

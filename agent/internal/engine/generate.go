package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comfreyrelay.example/relay/failure"
)

const (
	// maxEventLine bounds one line of the engine's event stream, bytes.
	maxEventLine = 64 << 10
	// cancelTimeout bounds the call that asks the engine to stop.
	cancelTimeout = 2 * time.Second
)

// GenerateRequest is one request to the engine.
type GenerateRequest struct {
	RequestID    string   `json:"requestId"`
	Model        string   `json:"model"`
	Adapter      string   `json:"adapter"`
	Prompt       string   `json:"prompt"`
	MaxTokens    uint32   `json:"maxTokens"`
	Priority     uint32   `json:"priority"`
	ResumeTokens []string `json:"resumeTokens,omitempty"`
}

// Kinds of Event.
const (
	EventBegin = "begin"
	EventToken = "token"
	EventEnd   = "end"
)

// Event is one event of an answer.
type Event struct {
	// Kind is EventBegin, EventToken or EventEnd.
	Kind string `json:"-"`
	// Version is set with begin and end.
	Version string `json:"version"`
	// Index is a token's place in the whole answer, from 0.
	Index int `json:"i"`
	// Text is a token's text.
	Text string `json:"text"`
	// Count is set with end: all tokens of the answer.
	Count int `json:"count"`
}

// Stream is an answer while it runs.
type Stream struct {
	reader *bufio.Reader
	body   io.Closer
}

// Generate starts a request. With once set it uses a connection of its own, so
// that a failed dial proves that the request was not run.
func (c *Client) Generate(ctx context.Context, request *GenerateRequest, atMostOnce bool) (*Stream, error) {
	res, err := c.post(ctx, c.httpClient(atMostOnce), "/generate", request)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		discardBody(res)
		_ = res.Body.Close()
		return nil, generateError(res.StatusCode)
	}
	return NewStream(res.Body), nil
}

// generateError takes only the two refusals that engines promise as proof that
// the request was not run.
func generateError(status int) error {
	if status == http.StatusServiceUnavailable || status == http.StatusConflict {
		return statusError(status)
	}
	return failure.New(failure.Ambiguous, "the engine answered "+http.StatusText(status), "look at the engine's log")
}

func (c *Client) httpClient(atMostOnce bool) *http.Client {
	if atMostOnce {
		return c.noReuse
	}
	return c.keepAlive
}

// NewStream reads an engine's event stream.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{reader: bufio.NewReaderSize(body, maxEventLine), body: body}
}

// Close gives the stream up.
func (s *Stream) Close() { _ = s.body.Close() }

// Next returns the next event. Every error means that the answer is not whole;
// a stream that ended without an end event is io.ErrUnexpectedEOF.
func (s *Stream) Next() (Event, error) {
	var kind, data string
	for {
		line, err := s.readLine()
		if err != nil {
			return Event{}, err
		}
		switch {
		case line == "" && (kind != "" || data != ""):
			return parseEvent(kind, data)
		case strings.HasPrefix(line, "event:"):
			kind = strings.TrimSpace(line[len("event:"):])
		case strings.HasPrefix(line, "data:"):
			data += strings.TrimPrefix(line[len("data:"):], " ")
		}
		if len(data) > maxEventLine {
			return Event{}, failure.New(failure.Corrupt, "an event of the engine is too long", "report it")
		}
	}
}

func (s *Stream) readLine() (string, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", failure.New(failure.Corrupt, "a line of the engine's stream is too long", "report it")
	}
	if errors.Is(err, io.EOF) {
		return "", io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

func parseEvent(kind, data string) (Event, error) {
	event := Event{}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return Event{}, failure.Wrap(err, failure.Corrupt, "an event of the engine cannot be read", "report it")
	}
	switch kind {
	case EventBegin, EventToken, EventEnd:
		event.Kind = kind
		return event, nil
	}
	return Event{}, failure.New(failure.Corrupt, "the engine sent an unknown event "+strconv.Quote(kind), "report it")
}

// Cancel asks the engine to stop a request. It does not depend on the
// request's own context, which has ended by then.
func (c *Client) Cancel(requestID string) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	res, err := c.post(ctx, c.keepAlive, "/cancel", map[string]string{"requestId": requestID})
	if err != nil {
		return err
	}
	discardBody(res)
	return res.Body.Close()
}

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
	// maxEventLine is the maximum size in bytes of a line and of an event's data
	// in the engine's event stream.
	maxEventLine = 64 << 10
	// cancelTimeout is the timeout of the call that cancels a request.
	cancelTimeout = 2 * time.Second
)

// GenerateRequest asks the engine to generate an answer to a prompt.
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

// Event is one event in the stream of an answer.
type Event struct {
	// Kind is EventBegin, EventToken or EventEnd.
	Kind string `json:"-"`
	// Version is the version of the weights in use. It is set with begin and end.
	Version string `json:"version"`
	// Index is the position of a token in the complete answer, from 0.
	Index int `json:"i"`
	// Text is a token's text.
	Text string `json:"text"`
	// Count is the number of tokens of the complete answer. It is set with end.
	Count int `json:"count"`
}

// Stream reads the events of an answer as the engine sends them.
type Stream struct {
	reader *bufio.Reader
	body   io.Closer
}

// Generate starts a request and returns the stream of its answer. If atMostOnce is
// set, it uses a new connection, so that a failed dial proves that the request did
// not run.
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

// generateError maps a status to an error. Engines guarantee only for 503 and 409
// that the request did not run; every other status is Ambiguous.
func generateError(status int) error {
	if status == http.StatusServiceUnavailable || status == http.StatusConflict {
		return statusError(status)
	}
	return failure.New(failure.Ambiguous, "the engine answered "+http.StatusText(status), "look at the engine's log")
}

// httpClient returns the client to use for a request. A request that must run at
// most once gets a new connection.
func (c *Client) httpClient(atMostOnce bool) *http.Client {
	if atMostOnce {
		return c.noReuse
	}
	return c.keepAlive
}

// NewStream returns a Stream that reads an engine's server-sent events from body.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{reader: bufio.NewReaderSize(body, maxEventLine), body: body}
}

// Close closes the response body and releases the connection.
func (s *Stream) Close() { _ = s.body.Close() }

// Next returns the next event. Every error means that the answer is incomplete; if
// the stream ends without an end event, the error is io.ErrUnexpectedEOF.
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

// readLine returns the next line without its line break.
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

// parseEvent decodes an event and rejects unknown kinds.
func parseEvent(kind, data string) (Event, error) {
	event := Event{}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return Event{}, failure.Wrap(err, failure.Corrupt, "an event of the engine cannot be decoded", "report it")
	}
	switch kind {
	case EventBegin, EventToken, EventEnd:
		event.Kind = kind
		return event, nil
	}
	return Event{}, failure.New(failure.Corrupt, "the engine sent an unknown event "+strconv.Quote(kind), "report it")
}

// Cancel asks the engine to stop a request. It takes no context, because the context
// of the request has usually ended by then.
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

package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
)

// Bounds of the client.
const (
	maxReply     = 16 << 20 // bytes of an answer in one piece
	idlePerEntry = 1024
	idleTimeout  = 30 * time.Second
	dialTimeout  = 2 * time.Second
)

// sender sends one attempt and judges the reply.
type sender struct {
	// kept uses connections again; directories share it.
	keepAlive *http.Client
	// fresh makes a connection for each request that is not repeatable. An
	// entry may close a kept one just as the request goes out, and then nobody
	// could know whether it ran.
	noKeepAlive *http.Client
	clock       clockwork.Clock
	versions    *versions
}

// newClient returns a client that never sends a request twice by itself: it
// follows no redirect and the requests carry no idempotency header.
func newClient(keep bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerEntry,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   !keep,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// modelBody is a request on a model.
type modelBody struct {
	Model          string `json:"model"`
	Adapter        string `json:"adapter,omitempty"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"maxTokens"`
	Repeatable     bool   `json:"repeatable"`
	DeadlineMillis int64  `json:"deadlineMillis"`
	Key            string `json:"key,omitempty"`
}

// serviceBody is a call to a plain service.
type serviceBody struct {
	Body           []byte `json:"body"`
	Repeatable     bool   `json:"repeatable"`
	DeadlineMillis int64  `json:"deadlineMillis"`
	Key            string `json:"key,omitempty"`
}

// attempt is one sending of a request.
type attempt struct {
	request  request
	model    string
	bearer   string
	key      string
	address  string
	deadline time.Duration // left when sent
}

// send sends the attempt to its entry.
func (s *sender) send(ctx context.Context, sent attempt) verdict {
	var url string
	var body any
	if sent.request.service != "" {
		url = "http://" + sent.address + "/v1/services/" + sent.request.service
		body = serviceBody{
			Body:           []byte(sent.request.prompt),
			Repeatable:     sent.request.repeatable,
			DeadlineMillis: sent.deadline.Milliseconds(),
			Key:            sent.key,
		}
	} else {
		url = "http://" + sent.address + "/v1/requests"
		body = modelBody{
			Model:          sent.model,
			Adapter:        sent.request.adapter.Name,
			Prompt:         sent.request.prompt,
			MaxTokens:      sent.request.maxTokens,
			Repeatable:     sent.request.repeatable,
			DeadlineMillis: sent.deadline.Milliseconds(),
			Key:            sent.key,
		}
	}
	current := &replyChecker{request: sent.request, key: sent.key, askedAt: s.clock.Now(), versions: s.versions}
	response, failed := s.post(ctx, url, sent, body)
	if response == nil {
		return failed
	}
	defer response.Body.Close()
	return s.read(ctx, current, response)
}

// post returns the response, or the verdict where there is none.
func (s *sender) post(ctx context.Context, url string, sent attempt, body any) (*http.Response, verdict) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, verdict{outcome: NotRun, kind: kindMalformed, detail: err.Error()}
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, verdict{outcome: NotRun, kind: kindMalformed, detail: err.Error()}
	}
	post.Header.Set("Content-Type", "application/json")
	post.Header.Set("Authorization", "Bearer "+sent.bearer)
	if sent.request.stream {
		post.Header.Set("Accept", "text/event-stream")
	}
	response, err := s.client(sent.request).Do(post)
	if err != nil {
		return nil, verdictOnError(ctx, err)
	}
	return response, verdict{}
}

func (s *sender) client(asked request) *http.Client {
	if asked.repeatable {
		return s.keepAlive
	}
	return s.noKeepAlive
}

// verdictOnError judges a request that got no response: only where no
// connection came about it was certainly not run.
func verdictOnError(ctx context.Context, err error) verdict {
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return verdict{outcome: NotRun, kind: kindUnreachable, detail: err.Error()}
	case ctx.Err() != nil:
		return verdict{outcome: Unknown, kind: kindTimeout, detail: "no answer in time"}
	}
	return verdict{outcome: Unknown, kind: kindBroken, detail: err.Error()}
}

func (s *sender) read(ctx context.Context, current *replyChecker, response *http.Response) verdict {
	if response.StatusCode != http.StatusOK {
		return readError(ctx, response)
	}
	if current.request.stream {
		return s.readStream(ctx, current, response.Body, handleEntryEvent)
	}
	var reply unaryReply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReply)).Decode(&reply); err != nil {
		return timeoutIfExpired(ctx, verdict{outcome: CutOff, kind: CutOff, detail: err.Error()})
	}
	return current.checkReply(reply, s.clock.Now())
}

func readError(ctx context.Context, response *http.Response) verdict {
	var reported replyError
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReply)).Decode(&reported); err != nil {
		return timeoutIfExpired(ctx, verdict{outcome: Unknown, kind: kindMalformed, detail: response.Status + ": " + err.Error()})
	}
	return reported.verdict()
}

// timeoutIfExpired replaces the verdict where the caller itself gave up.
func timeoutIfExpired(ctx context.Context, v verdict) verdict {
	if ctx.Err() == nil {
		return v
	}
	v.outcome, v.kind = Unknown, kindTimeout
	return v
}

// eventHandler hands one event to the reading.
type eventHandler func(current *replyChecker, name string, data []byte, now time.Time) error

func (s *sender) readStream(ctx context.Context, current *replyChecker, body io.Reader, take eventHandler) verdict {
	events := newEventReader(body)
	for {
		name, data, err := events.next()
		if err != nil {
			return s.closed(ctx, current, err)
		}
		if err := take(current, name, data, s.clock.Now()); err != nil {
			current.addProblem(WrongAnswer, err.Error())
			return current.verdict()
		}
	}
}

func (s *sender) closed(ctx context.Context, current *replyChecker, err error) verdict {
	v := current.connectionClosed(err)
	if v.outcome == CutOff && !current.ended {
		return timeoutIfExpired(ctx, v)
	}
	return v
}

// handleEntryEvent takes an event of the callers' API.
func handleEntryEvent(current *replyChecker, name string, data []byte, now time.Time) error {
	var event struct {
		RequestID string   `json:"requestId"`
		Version   string   `json:"version"`
		Tokens    []string `json:"tokens"`
		Digest    string   `json:"digest"`
		Count     int      `json:"count"`
	}
	if name == "error" {
		var reported replyError
		if err := json.Unmarshal(data, &reported); err != nil {
			return fmt.Errorf("error event: %w", err)
		}
		current.addError(reported)
		return nil
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return fmt.Errorf("%s event: %w", name, err)
	}
	switch name {
	case "begin":
		current.begin(event.RequestID, event.Version)
	case "tokens":
		current.addTokens(event.Tokens, now)
	case "end":
		if event.Digest == "" {
			return errors.New("an end without a digest")
		}
		current.end(event.Version, event.Digest, event.Count)
	}
	return nil
}

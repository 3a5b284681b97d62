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

// Limits of the HTTP client.
const (
	maxReply     = 16 << 20 // bytes of an answer that is not streamed
	idlePerEntry = 1024
	idleTimeout  = 30 * time.Second
	dialTimeout  = 2 * time.Second
)

// sender sends attempts and checks the replies.
type sender struct {
	// keepAlive reuses connections; the directories use it too.
	keepAlive *http.Client
	// noKeepAlive opens a new connection for each request that is not repeatable. An
	// entry may close an idle connection just as the request is sent, and then it
	// is unknown whether the request ran.
	noKeepAlive *http.Client
	clock       clockwork.Clock
	versions    *versions
}

// newClient returns a client that never resends a request by itself: it follows no
// redirects, and the requests have no idempotency header.
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

// modelBody is the body of a request to a model.
type modelBody struct {
	Model          string `json:"model"`
	Adapter        string `json:"adapter,omitempty"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"maxTokens"`
	Repeatable     bool   `json:"repeatable"`
	DeadlineMillis int64  `json:"deadlineMillis"`
	Key            string `json:"key,omitempty"`
}

// serviceBody is the body of a call to a plain service.
type serviceBody struct {
	Body           []byte `json:"body"`
	Repeatable     bool   `json:"repeatable"`
	DeadlineMillis int64  `json:"deadlineMillis"`
	Key            string `json:"key,omitempty"`
}

// attempt is one try at sending a request.
type attempt struct {
	request  request
	model    string
	bearer   string
	key      string
	address  string
	deadline time.Duration // time left when sent
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

// post returns the response, or a verdict if there is none.
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

// verdictOnError returns the verdict on a request without a response. Only a failed
// dial proves that the request was not run.
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

// read checks a response of an entry.
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

// timeoutIfExpired turns the verdict into a timeout if the caller's own context has
// ended.
func timeoutIfExpired(ctx context.Context, v verdict) verdict {
	if ctx.Err() == nil {
		return v
	}
	v.outcome, v.kind = Unknown, kindTimeout
	return v
}

// eventHandler passes one event to the checker.
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

// handleEntryEvent passes an event of an entry's stream to the checker.
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
			return errors.New("end event without a digest")
		}
		current.end(event.Version, event.Digest, event.Count)
	}
	return nil
}

package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// engineBody is the body of a request sent directly to an engine.
type engineBody struct {
	RequestID string `json:"requestId"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
}

// sendDirect sends the attempt directly to an engine and bypasses the system, so
// that the system's overhead can be measured.
func (s *sender) sendDirect(ctx context.Context, sent attempt) verdict {
	id := uuid.NewString()
	body := engineBody{
		RequestID: id,
		Model:     sent.model,
		Adapter:   sent.request.adapter.Name,
		Prompt:    sent.request.prompt,
		MaxTokens: sent.request.maxTokens,
	}
	current := &replyChecker{request: sent.request, askedAt: s.clock.Now(), versions: s.versions, requestID: id}
	response, failed := s.post(ctx, sent.address+"/generate", sent, body)
	if response == nil {
		return failed
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return directRefusal(response)
	}
	v := s.readStream(ctx, current, response.Body, handleEngineEvent)
	v.requestID = id
	return v
}

// directRefusal returns notRun: an engine that answers with an error status has not
// run the request.
func directRefusal(response *http.Response) verdict {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxDirectory))
	if err != nil {
		text = []byte(err.Error())
	}
	return verdict{outcome: NotRun, kind: response.Status, detail: string(text)}
}

// handleEngineEvent passes an event of an engine's stream to the checker.
func handleEngineEvent(current *replyChecker, name string, data []byte, now time.Time) error {
	var event struct {
		Version string `json:"version"`
		I       int    `json:"i"`
		Text    string `json:"text"`
		Count   int    `json:"count"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return fmt.Errorf("%s event: %w", name, err)
	}
	switch name {
	case "begin":
		current.begin(current.requestID, event.Version)
	case "token":
		if event.I != len(current.tokens) {
			return fmt.Errorf("token %d arrived, expected token %d", event.I, len(current.tokens))
		}
		current.addTokens([]string{event.Text}, now)
	case "end":
		current.end(event.Version, "", event.Count)
	}
	return nil
}

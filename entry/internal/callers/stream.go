package callers

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"net/http"
)

// stream answers with server-sent events. One goroutine uses it.
type stream struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	requestID string
	begun     bool         // the status and the begin event are out
	buffer    bytes.Buffer // of one event
}

func newStream(w http.ResponseWriter, requestID string) *stream {
	return &stream{w: w, control: http.NewResponseController(w), requestID: requestID}
}

type beginEvent struct {
	RequestID string `json:"requestId"`
	Version   string `json:"version"`
}

type tokensEvent struct {
	Tokens []string `json:"tokens"`
}

type endEvent struct {
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Count   int    `json:"count"`
}

// tokens sends tokens, and the begin event before the first. It blocks while
// the caller does not read, until the write deadline.
func (s *stream) tokens(version string, tokens []string) error {
	if err := s.begin(version); err != nil {
		return err
	}
	if err := s.event("tokens", tokensEvent{Tokens: tokens}); err != nil {
		return err
	}
	return s.control.Flush()
}

// begin waits for the first token: until then nothing is out, and the request
// may still start over on another version.
func (s *stream) begin(version string) error {
	if s.begun {
		return nil
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
	return s.event("begin", beginEvent{RequestID: s.requestID, Version: version})
}

// end sends the only event that makes the stream an answer.
func (s *stream) end(version string, digest []byte, count int) {
	if s.begin(version) != nil {
		return
	}
	_ = s.event("end", endEvent{Version: version, Digest: hex.EncodeToString(digest), Count: count})
	_ = s.control.Flush()
}

// fail sends the problem: as an answer of its own while nothing is out.
func (s *stream) fail(prob *problem) {
	if !s.begun {
		prob.write(s.w, s.requestID)
		return
	}
	_ = s.event("error", prob.body(s.requestID))
	_ = s.control.Flush()
}

func (s *stream) event(name string, data any) error {
	s.buffer.Reset()
	s.buffer.WriteString("event: ")
	s.buffer.WriteString(name)
	s.buffer.WriteString("\ndata: ")
	// Encode ends the line; JSON holds no other line break.
	if err := json.NewEncoder(&s.buffer).Encode(data); err != nil {
		return err
	}
	s.buffer.WriteString("\n")
	_, err := s.w.Write(s.buffer.Bytes())
	return err
}

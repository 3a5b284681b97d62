package callers

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"net/http"
)

// stream sends an answer as server-sent events. It is not safe for concurrent
// use.
type stream struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	requestID string
	begun     bool         // the status and the begin event have been written
	buffer    bytes.Buffer // holds one event
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

// tokens sends tokens, preceded by the begin event if they are the first. It
// blocks while the caller doesn't read, until the write deadline.
func (s *stream) tokens(version string, tokens []string) error {
	if err := s.begin(version); err != nil {
		return err
	}
	if err := s.event("tokens", tokensEvent{Tokens: tokens}); err != nil {
		return err
	}
	return s.control.Flush()
}

// begin sends the status and the begin event if they have not been sent. It is
// called only with the first tokens or at the end: before that, the request can
// still be restarted on another version.
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

// end sends the end event. Only a stream that has it is a complete answer.
func (s *stream) end(version string, digest []byte, count int) {
	if s.begin(version) != nil {
		return
	}
	_ = s.event("end", endEvent{Version: version, Digest: hex.EncodeToString(digest), Count: count})
	_ = s.control.Flush()
}

// fail sends the problem, as an error event if the stream has begun, otherwise as
// a plain HTTP response.
func (s *stream) fail(prob *problem) {
	if !s.begun {
		prob.write(s.w, s.requestID)
		return
	}
	_ = s.event("error", prob.body(s.requestID))
	_ = s.control.Flush()
}

// event writes one event with data encoded as JSON.
func (s *stream) event(name string, data any) error {
	s.buffer.Reset()
	s.buffer.WriteString("event: ")
	s.buffer.WriteString(name)
	s.buffer.WriteString("\ndata: ")
	// Encode adds a newline; the encoded JSON contains no other.
	if err := json.NewEncoder(&s.buffer).Encode(data); err != nil {
		return err
	}
	s.buffer.WriteString("\n")
	_, err := s.w.Write(s.buffer.Bytes())
	return err
}

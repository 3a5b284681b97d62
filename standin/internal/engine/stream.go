package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"comfreyrelay.example/relay/failure"
)

// eventStream writes server-sent events.
type eventStream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	buffer     []byte
}

func newEventStream(w http.ResponseWriter) *eventStream {
	return &eventStream{w: w, controller: http.NewResponseController(w)}
}

// begin sends the headers and the begin event.
func (s *eventStream) begin(version string) error {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.buffer = append(s.buffer[:0], `event: begin`+"\n"+`data: {"version":`...)
	s.buffer = appendString(s.buffer, version)
	return s.send()
}

func (s *eventStream) token(i int, text string) error {
	s.buffer = append(s.buffer[:0], `event: token`+"\n"+`data: {"i":`...)
	s.buffer = strconv.AppendInt(s.buffer, int64(i), 10)
	s.buffer = append(s.buffer, `,"text":`...)
	s.buffer = appendString(s.buffer, text)
	return s.send()
}

func (s *eventStream) end(version string, count int) error {
	s.buffer = append(s.buffer[:0], `event: end`+"\n"+`data: {"version":`...)
	s.buffer = appendString(s.buffer, version)
	s.buffer = append(s.buffer, `,"count":`...)
	s.buffer = strconv.AppendInt(s.buffer, int64(count), 10)
	return s.send()
}

// send terminates the event and flushes it. A client that reads nothing for
// writeTimeout loses its request, so that it cannot hold a slot forever.
func (s *eventStream) send() error {
	s.buffer = append(s.buffer, "}\n\n"...)
	if err := s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.w.Write(s.buffer); err != nil {
		return err
	}
	return s.controller.Flush()
}

func appendString(buffer []byte, text string) []byte {
	quoted, err := json.Marshal(text)
	if err != nil {
		return append(buffer, `""`...) // a string always marshals
	}
	return append(buffer, quoted...)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request Request
	if !readJSON(w, r, &request) {
		return
	}
	stream := newEventStream(w)
	err := e.Generate(r.Context(), request, sink{begin: stream.begin, token: stream.token, end: stream.end})
	if e.Faults().Dead {
		panic(http.ErrAbortHandler)
	}
	var notRun *failure.Error
	if errors.As(err, &notRun) {
		writeError(w, notRun)
		return
	}
	if err != nil {
		// Only a broken connection tells the client that no end event follows.
		panic(http.ErrAbortHandler)
	}
	// Clear the write deadline, as the connection may be reused.
	_ = stream.controller.SetWriteDeadline(time.Time{})
}

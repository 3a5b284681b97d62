package service

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"

	"comfreyrelay.example/relay/failure"
)

// maxBody limits the request body, in bytes.
const maxBody = 4 << 20

// Handler serves the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/ledger", s.serveLedger)
	router.Post("/faults", s.serveFaults)
	router.Post("/call", s.serveCall)
	return router
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if s.dead() {
		panic(http.ErrAbortHandler)
	}
	var call struct {
		RequestID string `json:"requestId"`
		Body      []byte `json:"body"`
	}
	if !readJSON(w, r, &call) {
		return
	}
	body, err := s.Call(r.Context(), call.RequestID, call.Body)
	if errors.Is(err, errReplyLost) || s.dead() {
		// The caller sees a broken connection and cannot tell whether the call ran.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct {
		Body []byte `json:"body"`
	}{body})
}

func (s *Service) serveLedger(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.Ledger(r.URL.Query().Get("summary") == ""))
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	if err := decoder.Decode(into); err != nil {
		writeError(w, failure.Wrap(err, failure.Invalid, "the body is not the expected JSON", "see docs/PROTOCOLS.md"))
		return false
	}
	// net/http detects a client disconnect only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client went away
}

func writeError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	status := http.StatusServiceUnavailable
	if failure.KindOf(err) == failure.Invalid {
		status = http.StatusBadRequest
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct { // the client went away
		Error string `json:"error"`
	}{err.Error()})
}

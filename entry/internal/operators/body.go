package operators

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"comfreyrelay.example/entry/internal/store"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// Change is one difference between two documents, as JSON of the API.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before"` // JSON text; empty if the value did not exist
	After  string `json:"after"`
}

// Changes converts wire changes to API changes.
func Changes(diff []*wire.Change) []Change {
	changes := make([]Change, len(diff))
	for i, change := range diff {
		changes[i] = Change{Path: change.GetPath(), Before: change.GetBefore(), After: change.GetAfter()}
	}
	return changes
}

// problemBody is the error object that every error response contains.
type problemBody struct {
	Kind             failure.Kind `json:"kind"`
	Message          string       `json:"message"`
	Remedy           string       `json:"remedy"`
	RetryAfterMillis int64        `json:"retryAfterMillis,omitempty"`
}

// errorBody is the body of an error response.
type errorBody struct {
	Error           problemBody        `json:"error"`
	Errors          []document.Problem `json:"errors,omitempty"`
	CurrentRevision uint32             `json:"currentRevision,omitempty"`
	TheirDiff       []Change           `json:"theirDiff,omitempty"`
	YourDiff        []Change           `json:"yourDiff,omitempty"`
}

// statusOfKind maps each failure kind to an HTTP status code.
var statusOfKind = map[failure.Kind]int{
	failure.Invalid:      http.StatusBadRequest,
	failure.Unauthorized: http.StatusUnauthorized,
	failure.Conflict:     http.StatusConflict,
	failure.NotFound:     http.StatusNotFound,
	failure.Unavailable:  http.StatusServiceUnavailable,
	failure.Exhausted:    http.StatusServiceUnavailable,
	failure.Stale:        http.StatusConflict,
	failure.Corrupt:      http.StatusInternalServerError,
	failure.Ambiguous:    http.StatusBadGateway,
	failure.Leaving:      http.StatusServiceUnavailable,
	failure.Internal:     http.StatusInternalServerError,
}

// writeJSON writes the body as JSON with the given status code.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// writeError writes an error response with the error's kind, message and remedy,
// and with both sides' changes if it is a conflict.
func writeError(w http.ResponseWriter, err error) {
	var problem *failure.Error
	if !errors.As(err, &problem) {
		problem = failure.Wrap(err, failure.Internal, "the call failed", "try again; report it if it persists")
	}
	body := errorBody{Error: problemBody{
		Kind: problem.Kind(), Message: messageOf(problem), Remedy: problem.Remedy(),
		RetryAfterMillis: problem.RetryAfter().Milliseconds(),
	}}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		body.CurrentRevision = conflict.CurrentRevision()
		body.TheirDiff, body.YourDiff = Changes(conflict.Theirs()), Changes(conflict.Yours())
	}
	writeJSON(w, statusOfKind[problem.Kind()], body)
}

// messageOf returns the problem's message, followed by its cause if it has one.
func messageOf(problem *failure.Error) string {
	if cause := problem.Unwrap(); cause != nil {
		return problem.Message() + ": " + cause.Error()
	}
	return problem.Message()
}

// writeProblems rejects a document with the list of its problems.
func writeProblems(w http.ResponseWriter, problems []document.Problem) {
	writeJSON(w, http.StatusUnprocessableEntity, errorBody{
		Error: problemBody{
			Kind:    failure.Invalid,
			Message: "the document has " + strconv.Itoa(len(problems)) + " problems",
			Remedy:  "correct the problems listed in errors and submit it again",
		},
		Errors: problems,
	})
}

// readBody reads a request body of at most maxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, failure.New(failure.Invalid, "the body is larger than 2 MiB", "send a smaller document")
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "cannot read the complete body", "send it again")
	}
	return text, nil
}

// readJSON decodes a request body into target. It rejects unknown keys, because
// a misspelled key would otherwise be ignored silently.
func readJSON(w http.ResponseWriter, r *http.Request, target any) error {
	text, err := readBody(w, r)
	if err != nil {
		return err
	}
	return decode(text, target)
}

// queryUint returns an unsigned query parameter, or fallback if it is absent.
func queryUint(r *http.Request, name string, fallback uint32) (uint32, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, failure.New(failure.Invalid, name+" is not a number", "send a whole number of 0 or more")
	}
	return uint32(value), nil
}

// millisOf returns the age in milliseconds, and 0 for a negative age.
func millisOf(age time.Duration) int64 { return max(0, age.Milliseconds()) }

package callers

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"comfreyrelay.example/entry/internal/dispatch"
	"comfreyrelay.example/relay/failure"
)

// problem is an error response to a caller.
type problem struct {
	status  int
	outcome dispatch.Outcome
	err     *failure.Error
	spares  []string // addresses of other entries to use instead
}

// errorBody is the JSON form of a problem.
type errorBody struct {
	Outcome   dispatch.Outcome `json:"outcome"`
	RequestID string           `json:"requestId,omitempty"`
	Error     errorDetail      `json:"error"`
}

type errorDetail struct {
	Kind             failure.Kind `json:"kind"`
	Message          string       `json:"message"`
	Remedy           string       `json:"remedy"`
	RetryAfterMillis int64        `json:"retryAfterMillis,omitempty"`
	Spares           []string     `json:"spares,omitempty"`
}

// body returns the JSON form of the problem.
func (p *problem) body(requestID string) errorBody {
	return errorBody{
		Outcome:   p.outcome,
		RequestID: requestID,
		Error: errorDetail{
			Kind:             p.err.Kind(),
			Message:          p.err.Message(),
			Remedy:           p.err.Remedy(),
			RetryAfterMillis: int64(p.err.RetryAfter() / time.Millisecond),
			Spares:           p.spares,
		},
	}
}

// write sends the problem as the HTTP response.
func (p *problem) write(w http.ResponseWriter, requestID string) {
	if wait := p.err.RetryAfter(); wait > 0 {
		seconds := int64((wait + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, p.status, p.body(requestID))
}

// writeJSON sends body as the JSON response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "cannot encode the answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// notRun returns the problem of a request that did not run.
func notRun(status int, err *failure.Error) *problem {
	return &problem{status: status, outcome: dispatch.NotRun, err: err}
}

// unknownOutcome returns the problem of a request that may have run.
func unknownOutcome(err *failure.Error) *problem {
	return &problem{status: http.StatusBadGateway, outcome: dispatch.Unknown, err: err}
}

// invalid returns the problem of a request that is malformed.
func invalid(message, remedy string) *problem {
	return notRun(http.StatusBadRequest, failure.New(failure.Invalid, message, remedy))
}

// problemFromResult returns the problem to report for a request that was
// dispatched but not answered.
func problemFromResult(result dispatch.Result) *problem {
	if result.Outcome == dispatch.Unknown {
		return unknownOutcome(result.Err)
	}
	if errors.Is(result.Err, dispatch.ErrLate) {
		return notRun(http.StatusGatewayTimeout, result.Err)
	}
	return notRun(http.StatusServiceUnavailable, result.Err)
}

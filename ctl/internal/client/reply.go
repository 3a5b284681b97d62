package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
)

// errorBody is the response body of every request that failed.
type errorBody struct {
	Error struct {
		Kind             failure.Kind `json:"kind"`
		Message          string       `json:"message"`
		Remedy           string       `json:"remedy"`
		RetryAfterMillis int64        `json:"retryAfterMillis"`
	} `json:"error"`
	Errors          []document.Problem `json:"errors"`
	CurrentRevision uint32             `json:"currentRevision"`
	TheirDiff       []Change           `json:"theirDiff"`
	YourDiff        []Change           `json:"yourDiff"`
}

// Conflict is returned if the document changed after the base revision of a
// submission.
type Conflict struct {
	CurrentRevision uint32   `json:"currentRevision"`
	TheirDiff       []Change `json:"theirDiff"` // from the base to the current revision
	YourDiff        []Change `json:"yourDiff"`  // from the base to the submitted document
	cause           error
}

// Error implements error.
func (c *Conflict) Error() string { return c.cause.Error() }

// Unwrap returns the underlying failure with its kind and remedy.
func (c *Conflict) Unwrap() error { return c.cause }

// InvalidDocument is returned if an entry rejects a document as invalid.
type InvalidDocument struct {
	Problems []document.Problem `json:"errors"`
	cause    error
}

// Error implements error.
func (i *InvalidDocument) Error() string { return i.cause.Error() }

// Unwrap returns the underlying failure with its kind and remedy.
func (i *InvalidDocument) Unwrap() error { return i.cause }

// decodeReply decodes the body of a successful reply into the value into, and
// returns an error for any other reply.
func decodeReply(answer *reply, into any, method string) error {
	if answer.status != http.StatusOK {
		return decodeError(answer, method)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return failure.Wrap(err, failure.Ambiguous, "the entry's reply cannot be read", "check that the address is an entry's")
	}
	return nil
}

// decodeError converts a reply with an error status to an error.
func decodeError(answer *reply, method string) error {
	var body errorBody
	if err := json.Unmarshal(answer.body, &body); err != nil {
		body = errorBody{}
	}
	cause := toFailure(answer.status, method, &body)
	switch {
	case answer.status == http.StatusConflict && body.CurrentRevision > 0:
		return &Conflict{CurrentRevision: body.CurrentRevision, TheirDiff: body.TheirDiff, YourDiff: body.YourDiff, cause: cause}
	case len(body.Errors) > 0:
		return &InvalidDocument{Problems: body.Errors, cause: cause}
	}
	return cause
}

// toFailure builds a failure from an error body, with defaults for the fields
// that it lacks.
func toFailure(status int, method string, body *errorBody) error {
	kind := body.Error.Kind
	if kind == "" {
		kind = kindOfStatus(status, method)
	}
	message := strings.TrimSpace(body.Error.Message)
	if message == "" {
		message = fmt.Sprintf("the entry replied with status %d", status)
	}
	remedy := strings.TrimSpace(body.Error.Remedy)
	if remedy == "" {
		remedy = remedyOf(kind)
	}
	wait := time.Duration(body.Error.RetryAfterMillis) * time.Millisecond
	return failure.New(kind, message, remedy).WithRetryAfter(wait)
}

// kindOfStatus derives the failure kind from the HTTP status, for replies without
// a kind, such as those of a proxy between the client and the entry. Such a reply
// proves of no change that it had no effect: it may be that of a proxy which lost
// the entry's.
func kindOfStatus(status int, method string) failure.Kind {
	isChange := method != http.MethodGet
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return failure.Unauthorized
	case http.StatusNotFound:
		return failure.NotFound
	case http.StatusConflict:
		return failure.Conflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if isChange {
			return failure.Ambiguous
		}
		return failure.Unavailable
	}
	if status < http.StatusInternalServerError {
		return failure.Invalid
	}
	if isChange {
		return failure.Ambiguous
	}
	return failure.Unavailable
}

// remedyOf returns the default remedy for a failure kind.
func remedyOf(kind failure.Kind) string {
	switch kind {
	case failure.Unauthorized:
		return "give an operator's key with --key-file or COMFREY_KEY"
	case failure.NotFound:
		return "check the name or revision"
	case failure.Conflict:
		return "look at the document in force, merge and apply again"
	case failure.Invalid:
		return "correct what the message names"
	default:
		return "try again later"
	}
}

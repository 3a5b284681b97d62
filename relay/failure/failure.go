// Package failure defines the errors that are reported to people and to other
// processes: each has a kind for programs and a remedy for people.
package failure

import (
	"errors"
	"fmt"
	"time"
)

// Kind classifies an Error. Programs compare kinds and never parse messages.
type Kind string

// Kinds of errors that are returned across packages.
const (
	Invalid      Kind = "invalid"      // the input is wrong; retrying does not help
	Unauthorized Kind = "unauthorized" // the key is missing or unknown
	Conflict     Kind = "conflict"     // another writer changed it first
	NotFound     Kind = "notFound"     // it does not exist
	Unavailable  Kind = "unavailable"  // a dependency is down; try again
	Exhausted    Kind = "exhausted"    // a limit or budget is used up
	Stale        Kind = "stale"        // the sender's state is older than the receiver's
	Corrupt      Kind = "corrupt"      // data does not match its hash or cannot be decoded
	Ambiguous    Kind = "ambiguous"    // it may have taken effect or not
	Leaving      Kind = "leaving"      // the process is shutting down
	Internal     Kind = "internal"     // an invariant is violated
)

// Error is an error with a kind, a message and a remedy.
type Error struct {
	kind       Kind
	message    string // what happened, without a trailing period
	remedy     string // what the reader can do; never empty
	retryAfter time.Duration
	cause      error
}

// New returns an Error. The remedy tells the reader what to do.
func New(kind Kind, message, remedy string) *Error {
	return &Error{kind: kind, message: message, remedy: remedy}
}

// Wrap is like New and keeps the cause for errors.Is and errors.As.
func Wrap(cause error, kind Kind, message, remedy string) *Error {
	return &Error{kind: kind, message: message, remedy: remedy, cause: cause}
}

// WithRetryAfter returns a copy of e with the time to wait before a retry.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	dup := *e
	dup.retryAfter = wait
	return &dup
}

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Message returns what happened, without the remedy and the cause.
func (e *Error) Message() string { return e.message }

// Remedy returns the advice.
func (e *Error) Remedy() string { return e.remedy }

// RetryAfter returns how long to wait before trying again; 0 if unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error returns message, cause and remedy in one line.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s; %s", e.message, e.remedy)
	}
	return fmt.Sprintf("%s: %v; %s", e.message, e.cause, e.remedy)
}

// KindOf returns the kind of the first Error in err's chain, or Internal if there
// is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}

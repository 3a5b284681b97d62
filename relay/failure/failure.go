// Package failure defines the errors that the system shows to people and to
// other processes: each has a kind that programs act on and a remedy that a
// person can follow.
package failure

import (
	"errors"
	"fmt"
	"time"
)

// Kind classifies an Error; programs compare it, they never parse messages.
type Kind string

// The kinds that cross package borders.
const (
	Invalid      Kind = "invalid"      // the input is wrong and stays wrong
	Unauthorized Kind = "unauthorized" // the key is missing or unknown
	Conflict     Kind = "conflict"     // somebody else changed it first
	NotFound     Kind = "notFound"     // it does not exist
	Unavailable  Kind = "unavailable"  // a dependency is down; try again
	Exhausted    Kind = "exhausted"    // a limit or budget is used up
	Stale        Kind = "stale"        // the sender's knowledge is older than ours
	Corrupt      Kind = "corrupt"      // bytes do not match their hash
	Ambiguous    Kind = "ambiguous"    // it may have taken effect or not
	Leaving      Kind = "leaving"      // the process is shutting down
	Internal     Kind = "internal"     // an invariant broke
)

// Error is an error with a kind, a message and a remedy.
type Error struct {
	kind       Kind
	message    string // what happened, without a trailing period
	remedy     string // what the reader can do; never empty
	retryAfter time.Duration
	cause      error
}

// New makes an Error. The remedy is advice to the person who reads it.
func New(kind Kind, message, remedy string) *Error {
	return &Error{kind: kind, message: message, remedy: remedy}
}

// Wrap is like New and keeps the cause for errors.Is and errors.As.
func Wrap(cause error, kind Kind, message, remedy string) *Error {
	return &Error{kind: kind, message: message, remedy: remedy, cause: cause}
}

// WithRetryAfter returns a copy that says when trying again makes sense.
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

// KindOf returns the kind of the first Error in err's chain, else Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}

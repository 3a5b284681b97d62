// Package call defines a caller's request and the endpoint's answer independently
// of the wire protocol.
package call

import (
	"net/http"
	"time"
)

// Request is one request of a caller. It is not modified after it was decoded.
type Request struct {
	ID     string // chosen by the caller, new for each of its retries
	Method string
	Host   string
	Target string // path and query exactly as the caller sent them
	Path   string // Target without the query
	Key    string // authorizes the route; empty if none was sent
	// Deadline is how long the caller waits from the request's arrival; 0 if
	// it did not say.
	Deadline time.Duration
	// Header holds the headers that are forwarded unchanged.
	Header http.Header
	Body   []byte
	// ResumeAfter is the last event of the stream that the caller received.
	ResumeAfter string
	Model       string
	Prompt      int // tokens
	MaxAnswer   int // tokens
	Hint        int // the caller's estimate of the answer's tokens; 0 if none
	// SharedParts are the IDs of the prompt's parts, in order, without the last one, which is
	// the request's own; nil if the request states none.
	SharedParts []string
}

// Sending holds what the system adds to a request sent to an endpoint.
type Sending struct {
	Endpoint string // expected ID of the receiving endpoint
	Customer string // empty on public routes
	// Remaining is the time remaining until the caller's deadline.
	Remaining time.Duration
	// Version is the version of the model that must be loaded; 0 means any.
	Version uint64
	// Urgency ranges from 0, which goes first, to 9.
	Urgency int
	// ResumeAfter overrides the request's own if it is not empty.
	ResumeAfter string
}

// Load is the load that an endpoint reports with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer holds what the system reads from the headers of an endpoint's answer.
type Answer struct {
	Status   int
	ID       string // of the request it belongs to; empty if not given
	Endpoint string // ID of the endpoint that sent it; empty if not given
	// StatesNotRun reports that it says that the endpoint did not run the request.
	StatesNotRun bool
	Signed       bool  // carries the signature of an endpoint that ran the request
	Load         *Load // nil if not given
	// Limit is the requests a second that the endpoint accepts from all entries
	// together; valid if Limited.
	Limit   float64
	Limited bool
	// Leaving reports that the endpoint is shutting down and should get no new
	// requests.
	Leaving bool
	// BackOff is how long an endpoint that refused the request wants no requests
	// from this entry; 0 if not given.
	BackOff time.Duration
	// Idle is how long the endpoint keeps an idle connection open; 0 if not
	// given.
	Idle time.Duration
}

// Wire translates between one wire protocol and the types of this package.
type Wire struct {
	// Read decodes a request's headers; the error says what is malformed.
	Read func(*http.Request) (*Request, error)
	// Encode builds the request that is sent to an endpoint.
	Encode func(*Request, Sending) *http.Request
	// Decode reads the headers of an endpoint's answer.
	Decode func(*http.Response) Answer
	// Relay copies the headers of an endpoint's answer that are forwarded to
	// the caller.
	Relay func(to, from http.Header)
	// Refuse adds the headers that tell the caller that the request did not
	// run and when to retry.
	Refuse func(to http.Header, wait time.Duration)
}

// Package call holds a caller's request and its parts in the product's own
// terms, whatever wire it came on.
package call

import (
	"net/http"
	"time"
)

// Request is one request of a caller. It is not changed after it was read.
type Request struct {
	ID     string // the caller's, new for each of its own tries
	Method string
	Host   string
	Target string // path and query exactly as the caller sent them
	Path   string // Target without the query
	Key    string // opens the route; empty where none was sent
	// Deadline is how long the caller waits from the request's arrival; 0
	// where it did not say.
	Deadline time.Duration
	// Header holds what is passed on as it came.
	Header http.Header
	Body   []byte
	// ResumeAfter is the last event of the stream that the caller has.
	ResumeAfter string
	Model       string
	Prompt      int // tokens
	MaxAnswer   int // tokens
	Hint        int // the caller's guess of the answer's tokens; 0 where none
}

// Sending is what the system adds when it sends a request to an endpoint.
type Sending struct {
	Endpoint string // id that the receiver must have
	Customer string // empty on public routes
	// Left is the time that the caller still waits.
	Left time.Duration
	// Version is the version of the model that must be loaded; 0 where any
	// may be.
	Version uint64
	// Urgency is 0 for what goes first to 9.
	Urgency int
	// ResumeAfter replaces the request's own where it is not empty.
	ResumeAfter string
}

// Load is what an endpoint says of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer is what the system reads from the head of an endpoint's answer.
type Answer struct {
	ID     string // of the request that it belongs to; empty where not said
	NotRun bool   // the endpoint proves that it did not run the request
	// Elsewhere: the address belongs to another endpoint now.
	Elsewhere bool
	Signed    bool  // bears the endpoint's signature
	Load      *Load // nil where not said
	// Limit is the requests a second that the endpoint accepts from all entries
	// together; valid where Limited.
	Limit   float64
	Limited bool
	// Leaving: the endpoint takes its leave and should get nothing new.
	Leaving bool
	// Rest is how long the endpoint, which turned the request away, wants nothing from this
	// entry; 0 where not said.
	Rest time.Duration
	// Idle is how long the endpoint keeps an idle connection; 0 where not
	// said.
	Idle time.Duration
}

// Wire translates between a wire and these types; its fields are the seams.
type Wire struct {
	// Read decodes a request's head; the error says what is malformed.
	Read func(*http.Request) (*Request, error)
	// Encode makes the request that goes to an endpoint.
	Encode func(*Request, Sending) *http.Request
	// Decode reads the head of an endpoint's answer.
	Decode func(*http.Response) Answer
	// Relay copies the headers of an endpoint's answer that go on to the
	// caller.
	Relay func(to, from http.Header)
	// Refuse adds what shows the caller that the request did not run and when
	// to come back.
	Refuse func(to http.Header, wait time.Duration)
}

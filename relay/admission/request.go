package admission

import (
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/engine"
	"comfreyrelay.example/relay/fleet"
)

const (
	// plainExtraQueue is the number of requests that a plain endpoint may queue beyond
	// its slots.
	plainExtraQueue = 6
	// defaultTimeout applies if neither the route nor the caller sets a timeout.
	defaultTimeout = time.Minute
	// rankStarted and rankLast are the first and the last rank at an engine. An answer that
	// continues after another engine is read first, since its caller sees a pause until then.
	rankStarted = 0
	rankLast    = 9
	// customerWeight makes a customer's priority outweigh the route's.
	customerWeight = 10
	// maxWorkDivisor limits the time that is reserved for a plain endpoint's answer, as a fraction of the
	// caller's time. It also applies if the usual time is not known.
	maxWorkDivisor = 3
	// noEndpointRetryAfter is the retry delay if no endpoint serves the request at all.
	// Endpoints that load or restart take seconds.
	noEndpointRetryAfter = 1500 * time.Millisecond
)

// Request holds the properties that decide when and where a request is sent, and how
// long it may wait.
type Request struct {
	Engine           *catalog.Engine // of the service; nil for a plain endpoint
	Prompt           int             // tokens
	Answer           int             // expected tokens of the answer; 0 for a plain endpoint
	WorkTime         time.Duration   // usual time of a plain endpoint's answer; 0 if it is not known
	Patience         time.Duration   // time without progress after which the caller gives up; 0 for none but the deadline
	Priority         int             // of the route, 0 being the highest
	CustomerPriority int             // priority of the customer

	Arrived  time.Time
	Deadline time.Time // deadline of any answer

	// Started is set once the caller has received part of the answer. The time until the
	// answer continues is then a pause that the caller sees.
	Started bool
	// Sent is set once the request was sent to an endpoint.
	Sent bool

	lastProgress time.Time // when the request was received, or the last event reached the caller
	tokens       int       // tokens of the answer that the caller received
	latestStart  time.Time // see LatestStart
}

// SetDeadline sets the deadline from the timeouts of the route and the caller, of which
// the shorter one applies. 0 means no timeout.
func (r *Request) SetDeadline(route, caller time.Duration) {
	timeout := route
	if caller > 0 && (timeout <= 0 || caller < timeout) {
		timeout = caller
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.Deadline = r.Arrived.Add(timeout)
	r.lastProgress = r.Arrived
	r.updateLatestStart()
}

// LimitDeadline moves the deadline to an earlier time.
func (r *Request) LimitDeadline(to time.Time) {
	if to.Before(r.Deadline) {
		r.Deadline = to
		r.updateLatestStart()
	}
}

// Received records that the request was received completely: its caller waits from then on. It must not be
// called while the request waits in a Line.
func (r *Request) Received(now time.Time) {
	r.lastProgress = now
	r.updateLatestStart()
}

// Progress records that the caller received a part of the answer with a number of tokens. It must not be
// called while the request waits in a Line.
func (r *Request) Progress(now time.Time, tokens int) {
	r.Started, r.lastProgress = true, now
	r.tokens += tokens
	r.updateLatestStart()
}

// updateLatestStart computes until when the request can start and still be complete within its caller's
// time, with its caller seeing progress before it gives up.
func (r *Request) updateLatestStart() {
	if r.Engine == nil {
		timeout := r.Deadline.Sub(r.Arrived)
		work := min(r.WorkTime, timeout/maxWorkDivisor)
		if work <= 0 {
			work = timeout / maxWorkDivisor
		}
		r.latestStart = r.Deadline.Add(-withMargin(work))
		return
	}
	// An answer in progress is read again with what was written of it.
	first, rest := streamWork(r.Engine, r.Prompt+r.tokens, r.Answer-r.tokens)
	r.latestStart = r.Deadline.Add(-withMargin(first + rest))
	if r.Patience > 0 {
		r.latestStart = earliest(r.latestStart, r.lastProgress.Add(r.Patience-withMargin(first)))
	}
}

func withMargin(work time.Duration) time.Duration { return time.Duration(workMargin * float64(work)) }

func earliest(left, right time.Time) time.Time {
	if right.Before(left) {
		return right
	}
	return left
}

// LatestStart returns until when the request may wait for an endpoint. After that it is not expected to be
// complete within its caller's time.
func (r *Request) LatestStart() time.Time { return r.latestStart }

// Hopeless reports whether the first event can't reach the caller in its time even from an idle engine.
func (r *Request) Hopeless(now time.Time) bool {
	if r.Engine == nil {
		return !now.Before(r.Deadline)
	}
	end := r.Deadline
	if r.Patience > 0 {
		end = earliest(end, r.lastProgress.Add(r.Patience))
	}
	return now.Add(engine.ReadTime(r.Engine, r.Prompt)).After(end)
}

// Need returns the requirements on an endpoint. The caller adds the versions and the endpoints that
// already had the request.
func (r *Request) Need(model, domain string, entries int) fleet.Need {
	need := fleet.Need{Domain: domain, Entries: entries, Resumed: r.Sent, Extra: plainExtraQueue}
	if r.Engine != nil {
		need.Model, need.Prompt, need.Extra = model, r.Prompt, 0
		need.MaxPendingPrefill = MaxAhead(r.Engine) + r.Prompt
	}
	return need
}

// Rank returns the request's rank at an engine, 0 being the first.
func (r *Request) Rank() int {
	if r.Started {
		return rankStarted
	}
	return min(rankLast, max(rankStarted+1, r.Priority+r.CustomerPriority))
}

// urgency returns the request's rank in the line; the customer's priority goes before
// the route's.
func (r *Request) urgency() int { return r.Priority + customerWeight*r.CustomerPriority }

// QueueTime returns the expected time until this entry has served the given number of requests. slots is the
// number of slots of all endpoints, which the entries share. It is 0 if nothing is known of it.
func (r *Request) QueueTime(requests, slots, entries int) time.Duration {
	if slots <= 0 {
		return 0
	}
	work := r.WorkTime
	if r.Engine != nil {
		work = engine.CompletionInterval(r.Engine) * time.Duration(r.Engine.Slots)
	}
	return work * time.Duration(requests*max(1, entries)) / time.Duration(slots)
}

// RetryAfter returns when the caller of a refused request should retry: when those that wait have been served, or
// when endpoints may be back if none serves the request.
func (r *Request) RetryAfter(verdict fleet.Verdict, queueTime time.Duration) time.Duration {
	if verdict != fleet.Full {
		return noEndpointRetryAfter
	}
	return max(minRetryAfter, queueTime)
}

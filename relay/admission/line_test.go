package admission

import (
	"testing"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
)

var spec = &catalog.Engine{Slots: 12, PromptTokensPerSecond: 19100, StepMillis: 9}

// newStream returns a request for a stream that arrived age ago.
func newStream(now time.Time, age time.Duration, begun, returned bool) *Request {
	req := &Request{
		Engine: spec, Target: 400 * time.Millisecond, Prompt: 900, Priority: 1,
		Retried: returned, Started: begun, Sent: begun, Arrived: now.Add(-age),
	}
	req.SetDeadline(6*time.Second, 0)
	return req
}

// headsInOrder empties the line and returns its requests in order.
func headsInOrder(line *Line, now time.Time) []*Request {
	var found []*Request
	for head := line.Head(now); head != nil; head = line.Head(now) {
		found = append(found, head)
		line.Leave(head)
	}
	return found
}

// When an engine loads a new version, its streams continue on other engines. Half of
// them paused for over 400 ms, since they waited behind new requests at the entry and
// again at the engine, and those of returned callers even behind late requests: only
// lateness and the route's priority were compared. Seen with 152 streams of one region
// moved within 5 s, on a calm day with 88 engines.
func TestStartedRequestsGoFirst(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fresh := newStream(now, 0, false, false)
	old := newStream(now, 3*time.Second, false, false)
	back := newStream(now, 0, false, true)
	begun := newStream(now, 3*time.Second, true, false)
	begunBack := newStream(now, 3*time.Second, true, true)
	line := &Line{}
	for _, req := range []*Request{old, back, fresh, begun, begunBack} {
		line.Enter(now, req)
	}
	want := []*Request{begun, begunBack, fresh, old, back}
	for i, req := range headsInOrder(line, now) {
		if req != want[i] {
			t.Errorf("position %d: got another request than wanted", i)
		}
	}
	for _, test := range []struct {
		name string
		req  *Request
		want int
	}{{"new", fresh, 1}, {"late", old, rankLate}, {"returned", back, rankLate}, {"begun", begun, rankStarted}, {"begun, returned", begunBack, rankStarted}} {
		if got := test.req.Rank(now); got != test.want {
			t.Errorf("%s: got rank %d at the engine, want %d", test.name, got, test.want)
		}
	}
}

// The first request in the line became late while it waited and kept its place, so that
// requests behind it became late too: the order was that of arrival.
func TestLateRequestsMoveBack(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	older := newStream(now, 200*time.Millisecond, false, false)
	newer := newStream(now, 0, false, false)
	line := &Line{}
	line.Enter(now, older)
	line.Enter(now, newer)
	if line.Head(now) != older {
		t.Fatalf("got the newer request first, want the older while both can be in time")
	}
	at := line.NextChange()
	if !at.After(now) || at.Sub(now) > 400*time.Millisecond {
		t.Fatalf("got a change of the order after %v, want it within the target", at.Sub(now))
	}
	if line.Head(at.Add(-time.Microsecond)) != older || line.Head(at) != newer {
		t.Errorf("got another order, want the older request first until %v, then the newer", at.Sub(now))
	}
	if line.Head(now.Add(time.Second)) != older || !line.NextChange().IsZero() {
		t.Errorf("got the newer request first once both are late, want the older, and no more changes")
	}
}

func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	usual, urgent, customer := newStream(now, 0, false, false), newStream(now, 0, false, false), newStream(now, 0, false, false)
	urgent.Priority = 0
	customer.CustomerPriority, customer.Priority = -1, 5
	line := &Line{}
	for _, req := range []*Request{usual, urgent, customer} {
		line.Enter(now, req)
	}
	for i, req := range headsInOrder(line, now) {
		if want := []*Request{customer, urgent, usual}[i]; req != want {
			t.Errorf("position %d: got another request than wanted", i)
		}
	}
	if line.Head(now) != nil || line.Len() != 0 {
		t.Errorf("got a request waiting after all left")
	}
}

func TestPlainRequestBounds(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	req := &Request{Target: 100 * time.Millisecond, Arrived: now, Retried: true}
	req.SetDeadline(900*time.Millisecond, 1500*time.Millisecond)
	if got, want := req.WaitUntil(now).Sub(now), 300*time.Millisecond; got != want {
		t.Errorf("got a wait of %v, want %v, a third of its timeout", got, want)
	}
	if need := req.Need(now, "", "d", 3); need.Extra != plainExtraQueue || need.MaxPendingPrefill != 0 {
		t.Errorf("got %+v, want a short queue and no bound on prompt tokens", need)
	}
	if got := req.RetryAfter(fleet.Full, 5, 3); got != noEndpointRetryAfter {
		t.Errorf("got %v, want %v", got, noEndpointRetryAfter)
	}
}

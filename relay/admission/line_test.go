package admission

import (
	"testing"
	"time"
)

// headsInOrder empties the line and returns its requests in order.
func headsInOrder(line *Line) []*Request {
	var found []*Request
	for head := line.Head(); head != nil; head = line.Head() {
		found = append(found, head)
		line.Leave(head)
	}
	return found
}

// Guards against streams that pause while they wait behind new requests to continue at another engine, at
// the entry and again at the engine.
func TestStartedRequestsGoFirst(t *testing.T) {
	older, newer := newStream(0, 6*time.Second), newStream(ms, 6*time.Second)
	begun := newStream(0, 6*time.Second)
	begun.Progress(epoch.Add(time.Second), 5)
	line := &Line{}
	for _, req := range []*Request{older, begun, newer} {
		line.Enter(req)
	}
	for i, req := range headsInOrder(line) {
		if req != []*Request{begun, newer, older}[i] {
			t.Errorf("position %d: got another request than wanted", i)
		}
	}
	for _, test := range []struct {
		name string
		req  *Request
		want int
	}{{"new", newer, 1}, {"old", older, 1}, {"begun", begun, rankStarted}} {
		if got := test.req.Rank(); got != test.want {
			t.Errorf("%s: got rank %d at the engine, want %d", test.name, got, test.want)
		}
	}
}

// Guards against serving every request late when not all can be served: with the oldest first, each waits
// until its caller has almost given up.
func TestNewestGoesFirst(t *testing.T) {
	line := &Line{}
	requests := []*Request{newStream(0, 6*time.Second), newStream(ms, 2*time.Second), newStream(2*ms, 6*time.Second)}
	for _, i := range []int{1, 0, 2} {
		line.Enter(requests[i])
	}
	for i, req := range requests {
		if got, want := line.Ahead(req), len(requests)-1-i; got != want {
			t.Errorf("request %d: got %d ahead, want %d", i, got, want)
		}
	}
	if line.Last() != requests[0] || line.Ahead(newStream(3*ms, time.Second)) != 0 || line.Len() != 3 {
		t.Errorf("got another order than newest first")
	}
}

func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	usual, urgent, customer := newStream(2*ms, 6*time.Second), newStream(ms, 6*time.Second), newStream(0, 6*time.Second)
	urgent.Priority = 0
	customer.CustomerPriority, customer.Priority = -1, 5
	line := &Line{}
	for _, req := range []*Request{usual, urgent, customer} {
		line.Enter(req)
	}
	for i, req := range headsInOrder(line) {
		if want := []*Request{customer, urgent, usual}[i]; req != want {
			t.Errorf("position %d: got another request than wanted", i)
		}
	}
	if line.Head() != nil || line.Last() != nil || line.Len() != 0 {
		t.Errorf("got a request waiting after all left")
	}
}

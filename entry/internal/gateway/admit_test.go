package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/admission"
)

// notified reports whether a request was woken.
func notified(wakeup <-chan struct{}) bool {
	select {
	case <-wakeup:
		return true
	default:
		return false
	}
}

// Guards against high CPU load of an entry whose engines are full. With 28 engines that each
// report their state 30 times a second and 40 queued requests, each report woke all requests, and
// each of them sorted the queue, though only the first one may take a free slot.
func TestOnlyQueueHeadIsWoken(t *testing.T) {
	clock := clockwork.NewFakeClock()
	queue := &waitQueue{wakeups: map[*admission.Request]chan struct{}{}}
	var waiting []*admission.Request
	for range 3 {
		req := &admission.Request{Arrived: clock.Now(), Deadline: clock.Now().Add(time.Minute)}
		queue.add(req)
		waiting = append(waiting, req)
		clock.Advance(time.Millisecond)
	}
	slices.Reverse(waiting) // the newest goes first
	if _, isHead := queue.status(waiting[0]); !isHead {
		t.Errorf("got the first request behind others, want it at the head")
	}
	wakeup, isHead := queue.status(waiting[1])
	notified(wakeup) // it tried when it was the head
	if isHead || notified(wakeup) {
		t.Errorf("got the second request at the head or woken, want it to wait")
	}
	// A request that leaves from the middle of the queue changes nothing. When the head leaves,
	// the next request is woken.
	queue.remove(waiting[0])
	if !notified(wakeup) {
		t.Errorf("got no wakeup of the second request after the first left, want one")
	}
	urgent := &admission.Request{Started: true}
	queue.add(urgent)
	wakeup, isHead = queue.status(urgent)
	if !isHead || !notified(wakeup) {
		t.Errorf("got the most urgent request behind others or not woken, want it woken as the head")
	}
	if queue.isNext(waiting[1]) {
		t.Errorf("got the former head still next, want it behind the urgent request")
	}
}

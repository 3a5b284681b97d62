package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/admission"
)

// gave reports whether the turn was given.
func notified(wakeup <-chan struct{}) bool {
	select {
	case <-wakeup:
		return true
	default:
		return false
	}
}

// Symptom: an entry whose engines are full spends its processor on those who wait.
// Sequence: 28 engines report their state 30 times a second each; each state wakes each
// of 40 who wait, and each of these sorts the line. Cause: all waited for room, though
// only the first may take it.
func TestOnlyQueueHeadIsWoken(t *testing.T) {
	clock := clockwork.NewFakeClock()
	queue := &waitQueue{clock: clock.Now, wakeups: map[*admission.Request]chan struct{}{}}
	var waiting []*admission.Request
	for range 3 {
		req := &admission.Request{Arrived: clock.Now(), End: clock.Now().Add(time.Minute)}
		queue.add(req)
		waiting = append(waiting, req)
	}
	if _, isHead, _ := queue.status(waiting[0]); !isHead {
		t.Errorf("got the first one behind others, want it to hear of room")
	}
	wakeup, isHead, _ := queue.status(waiting[1])
	if isHead || notified(wakeup) {
		t.Errorf("got the second one looking for room, want it to wait for its turn")
	}
	// One that leaves from the middle changes nothing; once the head does, the next
	// one is notified.
	queue.remove(waiting[0])
	if !notified(wakeup) {
		t.Errorf("got no turn for the second one after the first left, want it")
	}
	urgent := &admission.Request{Begun: true}
	queue.add(urgent)
	wakeup, isHead, _ = queue.status(urgent)
	if !isHead || !notified(wakeup) {
		t.Errorf("got one that goes before all others waiting, want it to look at once")
	}
	if queue.isNext(waiting[1]) {
		t.Errorf("got the one before it first still, want it behind")
	}
}

package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/admission"
)

// gave reports whether the turn was given.
func gave(turn <-chan struct{}) bool {
	select {
	case <-turn:
		return true
	default:
		return false
	}
}

// Symptom: an entry whose engines are full spends its processor on those who wait.
// Sequence: 28 engines report their state 30 times a second each; each state wakes each
// of 40 who wait, and each of these sorts the line. Cause: all waited for room, though
// only the first may take it.
func TestOnlyTheHeadOfTheLineHearsOfRoom(t *testing.T) {
	clock := clockwork.NewFakeClock()
	queue := &line{clock: clock.Now, turns: map[*admission.Request]chan struct{}{}}
	var waiting []*admission.Request
	for range 3 {
		req := &admission.Request{Arrived: clock.Now(), End: clock.Now().Add(time.Minute)}
		queue.enter(req)
		waiting = append(waiting, req)
	}
	if _, first, _ := queue.turn(waiting[0]); !first {
		t.Errorf("got the first one behind others, want it to hear of room")
	}
	turn, first, _ := queue.turn(waiting[1])
	if first || gave(turn) {
		t.Errorf("got the second one looking for room, want it to wait for its turn")
	}
	// One that leaves from the middle changes nothing; once the head does, the next
	// one is notified.
	queue.leave(waiting[0])
	if !gave(turn) {
		t.Errorf("got no turn for the second one after the first left, want it")
	}
	urgent := &admission.Request{Begun: true}
	queue.enter(urgent)
	turn, first, _ = queue.turn(urgent)
	if !first || !gave(turn) {
		t.Errorf("got one that goes before all others waiting, want it to look at once")
	}
	if queue.first(waiting[1]) {
		t.Errorf("got the one before it first still, want it behind")
	}
}

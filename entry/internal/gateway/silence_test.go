package gateway_test

import (
	"testing"
	"time"

	"comfreyrelay.example/relay/fleet"
)

// Guards against a stream that is broken off because its endpoint, which is sound, was silent
// for a moment while no other endpoint had room.
func TestStreamOfASilentEndpointIsNotBrokenOffWhereNoOtherHasRoom(t *testing.T) {
	end := newEndpoint(t, "i-1", pausing(1, 5, 2))
	h := newHouse(t, end)
	h.freeze()
	answered := make(chan answer)
	go func() { answered <- h.send(t, "/stream/a", "key-1", "") }()
	h.begun(t, 2)
	h.state.Fleet().Observe("app", end.address, fleet.EngineState{})
	h.log.line(t, "endpoint=i-1", "silent")
	close(end.resume)
	h.pass(answered, 2*time.Second).check(t, 200, "id: 1\n", true)
	if got := sum(end); got != 1 {
		t.Errorf("got %d sends, want 1", got)
	}
}

// pass lets the time of a frozen clock go by in steps until a request is answered.
func (h *house) pass(answered <-chan answer, span time.Duration) answer {
	const step = 100 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += step {
		select {
		case got := <-answered:
			return got
		case <-time.After(5 * time.Millisecond):
			h.clock.Advance(step)
		}
	}
	return <-answered
}

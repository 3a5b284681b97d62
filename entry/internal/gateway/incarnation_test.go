package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/site"
)

// silent answers nothing until the test ends.
func unanswered(t *testing.T, arrived chan<- struct{}) func(id string) []byte {
	return func(string) []byte {
		arrived <- struct{}{}
		<-t.Context().Done()
		return nil
	}
}

// born registers an endpoint again, in the incarnation given.
func (h *deployment) register(end *endpoint, incarnation int64, revision uint64) {
	h.state.Apply([]site.Record{{Kind: site.EndpointRecord, ID: end.id, Revision: revision, Endpoint: fleet.Registration{
		ID: end.id, Born: incarnation, Service: "app", Address: end.address, Slots: 4,
	}}}, revision)
}

// Symptom: a caller waits to its deadline for an answer that can't come. Sequence:
// an endpoint reads a request that may run once, loses power behind a cut, so that
// its connection stays open here, and starts again under its id. Cause: silence
// was waited out though the endpoint had reported that it started again.
func TestRequestToFormerIncarnationIsAbandoned(t *testing.T) {
	arrived := make(chan struct{}, 1)
	end := newEndpoint(t, "i-1", unanswered(t, arrived))
	h := newDeployment(t)
	h.register(end, 1000, 2)
	began := h.clock.Now()
	go func() {
		<-arrived
		h.register(end, 2000, 3)
	}()
	h.send(t, "/once/a", "key-1", "").check(t, 502, "", true)
	if took, bound := h.clock.Since(began), 4*time.Second; took >= bound {
		t.Errorf("got the answer after %v, want it under %v, before the deadline", took, bound)
	}
	h.send(t, "/once/a", "key-1", "").check(t, 200, "ok", true)
}

// Symptom: the first request to an endpoint that started again is lost. Sequence:
// it closes none of the connections kept to its former incarnation, which stands behind a
// cut. Cause: connections were kept by address. The former incarnation answers here, so
// that what is sent to it is seen.
func TestConnectionsOfAFormerIncarnationAreNotUsed(t *testing.T) {
	end := newEndpoint(t, "i-1")
	conns := 0
	end.mu.Lock()
	end.onAccept = func() { conns++ }
	end.mu.Unlock()
	h := newDeployment(t)
	for incarnation := range 3 {
		h.register(end, int64(1000*(incarnation+1)), uint64(2+incarnation))
		for range 2 {
			h.send(t, "/once/a", "key-1", "").check(t, 200, "ok", true)
		}
	}
	end.mu.Lock()
	defer end.mu.Unlock()
	if got, want := conns, 3; got != want {
		t.Errorf("got %d connections, want %d, one for each incarnation", got, want)
	}
}

// A request that may be repeated goes to the next incarnation of the endpoint that lost
// it: that one never had it.
func TestNextIncarnationGetsRequestLostByFormerOne(t *testing.T) {
	arrived := make(chan struct{}, 1)
	end := newEndpoint(t, "i-1", unanswered(t, arrived))
	h := newDeployment(t)
	h.register(end, 1000, 2)
	go func() {
		<-arrived
		h.register(end, 2000, 3)
	}()
	h.send(t, "/safe/a", "key-1", "").check(t, 200, "ok", true)
	if got, want := fmt.Sprint(len(end.requests())), "2"; got != want {
		t.Errorf("got %s sendings, want %s", got, want)
	}
}

package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/site"
)

// unanswered signals that a request arrived and sends no answer until the test ends.
func unanswered(t *testing.T, arrived chan<- struct{}) func(id string) []byte {
	return func(string) []byte {
		arrived <- struct{}{}
		<-t.Context().Done()
		return nil
	}
}

// register registers an endpoint in the given incarnation.
func (h *deployment) register(ep *endpoint, incarnation int64, revision uint64) {
	h.state.Apply([]site.Record{{Kind: site.EndpointRecord, ID: ep.id, Revision: revision, Endpoint: fleet.Registration{
		ID: ep.id, Born: incarnation, Service: "app", Address: ep.address, Slots: 4,
	}}}, revision)
}

// Guards against a caller that waits until its deadline for an answer that cannot come: an endpoint
// reads a request that must not be repeated, loses power during a network partition, so that the
// connection here stays open, and restarts under its ID. The entry kept waiting though the endpoint
// had reported its restart.
func TestRequestToFormerIncarnationIsAbandoned(t *testing.T) {
	arrived := make(chan struct{}, 1)
	ep := newEndpoint(t, "i-1", unanswered(t, arrived))
	h := newDeployment(t)
	h.register(ep, 1000, 2)
	began := h.clock.Now()
	go func() {
		<-arrived
		h.register(ep, 2000, 3)
	}()
	h.send(t, "/once/a", "key-1", "").check(t, 502, "", true)
	if took, bound := h.clock.Since(began), 4*time.Second; took >= bound {
		t.Errorf("got the answer after %v, want it under %v, before the deadline", took, bound)
	}
	h.send(t, "/once/a", "key-1", "").check(t, 200, "ok", true)
}

// Guards against losing the first request to a restarted endpoint. The connections to its former
// incarnation stay open behind a network partition and were reused because the pool kept them by
// address. The former incarnation still answers in this test, so that such requests are detected.
func TestConnectionsOfAFormerIncarnationAreNotUsed(t *testing.T) {
	ep := newEndpoint(t, "i-1")
	conns := 0
	ep.mu.Lock()
	ep.onAccept = func() { conns++ }
	ep.mu.Unlock()
	h := newDeployment(t)
	for incarnation := range 3 {
		h.register(ep, int64(1000*(incarnation+1)), uint64(2+incarnation))
		for range 2 {
			h.send(t, "/once/a", "key-1", "").check(t, 200, "ok", true)
		}
	}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if got, want := conns, 3; got != want {
		t.Errorf("got %d connections, want %d, one for each incarnation", got, want)
	}
}

// A repeatable request is sent to the next incarnation of the endpoint that lost it, since that
// incarnation never received it.
func TestNextIncarnationGetsRequestLostByFormerOne(t *testing.T) {
	arrived := make(chan struct{}, 1)
	ep := newEndpoint(t, "i-1", unanswered(t, arrived))
	h := newDeployment(t)
	h.register(ep, 1000, 2)
	go func() {
		<-arrived
		h.register(ep, 2000, 3)
	}()
	h.send(t, "/safe/a", "key-1", "").check(t, 200, "ok", true)
	if got, want := fmt.Sprint(len(ep.requests())), "2"; got != want {
		t.Errorf("got %s sends, want %s", got, want)
	}
}

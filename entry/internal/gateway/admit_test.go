package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/call"
	"comfreyrelay.example/relay/catalog"
)

// waiter returns a request for a stream that arrived so long ago.
func waiter(clock clockwork.Clock, age time.Duration, events int, returned bool) *exchange {
	cat := catalog.New(catalog.Spec{
		Version:  1,
		Services: []catalog.Service{{Name: "llm", Engine: &catalog.Engine{Slots: 12, ReadPerSecond: 19100, StepMillis: 9}}},
	})
	x := &exchange{
		gateway: New(Config{Clock: clock}), catalog: cat, service: "llm", req: &call.Request{Prompt: 900},
		route:   &catalog.Route{Name: "r", Kind: catalog.Stream, Target: 400 * time.Millisecond, Timeout: 6 * time.Second, Priority: 1},
		arrived: clock.Now().Add(-age),
	}
	x.timing()
	x.events, x.returned = events, returned
	return x
}

// Symptom: half of the streams that a rollout moves to another engine pause for
// over 400 ms there. Sequence: an engine loads a new version and cuts what it runs;
// 152 streams of one region go on elsewhere within 5 s; each waits in line behind
// new requests, at the entry and again at the engine; one whose caller had come
// back before waits behind the late ones. Cause: only lateness and the route's rank
// were compared. The figures are those of a calm day with 88 engines.
func TestWhatWasBegunGoesFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	fresh := waiter(clock, 0, 0, false)
	old := waiter(clock, 3*time.Second, 0, false)
	back := waiter(clock, 0, 0, true)
	begun := waiter(clock, 3*time.Second, 4, false)
	begunBack := waiter(clock, 3*time.Second, 4, true)
	queue := &line{}
	for _, x := range []*exchange{old, back, fresh, begun, begunBack} {
		queue.enter(x)
	}
	queue.order()
	want := []*exchange{begun, begunBack, fresh, old, back}
	for i, x := range want {
		if queue.waiting[i] != x {
			t.Errorf("place %d: got another request than wanted", i)
		}
	}
	for _, one := range []struct {
		name string
		x    *exchange
		want int
	}{{"new", fresh, 1}, {"late", old, urgencyLate}, {"returned", back, urgencyLate}, {"begun", begun, urgencyBegun}, {"begun, returned", begunBack, urgencyBegun}} {
		if got := one.x.sendUrgency(); got != one.want {
			t.Errorf("%s: got rank %d at the engine, want %d", one.name, got, one.want)
		}
	}
}

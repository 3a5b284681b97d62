package onsite

import (
	"net/http"
	"sync"
	"testing"

	"comfreyrelay.example/platform/platformtest"
)

// quiet lets callers ask each entry at the same time, one request after the other, and returns how
// many requests the worker got. All of them must be served.
func (f *fleetOfEntries) quiet(t *testing.T, worker *platformtest.Worker, each int) int {
	t.Helper()
	before := len(worker.Arrivals())
	var callers sync.WaitGroup
	for _, to := range f.entries {
		callers.Go(func() {
			for range each {
				if got := f.send(to, "body"); got != http.StatusOK {
					t.Errorf("got %d while two endpoints take requests, want 200", got)
				}
			}
		})
	}
	callers.Wait()
	return len(worker.Arrivals()) - before
}

// Guards against entries that keep sending to an endpoint which leaves, as long as its registration
// does not say so.
func TestEachEntryLearnsFromAnAnswerThatAnEndpointLeaves(t *testing.T) {
	f := newFleetOfEntries(t, 3, 3, nil)
	leaver := f.workers[0]
	f.used(t, leaver)
	leaver.Leave()
	if got, want := f.quiet(t, leaver, 40), len(f.entries); got > want {
		t.Errorf("got %d requests at an endpoint that leaves, want one from each of %d entries at most", got, want)
	}
}

// Guards against entries that keep sending to an endpoint which asked each of them for rest.
func TestEachEntryGivesAnEndpointItsRest(t *testing.T) {
	f := newFleetOfEntries(t, 3, 3, nil)
	tired := f.workers[0]
	f.used(t, tired)
	tired.Rest("60")
	if got, want := f.quiet(t, tired, 40), len(f.entries); got > want {
		t.Errorf("got %d requests at an endpoint that rests, want one from each of %d entries at most", got, want)
	}
}

package onsite

import (
	"net/http"
	"sync"
	"testing"

	"comfreyrelay.example/platform/platformtest"
)

// quiet lets callers ask each entry at the same time, one request after the other, and returns how
// many requests the worker got. All of them must be served.
func (f *testFleet) sendFromEachEntry(t *testing.T, worker *platformtest.Worker, each int) int {
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
func TestEachEntryLearnsFromAnswerThatEndpointIsLeaving(t *testing.T) {
	f := newTestFleet(t, 3, 3, nil)
	leaving := f.workers[0]
	f.awaitUseByAllEntries(t, leaving)
	leaving.Leave()
	if got, want := f.sendFromEachEntry(t, leaving, 40), len(f.entries); got > want {
		t.Errorf("got %d requests at an endpoint that leaves, want one from each of %d entries at most", got, want)
	}
}

// Guards against entries that keep sending to an endpoint which asked each of them for rest.
func TestEntriesHonorRetryAfterOfEndpoint(t *testing.T) {
	f := newTestFleet(t, 3, 3, nil)
	resting := f.workers[0]
	f.awaitUseByAllEntries(t, resting)
	resting.Rest("60")
	if got, want := f.sendFromEachEntry(t, resting, 40), len(f.entries); got > want {
		t.Errorf("got %d requests at an endpoint that rests, want one from each of %d entries at most", got, want)
	}
}

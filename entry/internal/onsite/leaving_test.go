package onsite

import (
	"net/http"
	"sync"
	"testing"

	"comfreyrelay.example/platform/platformtest"
)

// sendFromEachEntry sends requests through all entries at the same time, in sequence at each
// entry, and returns how many of them the worker received. All requests must succeed.
func (f *testFleet) sendFromEachEntry(t *testing.T, worker *platformtest.Worker, perEntry int) int {
	t.Helper()
	before := len(worker.Arrivals())
	var callers sync.WaitGroup
	for _, to := range f.entries {
		callers.Go(func() {
			for range perEntry {
				if got := f.send(to, "body"); got != http.StatusOK {
					t.Errorf("got %d while two endpoints accept requests, want 200", got)
				}
			}
		})
	}
	callers.Wait()
	return len(worker.Arrivals()) - before
}

// Guards against entries that keep sending to a leaving endpoint until its registration says that
// it is leaving.
func TestEachEntryLearnsFromAnswerThatEndpointIsLeaving(t *testing.T) {
	f := newTestFleet(t, 3, 3, nil)
	leaving := f.workers[0]
	f.awaitUseByAllEntries(t, leaving)
	leaving.Leave()
	if got, want := f.sendFromEachEntry(t, leaving, 40), len(f.entries); got > want {
		t.Errorf("got %d requests at a leaving endpoint, want one from each of %d entries at most", got, want)
	}
}

// Guards against entries that keep sending to an endpoint that asked each of them to pause.
func TestEntriesHonorRetryAfterOfEndpoint(t *testing.T) {
	f := newTestFleet(t, 3, 3, nil)
	resting := f.workers[0]
	f.awaitUseByAllEntries(t, resting)
	resting.SetRetryAfter("60")
	if got, want := f.sendFromEachEntry(t, resting, 40), len(f.entries); got > want {
		t.Errorf("got %d requests at an endpoint that asked for a pause, want one from each of %d entries at most", got, want)
	}
}

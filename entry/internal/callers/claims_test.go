package callers

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"comfreyrelay.example/entry/internal/dispatch"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// publishHosts stores a new document and only the hosts of the reports in the
// entry's view.
func publishHosts(deployment *testDeployment, entry *testEntry, reports ...*wire.HostReport) {
	snapshot, _ := entry.view.Load()
	next := *snapshot
	next.Document = deployment.document()
	next.Hosts = nil
	for _, report := range reports {
		next.Hosts = append(next.Hosts, view.NewHost(report, deployment.clock.Now(), false, false))
	}
	entry.view.Store(&next)
}

// Guards against running one once key twice when a caller sends it through two
// entries at the same time, many times.
func TestConcurrentClaimsRunKeyOnce(t *testing.T) {
	deployment := newTestDeployment(t)
	agent := deployment.addAgent("h1", answer("ok"))
	entries := []*testEntry{deployment.addEntry("e1"), deployment.addEntry("e2")}
	deployment.publish()
	for round := range 20 {
		key := newOnceKey(entries[round%2])
		if round%3 == 0 {
			key = uuid.Must(uuid.NewV7()).String() // no owner: claimed in the platform's store
		}
		before := len(agent.recordedAttempts())
		var senders sync.WaitGroup
		for i := range 6 {
			senders.Go(func() {
				got := entries[i%2].request(t, map[string]any{"repeatable": false, "key": key})
				if got.answer.Outcome == dispatch.NotRun {
					t.Errorf("got notRun for a key that ran: %s", got.raw)
				}
			})
		}
		senders.Wait()
		if got := len(agent.recordedAttempts()) - before; got != 1 {
			t.Fatalf("round %d: got %d runs of one key, want 1", round, got)
		}
	}
}

// A key that is sent again gets the stored answer through any entry and does not
// run again; with another prompt it is refused as a conflict.
func TestResentKeyGetsTheStoredAnswer(t *testing.T) {
	deployment := newTestDeployment(t)
	agent := deployment.addAgent("h1", answer("a", "notice"))
	first, second := deployment.addEntry("e1"), deployment.addEntry("e2")
	deployment.publish()
	change := map[string]any{"repeatable": false, "key": newOnceKey(first)}
	sent := second.request(t, change)
	expect(t, sent, http.StatusOK, dispatch.Answered)
	for first.srv.InFlight()+second.srv.InFlight() > 0 {
		time.Sleep(time.Millisecond) // wait for the settlement in the background
	}
	again := first.request(t, change)
	expect(t, again, http.StatusOK, dispatch.Answered)
	if again.raw != sent.raw {
		t.Errorf("got %s, want %s", again.raw, sent.raw)
	}
	if got := len(agent.recordedAttempts()); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
	change["prompt"] = "another envelope"
	expect(t, first.request(t, change), http.StatusConflict, dispatch.NotRun)
}

// Guards against answering "notRun" for a request that ran: the owner of its key
// has restarted and lost its records when the caller sends the key again.
func TestKeyOfUnknownOwner(t *testing.T) {
	deployment := newTestDeployment(t)
	agent := deployment.addAgent("h1", answer("ok"))
	entry := deployment.addEntry("e1")
	deployment.publish()
	gone := uuid.Must(uuid.NewV7()).String() + "." + uuid.Must(uuid.NewV7()).String()
	got := entry.request(t, map[string]any{"repeatable": false, "key": gone})
	expect(t, got, http.StatusBadGateway, dispatch.Unknown)
	if got := len(agent.recordedAttempts()); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
}

// Guards against running a key again after an hour, when its owner has dropped the
// record to bound its memory. The key's age shows that it may have run before.
func TestKeyPastTheHorizon(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.addAgent("h1", answer("ok"))
	entry := deployment.addEntry("e1")
	deployment.publish()
	old := uuid.Must(uuid.NewV7())
	millis := time.Now().Add(-61 * time.Minute).UnixMilli()
	for i := range 6 {
		old[i] = byte(millis >> (40 - 8*i))
	}
	for _, key := range []string{entry.node.GetIncarnation() + "." + old.String(), old.String()} {
		got := entry.request(t, map[string]any{"repeatable": false, "key": key})
		expect(t, got, http.StatusBadGateway, dispatch.Unknown)
	}
}

// Guards against answering "notRun" for a request that ran: its key has no owner,
// and while the platform's store is down it can't be known whether it ran before.
func TestKeyWithoutOwnerWhileTheServiceIsDown(t *testing.T) {
	deployment := newTestDeployment(t)
	agent := deployment.addAgent("h1", answer("ok"))
	entry := deployment.addEntry("e1")
	deployment.publish()
	change := map[string]any{"repeatable": false, "key": uuid.Must(uuid.NewV7()).String()}
	expect(t, entry.request(t, change), http.StatusOK, dispatch.Answered)
	swap := deployment.store.Swap
	deployment.store.Swap = func(context.Context, string, []byte, uint64, string) (uint64, error) {
		return 0, failure.New(failure.Unavailable, "the store is down", "wait")
	}
	got := entry.request(t, change)
	expect(t, got, http.StatusBadGateway, dispatch.Unknown)
	deployment.store.Swap = swap
	expect(t, entry.request(t, change), http.StatusBadGateway, dispatch.Unknown)
	if got := len(agent.recordedAttempts()); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// Guards against answering unknown for a request that never ran: the swap that
// claims its key takes effect, but the reply is lost.
func TestSwapWhoseReplyIsLost(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.addAgent("h1", answer("ok"))
	entry := deployment.addEntry("e1")
	deployment.publish()
	swap := deployment.store.Swap
	lost := false
	deployment.store.Swap = func(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
		revision, err := swap(ctx, key, value, ifRevision, lease)
		if !lost {
			lost = true
			return 0, failure.New(failure.Ambiguous, "the reply was lost", "read it back")
		}
		return revision, err
	}
	got := entry.request(t, map[string]any{"repeatable": false, "key": uuid.Must(uuid.NewV7()).String()})
	expect(t, got, http.StatusOK, dispatch.Answered)
}

// Guards against answering "notRun" for a request that ran. The customer is over
// its limit when the key is sent again, so checking the limit before the key
// would refuse it.
func TestKeyThatRanIsNotRefusedAsNotRun(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.editCustomer = func(spec *wire.Customer) { spec.RequestsPerSecond = 1 }
	deployment.addAgent("h1", answer("ok"))
	entry := deployment.addEntry("e1")
	deployment.publish()
	change := map[string]any{"repeatable": false, "key": newOnceKey(entry)}
	expect(t, entry.request(t, change), http.StatusOK, dispatch.Answered)
	expect(t, entry.request(t, nil), http.StatusTooManyRequests, dispatch.NotRun)
	expect(t, entry.request(t, change), http.StatusOK, dispatch.Answered)
}

// Guards against every key of the last hour being answered unknown after a rolling
// restart. The entry that owns a key shuts down. The key is sent again, and a
// caller that doesn't know of the shutdown sends a new key with the same owner.
func TestKeysSurviveGracefulShutdown(t *testing.T) {
	deployment := newTestDeployment(t)
	agent := deployment.addAgent("h1", answer("ok"))
	entries := []*testEntry{deployment.addEntry("e1"), deployment.addEntry("e2"), deployment.addEntry("e3")}
	deployment.publish()
	owner := entries[0]
	ran := map[string]any{"repeatable": false, "key": newOnceKey(owner)}
	expect(t, entries[1].request(t, ran), http.StatusOK, dispatch.Answered)
	for owner.srv.InFlight()+entries[1].srv.InFlight() > 0 {
		time.Sleep(time.Millisecond) // wait for the settlement in the background
	}
	owner.srv.Drain(context.Background())
	for _, entry := range entries[1:] {
		expect(t, entry.request(t, ran), http.StatusBadGateway, dispatch.Unknown)
		fresh := map[string]any{"repeatable": false, "key": newOnceKey(owner)}
		expect(t, entry.request(t, fresh), http.StatusOK, dispatch.Answered)
	}
	if got, want := len(agent.recordedAttempts()), 3; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

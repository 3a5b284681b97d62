package kvservice

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/budget"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

// start returns the real client and the simulated service that it is connected to.
func start(t *testing.T, opts Options) (*kv.Store, *Service) {
	t.Helper()
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	service := New(opts)
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	limit := budget.New(budget.Options{
		Role: "test", ReadsPerSecond: 1e6, WritesPerSecond: 1e6,
		Clock: clockwork.NewRealClock(), Jitter: func() float64 { return 0 },
	})
	return kv.NewHTTP(server.URL, "tester", limit, &http.Client{Transport: &http.Transport{}}), service
}

func wantKind(t *testing.T, err error, want failure.Kind) {
	t.Helper()
	if err == nil || failure.KindOf(err) != want {
		t.Errorf("got %v, want kind %s", err, want)
	}
}

func swap(t *testing.T, store *kv.Store, key, value string, ifRevision uint64) uint64 {
	t.Helper()
	revision, err := store.Swap(t.Context(), key, []byte(value), ifRevision, "")
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func TestReadsAndWrites(t *testing.T) {
	store, service := start(t, Options{})
	first := swap(t, store, "document/root", "one", 0)
	_, err := store.Swap(t.Context(), "document/root", []byte("two"), 0, "")
	wantKind(t, err, failure.Conflict)
	second := swap(t, store, "document/root", "two", first)
	swap(t, store, "plan", "p", 0)
	listed, err := store.List(t.Context(), "document/")
	if err != nil || len(listed) != 1 || string(listed[0].Value()) != "two" || listed[0].Revision() != second {
		t.Errorf("got %v, %v, want the second value at %d", listed, err, second)
	}
	wantKind(t, store.Delete(t.Context(), "document/root", first), failure.Conflict)
	if err := store.Delete(t.Context(), "document/root", second); err != nil {
		t.Error(err)
	}
	if _, found, err := store.Get(t.Context(), "document/root"); found || err != nil {
		t.Errorf("got found %t, %v after the deletion, want none", found, err)
	}
	if got := service.Ledger(); got.Reads != 2 || got.Writes != 6 || got.Lines[0].Caller != "tester" {
		t.Errorf("got %d reads, %d writes of %s, want 2 and 6 of tester", got.Reads, got.Writes, got.Lines[0].Caller)
	}
}

// TestLostReply checks that the client reports a write as ambiguous if the write
// takes effect but the connection closes without a reply. A caller that takes it for
// failed would write twice.
func TestLostReply(t *testing.T) {
	store, service := start(t, Options{})
	service.Faults().Set(Faults{LoseReplies: 1})
	_, err := store.Swap(t.Context(), "a", []byte("v"), 0, "")
	wantKind(t, err, failure.Ambiguous)
	_, err = store.Grant(t.Context(), time.Second)
	wantKind(t, err, failure.Ambiguous)
	entry, found, err := store.Get(t.Context(), "a")
	if !found || err != nil || string(entry.Value()) != "v" {
		t.Errorf("got %q, %v, want the write in effect", entry.Value(), err)
	}
	service.Faults().Set(Faults{LoseRequests: 1})
	wantKind(t, store.Delete(t.Context(), "a", entry.Revision()), failure.Ambiguous)
	if _, found, _ := store.Get(t.Context(), "a"); !found {
		t.Error("got no key, want the lost request without effect")
	}
	if got := service.Ledger().Writes; got != 3 {
		t.Errorf("got %d writes at the service, want 3: none sent twice", got)
	}
}

// TestDownAndOverTheRate checks that refused calls have no effect and that the error
// says so.
func TestDownAndOverTheRate(t *testing.T) {
	store, service := start(t, Options{WritesPerSecond: 2, Clock: clockwork.NewFakeClock()})
	service.Faults().Set(Faults{Down: true})
	_, err := store.Swap(t.Context(), "a", nil, 0, "")
	wantKind(t, err, failure.Unavailable)
	service.Faults().Set(Faults{})
	swap(t, store, "a", "v", 0)
	_, err = store.Swap(t.Context(), "b", nil, 0, "")
	wantKind(t, err, failure.Unavailable)
	if _, found, err := store.Get(t.Context(), "b"); found || err != nil {
		t.Errorf("got found %t, %v after a refusal, want none", found, err)
	}
}

// TestWatchFaults drops a watch, compacts its history and silences it. The client
// must distinguish each from "no changes", or its caller would continue with an
// outdated document.
func TestWatchFaults(t *testing.T) {
	store, service := start(t, Options{})
	first := swap(t, store, "a", "1", 0)
	second := swap(t, store, "a", "2", first)
	changes, now, err := store.Watch(t.Context(), "a", first, time.Minute)
	if err != nil || len(changes) != 1 || string(changes[0].Value()) != "2" || now != second {
		t.Errorf("got %v up to %d, %v, want the second write", changes, now, err)
	}
	if _, now, err := store.Watch(t.Context(), "a", kv.Latest, 0); err != nil || now != second {
		t.Errorf("got latest %d, %v, want %d", now, err, second)
	}

	waiting := make(chan error, 1)
	go func() {
		_, _, err := store.Watch(t.Context(), "a", second, time.Minute)
		waiting <- err
	}()
	for dropped := false; !dropped; { // the watch may not have arrived yet
		service.Faults().Set(Faults{DropWatch: true})
		select {
		case err := <-waiting:
			wantKind(t, err, failure.Unavailable)
			dropped = true
		case <-time.After(10 * time.Millisecond):
		}
	}

	service.Faults().Set(Faults{Compact: true})
	_, _, err = store.Watch(t.Context(), "a", first, 0)
	wantKind(t, err, failure.Stale)

	service.Faults().Set(Faults{WatchSilent: true})
	swap(t, store, "a", "3", second)
	ctx, cancel := clockwork.WithTimeout(t.Context(), clockwork.NewRealClock(), 100*time.Millisecond)
	defer cancel()
	_, _, err = store.Watch(ctx, "a", second, 0)
	wantKind(t, err, failure.Unavailable)
}

// TestLeases checks that a key attached to a lease is deleted when the lease expires.
func TestLeases(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store, _ := start(t, Options{Clock: clock})
	lease, err := store.Grant(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Swap(t.Context(), "lease/x", []byte("me"), 0, lease); err != nil {
		t.Fatal(err)
	}
	clock.Advance(50 * time.Second)
	if err := store.KeepAlive(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	clock.Advance(50 * time.Second)
	if _, found, err := store.Get(t.Context(), "lease/x"); !found || err != nil {
		t.Errorf("got found %t, %v of a renewed lease, want its key", found, err)
	}
	clock.Advance(time.Minute)
	wantKind(t, store.KeepAlive(t.Context(), lease), failure.NotFound)
	if _, found, err := store.Get(t.Context(), "lease/x"); found || err != nil {
		t.Errorf("got found %t, %v of a lapsed lease, want none", found, err)
	}
}

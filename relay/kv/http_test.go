package kv

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/budget"
	"comfreyrelay.example/relay/failure"
)

// newTestStore returns a client with a large budget for the handler.
func newTestStore(t *testing.T, handler http.HandlerFunc) *Store {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newClient(server.URL)
}

func newClient(url string) *Store {
	limit := budget.New(budget.Options{
		Role: "test", ReadsPerSecond: 1e6, WritesPerSecond: 1e6,
		Clock: clockwork.NewRealClock(), Jitter: func() float64 { return 0 },
	})
	return NewHTTP(url, "test", limit, &http.Client{Transport: &http.Transport{}})
}

// TestSwapGoesOutOnce guards against a write that runs twice although its caller
// made it once. The service accepts the write on a reused connection and closes it
// without a reply; a transport that retries on its own would repeat the write.
func TestSwapGoesOutOnce(t *testing.T) {
	var writes atomic.Int32
	store := newTestStore(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the test checks only the count
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writes.Add(1)
		panic(http.ErrAbortHandler)
	})
	if _, _, err := store.Get(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	_, err := store.Swap(t.Context(), "a", []byte("v"), 0, "")
	if got := failure.KindOf(err); got != failure.Ambiguous {
		t.Errorf("got kind %s for a lost reply, want %s", got, failure.Ambiguous)
	}
	if got := writes.Load(); got != 1 {
		t.Errorf("got %d writes at the service, want 1", got)
	}
}

// TestRedirectIsNotFollowed guards against redirects, which would send a write a
// second time.
func TestRedirectIsNotFollowed(t *testing.T) {
	var writes atomic.Int32
	store := newTestStore(t, func(w http.ResponseWriter, r *http.Request) {
		writes.Add(1)
		http.Redirect(w, r, "/kv/b", http.StatusTemporaryRedirect)
	})
	if _, err := store.Swap(t.Context(), "a", nil, 0, ""); err == nil {
		t.Error("got no error for a redirect, want one")
	}
	if got := writes.Load(); got != 1 {
		t.Errorf("got %d writes at the service, want 1", got)
	}
}

// TestKinds checks the error kind for each status. The kind tells the caller whether
// the write may have taken effect.
func TestKinds(t *testing.T) {
	for status, want := range map[int]failure.Kind{
		http.StatusConflict:              failure.Conflict,
		http.StatusTooManyRequests:       failure.Unavailable,
		http.StatusServiceUnavailable:    failure.Unavailable,
		http.StatusInternalServerError:   failure.Ambiguous,
		http.StatusBadGateway:            failure.Ambiguous,
		http.StatusGatewayTimeout:        failure.Ambiguous,
		http.StatusRequestEntityTooLarge: failure.Invalid,
		http.StatusNotFound:              failure.NotFound, // the lease expired
	} {
		store := newTestStore(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		_, err := store.Swap(t.Context(), "a", nil, 0, "")
		if got := failure.KindOf(err); got != want {
			t.Errorf("status %d: got kind %s, want %s", status, got, want)
		}
	}
}

// TestUnreadableReply covers a reply that cannot be decoded although the service may
// have made the write.
func TestUnreadableReply(t *testing.T) {
	store := newTestStore(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) })
	_, err := store.Swap(t.Context(), "a", nil, 0, "")
	if got := failure.KindOf(err); got != failure.Ambiguous {
		t.Errorf("got kind %s for a truncated reply to a write, want %s", got, failure.Ambiguous)
	}
	_, _, err = store.Get(t.Context(), "a")
	if got := failure.KindOf(err); got != failure.Unavailable {
		t.Errorf("got kind %s for a truncated reply to a read, want %s", got, failure.Unavailable)
	}
}

// TestNeverSent checks that a write without a connection counts as having had no
// effect.
func TestNeverSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := newClient(server.URL).Swap(t.Context(), "a", nil, 0, "")
	if got := failure.KindOf(err); got != failure.Unavailable {
		t.Errorf("got kind %s without a connection, want %s", got, failure.Unavailable)
	}
}

// TestTimeOutIsAmbiguous checks that a write whose caller stops waiting counts as
// ambiguous, since it may still take effect.
func TestTimeOutIsAmbiguous(t *testing.T) {
	received := make(chan struct{})
	store := newTestStore(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // so that the server notices when the client disconnects
		close(received)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err := store.Swap(ctx, "a", []byte("v"), 0, "")
	if got := failure.KindOf(err); got != failure.Ambiguous {
		t.Errorf("got kind %s, want %s", got, failure.Ambiguous)
	}
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got cause %v, want %v", err, context.Canceled)
	}
}

// TestKeysWithOddCharacters checks that keys with reserved characters are escaped;
// otherwise the service would use another key.
func TestKeysWithOddCharacters(t *testing.T) {
	const key = "once/a b?c#d%2F//../e"
	var got string
	store := newTestStore(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.URL.Path
		w.WriteHeader(http.StatusNotFound)
	})
	if _, _, err := store.Get(t.Context(), key); err != nil {
		t.Fatal(err)
	}
	if want := "/kv/" + key; got != want {
		t.Errorf("got path %s, want %s", got, want)
	}
}

// TestMemoryLeases checks that the in-memory service deletes the keys of an expired
// lease and refuses to bind a key to it.
func TestMemoryLeases(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := NewMemoryService(clock)
	lease := service.Grant(time.Second)
	revision, err := service.Swap("a", []byte("v"), 0, lease)
	if err != nil || revision != 1 {
		t.Fatalf("got revision %d, %v, want 1", revision, err)
	}
	clock.Advance(time.Second)
	if _, found := service.Get("a"); found {
		t.Error("got a key of an expired lease, want none")
	}
	if got := failure.KindOf(service.KeepAlive(lease)); got != failure.NotFound {
		t.Errorf("got kind %s for an expired lease, want %s", got, failure.NotFound)
	}
	_, err = service.Swap("a", nil, 0, lease)
	if got := failure.KindOf(err); got != failure.NotFound {
		t.Errorf("got kind %s for a key bound to an expired lease, want %s", got, failure.NotFound)
	}
	changes, now, _, err := service.Changes("a", 0)
	if err != nil || now != 2 || len(changes) != 2 || !changes[1].Deleted() {
		t.Errorf("got changes %v up to %d, %v, want the write and the deletion", changes, now, err)
	}
	service.Compact()
	if _, _, _, err := service.Changes("a", 1); failure.KindOf(err) != failure.Stale {
		t.Errorf("got %v for a compacted revision, want kind %s", err, failure.Stale)
	}
	if _, now, err := service.Watch(t.Context(), "a", Latest, 0); err != nil || now != 2 {
		t.Errorf("got latest %d, %v, want 2", now, err)
	}
}

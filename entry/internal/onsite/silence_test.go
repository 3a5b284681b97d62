package onsite

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/site"
)

// Guards against requests that reach an endpoint long after its registration was removed, because
// entries take silent connections to the store for an outage in which registrations of live owners
// lapse.
func TestEndpointRemovedDuringSilenceGetsNoRequests(t *testing.T) {
	const entries = 6 // so many that some follow others in place of the store
	f := newTestFleet(t, 0, 3, nil)
	for number := range entries {
		cfg := f.settings(number)
		cfg.Node.LogLevel = "info"
		// No delay of this test's process can pass for an outage.
		cfg.Site.HeartbeatMillis = float64(time.Hour.Milliseconds())
		f.awaitReady(f.startAsync(cfg))
	}
	for _, to := range f.entries {
		eventually(t, "the entry is registered", func() error { return to.logged("msg=registered") })
	}
	removed := f.workers[0]
	f.awaitUseByAllEntries(t, removed)
	if f.conns.Silence() == 0 {
		t.Fatal("got no open connection to the store")
	}
	f.store.Remove("servers/i-0")
	for _, to := range f.entries {
		eventually(t, "the entry learned of the removal", func() error { return to.logged("key=servers/i-0", "gone=true") })
	}
	before := len(removed.Arrivals())
	for _, to := range f.entries {
		for range 40 {
			if got := f.send(to, "body"); got != http.StatusOK {
				t.Errorf("got %d while two endpoints accept requests, want 200", got)
			}
		}
	}
	if got := len(removed.Arrivals()) - before; got > 0 {
		t.Errorf("got %d requests at an endpoint that each entry knew to be removed, want none", got)
	}
}

// Guards against entries that wait for the time-out of a watch on a silent connection, although
// calls on other connections show that the store answers.
func TestCallOnSilentConnectionEndsOnceStoreAnswersOnNewOne(t *testing.T) {
	store := platformtest.NewStore()
	server := httptest.NewUnstartedServer(store)
	conns := platformtest.NewSilenceableListener(server.Listener)
	server.Listener = conns
	server.Start()
	t.Cleanup(server.Close)
	now := &atomic.Int64{}
	now.Store(int64(time.Minute))
	contact := site.NewContact(func() time.Duration { return time.Duration(now.Load()) })
	client := platform.NewStore(server.URL, newStoreClient(contact, slog.New(slog.DiscardHandler)))
	ctx := context.Background()
	lease, err := client.Grant(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	watched := make(chan error, 1)
	go func() {
		_, _, err := client.Watch(ctx, "", 0, time.Hour)
		watched <- err
	}()
	// The watch takes the connection of the grant, and the renewal opens another one.
	eventually(t, "the watch waits", func() error {
		if store.Calls("/kv-watch") == 0 {
			return errors.New("no call")
		}
		return nil
	})
	if err := client.KeepAlive(ctx, lease); err != nil {
		t.Fatal(err)
	}
	if got, want := conns.Silence(), 2; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
	renewal, giveUp := context.WithCancel(ctx)
	time.AfterFunc(50*time.Millisecond, func() {
		now.Add(int64(firstRenewTimeout))
		giveUp()
	})
	if err := client.KeepAlive(renewal, lease); err == nil {
		t.Error("got an answer on a silent connection, want none")
	}
	if err := client.KeepAlive(ctx, lease); err != nil {
		t.Errorf("got %v on a new connection, want an answer", err)
	}
	if err := <-watched; !errors.Is(err, site.ErrSilentConnection) {
		t.Errorf("got %v from the watch, want %v", err, site.ErrSilentConnection)
	}
}

// logged returns an error unless the entry logged a line that contains all the texts.
func (e *runningEntry) logged(texts ...string) error {
line:
	for line := range strings.Lines(e.log.String()) {
		for _, text := range texts {
			if !strings.Contains(line, text) {
				continue line
			}
		}
		return nil
	}
	return errors.New(fmt.Sprint("got no line with ", texts))
}

// Guards against requests that are refused throughout an outage, because the store's refusals pass for
// parts of its answers.
func TestRefusingStoreIsNotAvailable(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"as_of":1}`))
	}))
	defer server.Close()
	contact := site.NewContact(freshness.BootClock)
	client := newStoreClient(contact, slog.New(slog.DiscardHandler))
	for _, want := range []struct {
		status    int
		available bool
	}{{http.StatusServiceUnavailable, false}, {http.StatusTooManyRequests, false}, {http.StatusNotFound, true}, {http.StatusOK, true}} {
		status = want.status
		resp, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if got := contact.Available(); got != want.available {
			t.Errorf("got available %t after status %d, want %t", got, want.status, want.available)
		}
	}
}

package onsite

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/site"
)

// countFullReads counts the requests that read the entire store from now on.
func countFullReads(store *platformtest.Store) *atomic.Int64 {
	count := &atomic.Int64{}
	store.SetFault(func(r *http.Request) platformtest.Fault {
		query := r.URL.Query()
		if r.URL.Path == "/kv-range" && query.Get("path_prefix") == "" && query.Get("after") == "" {
			count.Add(1)
		}
		return platformtest.None
	})
	return count
}

// Guards against each starting entry of a region reading a large configuration over the same
// link.
func TestStartingEntryReadsFromOtherEntries(t *testing.T) {
	const running, newcomers = 6, 3
	f := newTestFleet(t, running, 1, nil)
	entries := map[string]site.Entry{}
	for i := range running {
		entries[fmt.Sprint("entry-", i)] = site.Entry{Region: "r", ControlAddress: "127.0.0.1:1"}
	}
	following := 0
	for i := range newcomers {
		id := fmt.Sprint("entry-", running+i)
		eventually(t, "all entries are registered", func() error {
			if got := len(f.store.Keys(platform.EntryPrefix)); got < running+i {
				return fmt.Errorf("%d of %d", got, running+i)
			}
			return nil
		})
		entries[id] = site.Entry{Region: "r", ControlAddress: "127.0.0.1:1"}
		readings := countFullReads(f.store)
		f.start()
		if len(site.Sources(id, "r", entries)) == 0 {
			continue
		}
		following++
		if got := readings.Load(); got > 0 {
			t.Errorf("got %d full reads of the store as %s starts, want none", got, id)
		}
	}
	if following == 0 {
		t.Fatalf("got no entry that follows others among %d new ones", newcomers)
	}
}

// Guards against an entry that waits for data from entries that are gone.
func TestEntryReadsStoreWhenSourcesAreGone(t *testing.T) {
	f := newTestFleet(t, 0, 1, nil)
	entries := map[string]site.Entry{"entry-0": {Region: "r", ControlAddress: "127.0.0.1:1"}}
	for i := range 12 {
		entries[fmt.Sprint("former-", i)] = entries["entry-0"]
		f.store.Put(platform.EntryKey(fmt.Sprint("former-", i)), site.Entry{
			CallersAddress: "127.0.0.1:1", Region: "r", FailureDomain: "d1", ControlAddress: "127.0.0.1:1",
		})
	}
	if len(site.Sources("entry-0", "r", entries)) == 0 {
		t.Fatalf("got an entry without sources, want an ID that has some")
	}
	readings := countFullReads(f.store)
	f.start()
	if got := readings.Load(); got == 0 {
		t.Errorf("got a ready entry without a full read of the store")
	}
}

package onsite

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/site"
)

// crashFingerprint is the fingerprint of a request that crashed endpoints.
var crashFingerprint = quarantine.NewFingerprint("customer", "POST", "host", "/deadly", nil)

func oneEntry() int { return 1 }

func newTestReporter(t *testing.T) (*reporter, *platformtest.Store) {
	t.Helper()
	kvStore := platformtest.NewStore()
	server := httptest.NewServer(kvStore)
	t.Cleanup(server.Close)
	rep := newReporter(platform.NewStore(server.URL, newStoreClient(site.NewContact(freshness.BootClock), slog.New(slog.DiscardHandler))), platform.ReportPrefix("entry-1", "one"), oneEntry,
		clockwork.NewRealClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		rep.run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return rep, kvStore
}

// requestHeld returns nil if an entry that starts now reads from the store that the request is
// quarantined.
func requestHeld(store *kv.Store) error {
	entries, err := store.List(context.Background(), "")
	if err != nil {
		return err
	}
	state := site.NewState(time.Now, fleet.New(time.Now), freshness.NewTracker(func() time.Duration { return 0 }))
	mirror := site.NewMirror(state, platform.DecodeRecord, clockwork.NewRealClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	mirror.Reset(entries, 1, true)
	if _, held := state.Ledger().Held(crashFingerprint); !held {
		return fmt.Errorf("%d keys, request not quarantined", len(entries))
	}
	return nil
}

func endReport(number int) site.Report {
	return site.Report{Report: quarantine.Report{
		End: quarantine.End{Endpoint: fmt.Sprintf("i-%d", number)}, Suspects: []quarantine.Fingerprint{crashFingerprint},
	}}
}

// An entry that starts later learns what others observed even if single calls failed: responses
// were lost or the store was unavailable. TestReportsAreWrittenAfterALeaseEnded covers a lease
// that expired in an outage.
func TestReportsReachEntriesThatStartLater(t *testing.T) {
	for name, fault := range map[string]func(call int) platformtest.Fault{
		"sound": func(int) platformtest.Fault { return platformtest.None },
		"lost": func(call int) platformtest.Fault {
			if call <= 2 {
				return platformtest.Lost
			}
			return platformtest.None
		},
		"away": func(call int) platformtest.Fault {
			if call <= 3 {
				return platformtest.Busy
			}
			return platformtest.None
		},
	} {
		t.Run(name, func(t *testing.T) {
			rep, standIn := newTestReporter(t)
			calls := 0
			standIn.SetFault(func(r *http.Request) platformtest.Fault {
				if r.Method != http.MethodPost {
					return platformtest.None
				}
				calls++
				return fault(calls)
			})
			for i := range 3 {
				rep.publish(endReport(i))
			}
			eventually(t, "request quarantined at a starting entry", func() error { return requestHeld(rep.store) })
		})
	}
}

func TestReportsAreWrittenAfterALeaseEnded(t *testing.T) {
	rep, standIn := newTestReporter(t)
	rep.publish(site.Report{Report: quarantine.Report{End: quarantine.End{Endpoint: "i-9"}}})
	eventually(t, "the first report", func() error {
		if len(standIn.Keys("comfrey/ends/")) == 0 {
			return fmt.Errorf("no key")
		}
		return nil
	})
	standIn.EndLeases()
	for i := range 3 {
		rep.publish(endReport(i))
	}
	eventually(t, "request quarantined at a starting entry", func() error { return requestHeld(rep.store) })
}

// Guards against a queue of reports that grows without limit while an entry cannot reach the
// store.
func TestReportQueueIsBounded(t *testing.T) {
	rep := newReporter(nil, "p/", oneEntry, clockwork.NewFakeClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i := range 3 * maxQueued {
		rep.publish(endReport(i))
	}
	if got := len(rep.queue); got != maxQueued {
		t.Errorf("got %d queued reports, want %d", got, maxQueued)
	}
	if got, want := rep.queue[maxQueued-1].End.Endpoint, fmt.Sprintf("i-%d", 3*maxQueued-1); got != want {
		t.Errorf("got %s as the latest report, want %s", got, want)
	}
	written := 0
	for batch := rep.nextBatch(); len(batch) > 0; batch = rep.nextBatch() {
		written += len(batch)
	}
	if written != maxQueued {
		t.Errorf("got %d reports in batches, want %d", written, maxQueued)
	}
}

// Guards against reports that fill the store when many endpoints crash: an entry reads all of
// them at startup, over a link that it shares with all other traffic.
func TestStoredReportsAreBounded(t *testing.T) {
	const entries, total = 98, 4000
	standIn := platformtest.NewStore()
	server := httptest.NewServer(standIn)
	t.Cleanup(server.Close)
	clock := clockwork.NewFakeClock()
	rep := newReporter(platform.NewStore(server.URL, newStoreClient(site.NewContact(freshness.BootClock), slog.New(slog.DiscardHandler))), platform.ReportPrefix("entry-1", "one"),
		func() int { return entries }, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for sent := 0; sent < total; {
		for range 3 {
			rep.publish(endReport(sent))
			sent++
		}
		rep.writeBatch(t.Context(), rep.nextBatch())
		rep.prune(t.Context())
		clock.Advance(time.Second / maxWritesPerSecond)
	}
	// Keys younger than minKeyAge are not removed, so that they reach entries that follow others.
	limit := max(maxBatchReports, maxStoredReports/entries) + 3*maxWritesPerSecond*int(minKeyAge/time.Second)
	reports := 0
	for _, stored := range rep.storedKeys {
		reports += stored.reports
	}
	if got := len(standIn.Keys("comfrey/ends/")); reports > limit || got != len(rep.storedKeys) {
		t.Errorf("got %d reports in %d keys, want %d at most in %d keys", reports, got, limit, len(rep.storedKeys))
	}
	clock.Advance(minKeyAge)
	rep.prune(t.Context())
	if got, want := len(standIn.Keys("comfrey/ends/")), maxBatchReports; got > want {
		t.Errorf("got %d keys after the flood, want %d at most", got, want)
	}
	if err := requestHeld(rep.store); err != nil {
		t.Errorf("got %v at a starting entry, want the latest reports", err)
	}
}

// BenchmarkStartWithReports measures the startup of an entry when 98 entries store the maximum
// number of reports, with twelve requests each.
func BenchmarkStartWithReports(b *testing.B) {
	const entries, requests = 98, 12
	var stored []kv.Entry
	size := 0
	for entry := range entries {
		var batch []site.Report
		for i := range maxBatchReports {
			report := site.Report{Report: quarantine.Report{End: quarantine.End{Endpoint: fmt.Sprintf("i-%d", i), Born: 1796287200000}}}
			for j := range requests {
				report.Suspects = append(report.Suspects, quarantine.NewFingerprint("customer", "POST", "host", fmt.Sprint(entry, i, j), nil))
			}
			batch = append(batch, report)
		}
		value, err := json.Marshal(batch)
		if err != nil {
			b.Fatal(err)
		}
		size += len(value)
		stored = append(stored, kv.NewEntry(platform.ReportPrefix(fmt.Sprint("entry-", entry), "one")+"1", value, uint64(entry+1), false))
	}
	for b.Loop() {
		state := site.NewState(time.Now, fleet.New(time.Now), freshness.NewTracker(func() time.Duration { return 0 }))
		mirror := site.NewMirror(state, platform.DecodeRecord, clockwork.NewRealClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		mirror.Reset(stored, entries, true)
	}
	b.ReportMetric(float64(size), "bytes")
}

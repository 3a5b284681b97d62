package onsite

import (
	"context"
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

// deadlyPrint is the fingerprint of a request under which endpoints ended.
var deadlyPrint = quarantine.Of("customer", "POST", "host", "/deadly", nil)

func newTestReporter(t *testing.T) (*reporter, *platformtest.Store) {
	t.Helper()
	standIn := platformtest.NewStore()
	server := httptest.NewServer(standIn)
	t.Cleanup(server.Close)
	rep := newReporter(platform.NewStore(server.URL, storeClient()), platform.ReportPrefix("entry-1", "one"),
		clockwork.NewRealClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		rep.run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return rep, standIn
}

// learned reports whether an entry that starts now learns from the store that the request is
// held.
func learned(store *kv.Store) error {
	entries, err := store.List(context.Background(), "")
	if err != nil {
		return err
	}
	state := site.NewState(time.Now, fleet.New(time.Now), freshness.NewTracker(func() time.Duration { return 0 }))
	mirror := site.NewMirror(state, platform.DecodeRecord, clockwork.NewRealClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	mirror.Reset(entries, 1)
	if _, held := state.Ledger().Held(deadlyPrint); !held {
		return fmt.Errorf("%d keys, not held", len(entries))
	}
	return nil
}

func endReport(number int) site.Report {
	return site.Report{Report: quarantine.Report{
		End: quarantine.End{Endpoint: fmt.Sprintf("i-%d", number)}, Suspects: []quarantine.Fingerprint{deadlyPrint},
	}}
}

// An entry that starts later learns what others saw, whatever became of single calls: answers
// that were lost, a store that was away, a lease that ended in an outage.
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
				rep.tell(endReport(i))
			}
			eventually(t, "held at an entry that starts", func() error { return learned(rep.store) })
		})
	}
}

func TestReportsAreWrittenAfterALeaseEnded(t *testing.T) {
	rep, standIn := newTestReporter(t)
	rep.tell(site.Report{Report: quarantine.Report{End: quarantine.End{Endpoint: "i-9"}}})
	eventually(t, "the first report", func() error {
		if len(standIn.Keys("comfrey/ends/")) == 0 {
			return fmt.Errorf("no key")
		}
		return nil
	})
	standIn.EndLeases()
	for i := range 3 {
		rep.tell(endReport(i))
	}
	eventually(t, "held at an entry that starts", func() error { return learned(rep.store) })
}

// Symptom: an entry that the store can't be reached by grows. Cause: what it has to tell waits
// without a bound.
func TestReportsThatWaitAreBounded(t *testing.T) {
	rep := newReporter(nil, "p/", clockwork.NewFakeClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i := range 3 * maxUntold {
		rep.tell(endReport(i))
	}
	if got := len(rep.waiting); got != maxUntold {
		t.Errorf("got %d reports that wait, want %d", got, maxUntold)
	}
	if got, want := rep.waiting[maxUntold-1].End.Endpoint, fmt.Sprintf("i-%d", 3*maxUntold-1); got != want {
		t.Errorf("got %s as the newest, want %s", got, want)
	}
	written := 0
	for batch := rep.next(); len(batch) > 0; batch = rep.next() {
		written += len(batch)
	}
	if written != maxUntold {
		t.Errorf("got %d reports in batches, want %d", written, maxUntold)
	}
}

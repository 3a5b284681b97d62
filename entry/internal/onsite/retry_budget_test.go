package onsite

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/wire"
)

// retryWindow is the window of the retry budget in these tests.
const retryWindow = 2 * time.Second

// refusingFleet is a fleet whose endpoints refuse all requests.
type refusingFleet struct {
	*testFleet

	mu     sync.Mutex
	bodies []string    // of the requests that callers sent
	sentAt []time.Time // when they sent them, in order
}

func newRefusingFleet(t *testing.T, entries int) *refusingFleet {
	t.Helper()
	f := &refusingFleet{testFleet: newTestFleet(t, 0, 12, nil)}
	f.bounds = &wire.SiteBounds{GraceMillis: 8000, RetryWindowSeconds: retryWindow.Seconds()}
	for range entries {
		f.start()
	}
	for _, worker := range f.workers {
		worker.SetRetryAfter("0")
	}
	return f
}

// restartAll stops all entries and starts them again with the same settings.
func (f *refusingFleet) restartAll() {
	f.t.Helper()
	stopped := f.entries
	f.entries = nil
	for _, entry := range stopped {
		entry.stop()
		f.awaitReady(f.startAsync(entry.cfg))
	}
}

// sendToAll sends a request through each entry at the same time.
func (f *refusingFleet) sendToAll() {
	f.t.Helper()
	var callers sync.WaitGroup
	for _, to := range f.entries {
		body := f.nextBody()
		callers.Go(func() {
			if got := f.send(to, body); got == http.StatusOK {
				f.t.Errorf("got %d while all endpoints refuse, want a refusal", got)
			}
		})
	}
	callers.Wait()
}

// nextBody returns the body of a new request and records that it is sent now.
func (f *refusingFleet) nextBody() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	body := fmt.Sprint("body-", len(f.bodies))
	f.bodies = append(f.bodies, body)
	f.sentAt = append(f.sentAt, time.Now())
	return body
}

// checkRetryBudget checks the arrivals after the first of each request. In any window, they are
// limited by the requests sent in that window, the one before, or the one half a window before,
// whichever has most.
func (f *refusingFleet) checkRetryBudget() {
	f.t.Helper()
	var repeats []time.Time
	for _, body := range f.bodies {
		var arrivals []time.Time
		for _, worker := range f.workers {
			arrivals = append(arrivals, worker.ArrivalsOf(body)...)
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		repeats = append(repeats, arrivals[min(1, len(arrivals)):]...)
	}
	slices.SortFunc(repeats, time.Time.Compare)
	for _, end := range repeats {
		requests := 0
		for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, countUpTo(f.sentAt, end.Add(-back)))
		}
		want := defaultRatio*float64(requests) + defaultSlack
		if got := countUpTo(repeats, end); float64(got) > want {
			f.t.Fatalf("got %d repeats in %v beside %d requests, want %.1f at most", got, retryWindow, requests, want)
		}
	}
}

// countUpTo returns how many of the times lie in the window that ends at end.
func countUpTo(times []time.Time, end time.Time) int {
	count := 0
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-retryWindow)) {
			count++
		}
	}
	return count
}

// Guards against entries that are restarted again and again while endpoints refuse requests, and
// each time get the whole share of the retry budget that they had used up before.
func TestRestartedEntriesKeepToTheRetryBudget(t *testing.T) {
	f := newRefusingFleet(t, 3)
	for range 6 {
		f.sendToAll()
		f.sendToAll()
		f.restartAll()
	}
	f.checkRetryBudget()
}

// Guards against entries whose registrations lapse while the store refuses their writes: each takes
// itself for the only one and uses the whole constant part of the retry budget.
func TestEntriesWithoutRegistrationsKeepToTheRetryBudget(t *testing.T) {
	const entries, interval = 9, 400 * time.Millisecond
	f := newRefusingFleet(t, entries)
	f.awaitListed(entries)
	f.store.SetFault(func(r *http.Request) platformtest.Fault {
		if r.Method == http.MethodPost {
			return platformtest.Busy
		}
		return platformtest.None
	})
	f.store.EndLeases()
	f.awaitListed(1)
	time.Sleep(retryWindow)
	for range 2 * retryWindow / interval {
		f.sendToAll()
		time.Sleep(interval)
	}
	f.checkRetryBudget()
}

// awaitListed waits until each entry directs callers to the given number of entries.
func (f *refusingFleet) awaitListed(want int) {
	f.t.Helper()
	for _, entry := range f.entries {
		eventually(f.t, fmt.Sprint("entries listed: ", want), func() error {
			if got := f.listedEntries(entry); got != want {
				return fmt.Errorf("%d are listed", got)
			}
			return nil
		})
	}
}

// listedEntries returns the number of entries to which an entry directs callers.
func (f *refusingFleet) listedEntries(entry *runningEntry) int {
	f.t.Helper()
	resp, err := http.Get("http://" + entry.cfg.GetSite().GetDirectoryAddress() + "/resolve?name=a.example&region=r&zone=d1")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer := struct{ Addresses []string }{}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		f.t.Fatal(err)
	}
	return len(answer.Addresses)
}

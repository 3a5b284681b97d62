package onsite

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"comfreyrelay.example/platform/platformtest"
)

// The platform's limits for requests to an endpoint that announced a rate limit.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGracePeriod is the time after the first announcement of a limit before the limit is
	// enforced.
	limitGracePeriod = 3 * time.Second
)

// maxInWindow returns the maximum number of times within any window, ignoring times before after.
func maxInWindow(times []time.Time, after time.Time, window time.Duration) int {
	largest, first := 0, 0
	for last, at := range times {
		for times[first].Before(after) && first < last || at.Sub(times[first]) > window {
			first++
		}
		if !at.Before(after) {
			largest = max(largest, last-first+1)
		}
	}
	return largest
}

// awaitUseByAllEntries sends requests through all entries until the endpoint has received one
// from each.
func (f *testFleet) awaitUseByAllEntries(t *testing.T, worker *platformtest.Worker) {
	t.Helper()
	eventually(t, "each entry uses the endpoint", func() error {
		var idle []string
		for _, to := range f.entries {
			body := "from " + to.cfg.GetNode().GetId()
			f.send(to, body)
			if worker.RequestCount(body) == 0 {
				idle = append(idle, body)
			}
		}
		if len(idle) > 0 {
			return fmt.Errorf("no request %v", idle)
		}
		return nil
	})
}

// Guards against entries that together exceed the rate limit that an endpoint announces for all
// of them, and against entries that still avoid the endpoint after it lifted the limit.
func TestRateLimitOfAnEndpointHoldsForAllEntries(t *testing.T) {
	const perSecond = 1
	f := newTestFleet(t, 9, 3, nil)
	limited := f.workers[0]
	limited.SetRateLimit("1")
	startedAt := time.Now()
	var callers sync.WaitGroup
	for _, to := range f.entries {
		callers.Go(func() {
			for time.Since(startedAt) < limitGracePeriod+limitWindow+time.Second {
				if got := f.send(to, "body"); got != http.StatusOK {
					t.Errorf("got %d while two endpoints have no limit, want 200", got)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	arrivals := limited.Arrivals()
	allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
	if got := maxInWindow(arrivals, startedAt.Add(limitGracePeriod), limitWindow); got > allowed {
		t.Errorf("got %d requests in %v at an endpoint that accepts %d a second, want %d at most", got, limitWindow, perSecond, allowed)
	}
	limited.SetRateLimit("")
	f.awaitUseByAllEntries(t, limited)
	if last := arrivals[len(arrivals)-1]; last.Before(startedAt.Add(limitGracePeriod)) {
		t.Errorf("got no request after %v at a rate-limited endpoint, want requests up to its limit", last.Sub(startedAt))
	}
}

package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets of a Window's counters.
const windowBuckets = 10

// Window limits, over a sliding window, how often requests are sent again. The limit is
// this process's share of a limit for all processes: a ratio of the requests that this
// process received plus its share of a constant. It is safe for concurrent use.
type Window struct {
	span time.Duration

	mu       sync.Mutex
	newest   time.Time // start of the newest bucket
	requests [windowBuckets]int
	repeats  [windowBuckets]int
}

// NewWindow returns an empty Window of the given length.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// AddRequest counts a new request.
func (w *Window) AddRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[0]++
}

// AllowRepeat reports whether a request may be sent once more, and counts the repeat if so. It also
// returns how many repeats were left before. ratio is the number of repeats allowed per request, and
// slack is added to the total.
func (w *Window) AllowRepeat(now time.Time, ratio, slack float64) (allowed bool, left float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, repeats := 0, 0
	for i := range windowBuckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	left = ratio*float64(requests) + slack - float64(repeats)
	if left < 1 {
		return false, left
	}
	w.repeats[0]++
	return true, left
}

// advance drops the buckets that have left the window and starts new ones.
func (w *Window) advance(now time.Time) {
	bucketSpan := w.span / windowBuckets
	if w.newest.IsZero() || now.Sub(w.newest) >= w.span {
		w.newest = now
		clear(w.requests[:])
		clear(w.repeats[:])
		return
	}
	for now.Sub(w.newest) >= bucketSpan {
		w.newest = w.newest.Add(bucketSpan)
		copy(w.requests[1:], w.requests[:windowBuckets-1])
		copy(w.repeats[1:], w.repeats[:windowBuckets-1])
		w.requests[0], w.repeats[0] = 0, 0
	}
}

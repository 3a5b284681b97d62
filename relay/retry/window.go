package retry

import (
	"sync"
	"time"
)

// windowParts is the buckets that a Window keeps its counts in.
const windowBuckets = 10

// Window bounds the sends beyond the first of each request over a sliding
// window, as this process's part of a bound for all: a ratio of the requests
// that this process took, and its part of a constant. It is safe for concurrent
// use.
type Window struct {
	span time.Duration

	mu       sync.Mutex
	newest   time.Time // start of the newest bucket
	requests [windowBuckets]int
	repeats  [windowBuckets]int
}

// NewWindow returns an empty Window.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Request counts a new request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[0]++
}

// Repeat counts one more send of a request and reports whether it may go out.
func (w *Window) Repeat(now time.Time, ratio, slack float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, repeats := 0, 0
	for i := range windowBuckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if float64(repeats+1) > ratio*float64(requests)+slack {
		return false
	}
	w.repeats[0]++
	return true
}

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

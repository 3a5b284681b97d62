package callers

import "sync"

// requestTracker counts the requests in progress and signals when a drain is
// complete.
type requestTracker struct {
	mu       sync.Mutex
	active   int // requests in progress and their background work
	draining bool
	idle     chan struct{} // closed once draining is set and active is 0
}

func newRequestTracker() *requestTracker { return &requestTracker{idle: make(chan struct{})} }

// add counts a request. accepting is false during a drain, and the caller must
// then refuse the request. It is counted nevertheless, so that the drain waits
// until the refusal is sent.
func (t *requestTracker) add() (accepting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
	return !t.draining
}

// done ends the count of one request; call it once for each add.
func (t *requestTracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.closeIfIdle()
}

// drain stops accepting requests. The returned channel is closed when no request
// is in progress.
func (t *requestTracker) drain() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.closeIfIdle()
	return t.idle
}

// closeIfIdle closes idle once the drain is complete. The caller holds mu.
func (t *requestTracker) closeIfIdle() {
	if !t.draining || t.active > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}

// inFlight returns the number of requests in progress.
func (t *requestTracker) inFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// accepting reports whether new requests are accepted.
func (t *requestTracker) accepting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.draining
}

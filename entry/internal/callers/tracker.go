package callers

import "sync"

// door counts the requests in progress and closes for a drain.
type requestTracker struct {
	mu       sync.Mutex
	active   int // requests inside, and work left behind by them
	draining bool
	idle     chan struct{} // closed when the door is and count is 0
}

func newRequestTracker() *requestTracker { return &requestTracker{idle: make(chan struct{})} }

// enter counts a request; open is false after close, and the request is then
// to be refused, but counted all the same: its refusal is not cut off either.
func (t *requestTracker) add() (accepting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
	return !t.draining
}

func (t *requestTracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.closeIfIdle()
}

// close refuses new requests; the channel closes when the last has left.
func (t *requestTracker) drain() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.closeIfIdle()
	return t.idle
}

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

func (t *requestTracker) inFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

func (t *requestTracker) accepting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.draining
}

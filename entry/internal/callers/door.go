package callers

import "sync"

// door counts the requests in progress and closes for a drain.
type door struct {
	mu     sync.Mutex
	count  int // requests inside, and work left behind by them
	closed bool
	idle   chan struct{} // closed when the door is and count is 0
}

func newDoor() *door { return &door{idle: make(chan struct{})} }

// enter counts a request; open is false after close, and the request is then
// to be refused, but counted all the same: its refusal is not cut off either.
func (d *door) enter() (open bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count++
	return !d.closed
}

func (d *door) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count--
	d.signal()
}

// close refuses new requests; the channel closes when the last has left.
func (d *door) close() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.signal()
	return d.idle
}

func (d *door) signal() {
	if !d.closed || d.count > 0 {
		return
	}
	select {
	case <-d.idle:
	default:
		close(d.idle)
	}
}

func (d *door) inside() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

func (d *door) isOpen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.closed
}

package engine

import (
	"container/heap"
)

// slots admits requests to the batch: so many run at once, the others wait in
// a bounded queue, larger priorities first, then by arrival. The engine's lock
// guards it.
type slots struct {
	size     int
	maxQueue int
	running  int // never above size
	arrivals uint64
	queue    waiters
}

// waiter is one request that waits for a slot.
type waiter struct {
	priority uint32
	arrival  uint64
	granted  chan struct{} // closed when the slot is the waiter's
	index    int           // in the heap; -1 once out of it
}

// enter takes a slot or a place in the queue; false means that both are full.
func (s *slots) enter(priority uint32) (*waiter, bool) {
	s.arrivals++
	entrant := &waiter{priority: priority, arrival: s.arrivals, granted: make(chan struct{}), index: -1}
	if s.running < s.size {
		s.running++
		close(entrant.granted)
		return entrant, true
	}
	if len(s.queue) >= s.maxQueue {
		return nil, false
	}
	heap.Push(&s.queue, entrant)
	return entrant, true
}

// leave gives up a place in the queue or a slot.
func (s *slots) leave(leaver *waiter) {
	if leaver.index >= 0 {
		heap.Remove(&s.queue, leaver.index)
		return
	}
	s.running--
	if len(s.queue) == 0 {
		return
	}
	next := heap.Pop(&s.queue).(*waiter)
	s.running++
	close(next.granted)
}

// waiters is the heap of a queue.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push is called by package heap.
func (w *waiters) Push(x any) {
	entrant := x.(*waiter)
	entrant.index = len(*w)
	*w = append(*w, entrant)
}

// Pop is called by package heap.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	entrant := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	entrant.index = -1
	return entrant
}

package engine

import (
	"container/heap"
)

// slots admits requests to the batch: up to size requests run concurrently, the
// others wait in a bounded queue, ordered by descending priority and then by
// arrival. Engine.mu guards it.
type slots struct {
	size     int
	maxQueue int
	running  int // never above size
	arrivals uint64
	queue    waiters
}

// waiter is a request that waits for a slot or holds one.
type waiter struct {
	priority uint32
	arrival  uint64
	granted  chan struct{} // closed when the waiter gets its slot
	index    int           // index in the heap; -1 when not queued
}

// enter takes a slot or joins the queue; it returns false if both are full.
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

// leave removes a waiter from the queue, or frees its slot for the next one.
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

// waiters implements heap.Interface.
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

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	entrant := x.(*waiter)
	entrant.index = len(*w)
	*w = append(*w, entrant)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	entrant := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	entrant.index = -1
	return entrant
}

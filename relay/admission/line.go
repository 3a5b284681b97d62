package admission

import (
	"cmp"
	"slices"
)

// Line is the queue of requests that wait for an endpoint of one service: the most urgent first, and among
// equals the newest. When not all of them can be served in their callers' time, the order decides only whose
// time is spent on waiting: with the oldest first, every request would be served when its caller had almost
// given up. Only the head looks for an endpoint; the others wait for it to leave. It does no I/O and reads
// no clock, and it is not safe for concurrent use.
type Line struct{ waiting []*Request }

// Enter adds a request.
func (l *Line) Enter(req *Request) {
	i, _ := slices.BinarySearchFunc(l.waiting, req, func(other, added *Request) int {
		if compareTurn(other, added) < 0 {
			return -1
		}
		return 1
	})
	l.waiting = slices.Insert(l.waiting, i, req)
}

// Leave removes a request. It does nothing if the request is not in the line.
func (l *Line) Leave(req *Request) {
	if i := slices.Index(l.waiting, req); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

// Head returns the first request, or nil if the line is empty.
func (l *Line) Head() *Request {
	if len(l.waiting) == 0 {
		return nil
	}
	return l.waiting[0]
}

// Last returns the last request, or nil if the line is empty.
func (l *Line) Last() *Request {
	if len(l.waiting) == 0 {
		return nil
	}
	return l.waiting[len(l.waiting)-1]
}

// Ahead returns the number of requests that go before req, whether it is in the line or not.
func (l *Line) Ahead(req *Request) int {
	if i := slices.Index(l.waiting, req); i >= 0 {
		return i
	}
	ahead := 0
	for _, other := range l.waiting {
		if compareTurn(other, req) < 0 {
			ahead++
		}
	}
	return ahead
}

// Len returns the number of waiting requests.
func (l *Line) Len() int { return len(l.waiting) }

// compareTurn is negative if left goes before right: answers in progress go before all others, since
// their callers see a pause.
func compareTurn(left, right *Request) int {
	if left.Started != right.Started {
		if left.Started {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(left.urgency(), right.urgency()), right.Arrived.Compare(left.Arrived))
}

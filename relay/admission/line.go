package admission

import (
	"slices"
	"time"
)

// Line is the queue of requests that wait for an endpoint of one service: the most
// urgent first, and among equals in order of arrival. Only the head looks for an
// endpoint; the others wait for it to leave. It does no I/O and reads no clock, and it
// is not safe for concurrent use.
type Line struct {
	waiting []*Request
	// nextLate is when the next request becomes late and moves behind the others; zero
	// if none will.
	nextLate time.Time
}

// Enter adds a request.
func (l *Line) Enter(now time.Time, req *Request) {
	l.moveLateBack(now)
	i := len(l.waiting)
	for i > 0 && goesFirst(now, req, l.waiting[i-1]) {
		i--
	}
	l.waiting = slices.Insert(l.waiting, i, req)
	l.nextLate = earliest(l.nextLate, req.becomesLate(now))
}

// Leave removes a request. It does nothing if the request is not in the line.
func (l *Line) Leave(req *Request) {
	if i := slices.Index(l.waiting, req); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

// Head returns the first request, or nil if the line is empty.
func (l *Line) Head(now time.Time) *Request {
	l.moveLateBack(now)
	if len(l.waiting) == 0 {
		return nil
	}
	return l.waiting[0]
}

// Ahead returns the number of requests before req, or the length of the line if req
// is not in it.
func (l *Line) Ahead(now time.Time, req *Request) int {
	l.moveLateBack(now)
	if i := slices.Index(l.waiting, req); i >= 0 {
		return i
	}
	return len(l.waiting)
}

// Len returns the number of waiting requests.
func (l *Line) Len() int { return len(l.waiting) }

// NextChange returns when the head may change without any request entering or
// leaving, or zero if it will not.
func (l *Line) NextChange() time.Time { return l.nextLate }

// moveLateBack moves requests that have become late behind the others.
func (l *Line) moveLateBack(now time.Time) {
	if l.nextLate.IsZero() || now.Before(l.nextLate) {
		return
	}
	slices.SortStableFunc(l.waiting, func(left, right *Request) int {
		switch {
		case goesFirst(now, left, right):
			return -1
		case goesFirst(now, right, left):
			return 1
		}
		return 0
	})
	l.nextLate = time.Time{}
	for _, req := range l.waiting {
		l.nextLate = earliest(l.nextLate, req.becomesLate(now))
	}
}

// goesFirst reports whether left goes before right: started requests go before all
// others, and requests that can be in time before late ones.
func goesFirst(now time.Time, left, right *Request) bool {
	if left.Started != right.Started {
		return left.Started
	}
	if late := left.Late(now); late != right.Late(now) {
		return !late
	}
	if left.urgency() != right.urgency() {
		return left.urgency() < right.urgency()
	}
	return left.Arrived.Before(right.Arrived)
}

// earliest returns the earlier of two times, ignoring zero times.
func earliest(left, right time.Time) time.Time {
	if left.IsZero() || !right.IsZero() && right.Before(left) {
		return right
	}
	return left
}

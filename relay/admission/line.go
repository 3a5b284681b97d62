package admission

import (
	"slices"
	"time"
)

// Line is those who wait for a place at one service: the most urgent first, among
// equals who came first. Only the head looks for a place; the others wait for it to
// leave. It is pure and not safe for concurrent use.
type Line struct {
	waiting []*Request
	// sortAt is when the next one becomes late and goes behind the others; zero: none
	// will.
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

// Leave takes a request out; one that does not wait changes nothing.
func (l *Line) Leave(req *Request) {
	if i := slices.Index(l.waiting, req); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

// Head returns the request whose turn it is; nil where nobody waits.
func (l *Line) Head(now time.Time) *Request {
	l.moveLateBack(now)
	if len(l.waiting) == 0 {
		return nil
	}
	return l.waiting[0]
}

// Ahead returns how many go before the request; one that does not wait goes behind all.
func (l *Line) Ahead(now time.Time, req *Request) int {
	l.moveLateBack(now)
	if i := slices.Index(l.waiting, req); i >= 0 {
		return i
	}
	return len(l.waiting)
}

// Len returns how many wait.
func (l *Line) Len() int { return len(l.waiting) }

// ChangesAt returns when the head may become another one though nobody comes or goes;
// zero: never.
func (l *Line) ChangesAt() time.Time { return l.nextLate }

// order puts those who became late behind the others.
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

// before reports whether a request goes first: what was begun before all else, and the
// late after those who can be in time.
func goesFirst(now time.Time, left, right *Request) bool {
	if left.Begun != right.Begun {
		return left.Begun
	}
	if late := left.Late(now); late != right.Late(now) {
		return !late
	}
	if left.urgency() != right.urgency() {
		return left.urgency() < right.urgency()
	}
	return left.Arrived.Before(right.Arrived)
}

// earlier returns the earlier of two moments, of which zero stands for none.
func earliest(left, right time.Time) time.Time {
	if left.IsZero() || !right.IsZero() && right.Before(left) {
		return right
	}
	return left
}

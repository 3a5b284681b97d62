// Package admission decides how long a request may wait for a place and what
// one that gets none is told.
//
// A request that can't be answered in time is worth little to its caller and
// takes a place from one that can: it is refused at once, with the time at which
// coming back has a chance.
package admission

import (
	"time"
)

const (
	// leastHold is the part of a request's target that it may always wait.
	leastHold = 8
	// lateHold is the longest wait of a request that is late already.
	lateHold = 80 * time.Millisecond
	// returnedPart is the part of the full time that a caller who came back
	// has left at most.
	returnedPart = 0.9
	// lateReserve is the slots of an engine that requests that are late leave
	// free.
	lateReserve = 2
	// minReturn and maxReturn bound the time that a refused caller is told.
	minReturn = 100 * time.Millisecond
	maxReturn = 2 * time.Second
)

// Late reports whether a request can't be in time any more: its caller has
// less time left than the route gives, so it came before.
func Late(left, full time.Duration) bool {
	return left > 0 && full > 0 && float64(left) < returnedPart*float64(full)
}

// Hold returns how long a request may wait for a place: as long as it may still
// be in time once it is begun, where beginning takes the time expected.
func Hold(target, expected time.Duration, late bool) time.Duration {
	if late {
		return lateHold
	}
	return max(target/leastHold, target-expected)
}

// Extra returns the requests that an engine may hold beyond its slots.
func Extra(late bool) int {
	if late {
		return -lateReserve
	}
	return 0
}

// Return returns when a refused caller should come back: the time in which
// those who wait get a place, where a place frees each gap.
func Return(waiting int, gap time.Duration) time.Duration {
	return min(maxReturn, max(minReturn, time.Duration(waiting+1)*gap))
}

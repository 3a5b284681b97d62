// Package admission decides how long a request may wait for a place, how much
// work may lie before it at an engine, and what one that gets no place receives.
//
// An answer in time is worth several late ones, and a late one more than none:
// those who can be in time go first, and the others wait for what is left.
package admission

import (
	"math"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/engine"
)

const (
	// leastHold is the part of a request's target that it may always wait.
	minWaitDivisor = 8
	// lateHold is the longest wait of a request that can't be in time any
	// more: callers give up a stream that shows nothing for longer.
	maxLateWait = 2200 * time.Millisecond
	// runTime is what is left of a caller's time at least for a request that
	// is begun late: most answers take less.
	minRunTime = 2 * time.Second
	// slowFirst is how many times the expected time a first event may take and be in time. A
	// request that is begun when only the expected time is left is often late, in a place
	// that another one could have used in time.
	firstEventMargin = 1.5
	// lateUnread is the prompt tokens that may wait at an engine where a late
	// request goes.
	lateMaxUnread = 1000
	// leastUnread is the same for one that can be in time, however little of
	// its time is left.
	minMaxUnread = 1000
	// passesBefore is how many passes go by besides the reading until a first
	// event comes: half of the one that runs, and the one that writes it.
	passesToFirstEvent = 1.6
	// unreadPart leaves room for prompts of other entries that are not known yet.
	unreadFraction = 0.9
	// minReturn and maxReturn bound the time to return of a refused caller. A request is refused
	// after a wait, so that what fills the engines lasts.
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Second
)

// LatestStart returns until when after its arrival a request can be in time if it is
// begun then, where beginning takes the time expected.
func LatestStart(target, expected time.Duration) time.Duration {
	return max(target/minWaitDivisor, target-time.Duration(firstEventMargin*float64(expected)))
}

// MaxWait returns how long after its arrival a request may wait for a place at all,
// where its caller waits the span given.
func MaxWait(target, timeout time.Duration) time.Duration {
	return max(target/minWaitDivisor, min(maxLateWait, timeout-minRunTime))
}

// ExtraQueue returns the requests that an engine with so many slots may hold beyond them. A late
// request leaves the square root of the slots free for requests that can be in time, whose number
// varies by about that much (square-root staffing).
func ExtraQueue(slots int, late bool) int {
	if late {
		return -int(math.Ceil(math.Sqrt(float64(slots))))
	}
	return 0
}

// MaxUnread returns the prompt tokens that may wait at an engine for a first event
// within the time left, this request's own included. Between two pieces of
// prompts the engine writes for those who run, so that reading takes longer than
// at its rate alone.
func MaxUnread(spec *catalog.Engine, timeLeft time.Duration, late bool) int {
	if late {
		return lateMaxUnread
	}
	if spec.ReadPerSecond <= 0 {
		return 0
	}
	writeTime := engine.Write(spec, spec.Slots, spec.Slots*spec.UsualPrompt).Seconds()
	perToken := 1 / spec.ReadPerSecond
	if spec.ChunkTokens > 0 {
		perToken += writeTime / float64(spec.ChunkTokens)
	}
	tokens := int(unreadFraction * (timeLeft.Seconds() - passesToFirstEvent*writeTime) / perToken)
	return max(minMaxUnread, tokens)
}

// RetryAfter returns when a refused caller should come back: the time in which
// those who wait get a place, where a place frees each gap.
func RetryAfter(waiting int, gap time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(waiting+1)*gap))
}

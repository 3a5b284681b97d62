// Package admission decides how long a request may wait for an endpoint, how many
// prompt tokens may be queued ahead of it at an engine, and when the caller of a
// refused request should retry.
//
// One answer in time is worth more than several late ones, and a late answer more
// than none. Requests that can still be answered in time are therefore served
// first, and late ones use the capacity that is left.
package admission

import (
	"math"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/engine"
)

const (
	// minWaitDivisor sets the wait that every request is allowed, as a fraction of its
	// target.
	minWaitDivisor = 8
	// maxLateWait is the longest wait of a request that can't be answered in time
	// anymore. Callers abandon a stream that shows nothing for longer.
	maxLateWait = 2200 * time.Millisecond
	// minRunTime is the part of a caller's timeout that is reserved for running a
	// request that starts late. Most answers take less.
	minRunTime = 2 * time.Second
	// firstEventMargin is a safety factor on the expected time to the first event. A
	// request that starts with only the expected time left is often late, and takes
	// capacity that another request could have used in time.
	firstEventMargin = 1.5
	// lateMaxUnread is the number of unread prompt tokens that an engine may hold for
	// a late request to be sent there.
	lateMaxUnread = 1000
	// minMaxUnread is the lower bound of that number for a request that can be in
	// time, however little time it has left.
	minMaxUnread = 1000
	// passesToFirstEvent is the number of engine passes before a first event, not
	// counting reading the prompt: half of the pass in progress, and the one that
	// writes the event.
	passesToFirstEvent = 1.6
	// unreadFraction leaves room for prompts of other entries that are not known yet.
	unreadFraction = 0.9
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused caller. A
	// request is refused only after it has waited, so the overload is not a brief one.
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Second
)

// LatestStart returns how long after its arrival a request can start and still be
// answered in time, where expected is the expected time to its first event.
func LatestStart(target, expected time.Duration) time.Duration {
	return max(target/minWaitDivisor, target-time.Duration(firstEventMargin*float64(expected)))
}

// MaxWait returns how long after its arrival a request may wait for an endpoint.
// timeout is the time after which its caller gives up.
func MaxWait(target, timeout time.Duration) time.Duration {
	return max(target/minWaitDivisor, min(maxLateWait, timeout-minRunTime))
}

// ExtraQueue returns the number of requests that an engine may hold beyond its slots.
// For a late request it is negative: the square root of the slots stays free for
// requests that can be in time, whose number varies by about that much (square-root
// staffing).
func ExtraQueue(slots int, late bool) int {
	if late {
		return -int(math.Ceil(math.Sqrt(float64(slots))))
	}
	return 0
}

// MaxUnread returns the number of unread prompt tokens, this request's included, with
// which an engine can still send its first event within timeLeft. Between two chunks
// of prompts the engine runs a write step for the running requests, so reading takes
// longer than its rate alone suggests.
func MaxUnread(spec *catalog.Engine, timeLeft time.Duration, late bool) int {
	if late {
		return lateMaxUnread
	}
	if spec.PromptTokensPerSecond <= 0 {
		return 0
	}
	writeTime := engine.WriteTime(spec, spec.Slots, spec.Slots*spec.MeanPromptTokens).Seconds()
	perToken := 1 / spec.PromptTokensPerSecond
	if spec.ChunkTokens > 0 {
		perToken += writeTime / float64(spec.ChunkTokens)
	}
	tokens := int(unreadFraction * (timeLeft.Seconds() - passesToFirstEvent*writeTime) / perToken)
	return max(minMaxUnread, tokens)
}

// RetryAfter returns when a refused caller should retry: the time in which all
// waiting requests get a slot, with one slot freed per gap.
func RetryAfter(waiting int, gap time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(waiting+1)*gap))
}

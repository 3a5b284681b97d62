// Package admit adapts the number of requests that one entry may have in progress on
// one host to signs of overload, instead of using a fixed number.
package admit

import (
	"math"
	"time"
)

// Constants of a Limit.
const (
	minLimit             = 1
	maxLimit             = 1024
	initialLimit         = 4               // if the engine reports no slots
	decreaseFactor       = 0.8             // applied at a sign of overload
	decreaseInterval     = time.Second / 4 // further signs within it are ignored
	slowFirstTokenFactor = 2.5             // first token slower than this times the best: sign of overload
	slowFirstTokenMargin = 50.0            // only if also slower by this many milliseconds
	maxQueuedRatio       = 0.25            // more queued requests per running one: sign of overload
	firstTokenSmoothing  = 0.2             // weight of a new first-token sample
)

// Limit is an adaptive concurrency limit. It grows by one for each round of requests
// that used all of it, and is multiplied by a factor below 1 at signs of overload: a
// refusal, a queue in the engine, or, if the engine does not report its slots, first
// tokens much slower than the best. It is not safe for concurrent use.
type Limit struct {
	limit          float64 // between minLimit and maxLimit
	useFirstToken  bool    // first-token times count, since the engine reports no slots
	bestMillis     float64 // lowest first-token time; 0 if there is none yet
	smoothedMillis float64 // smoothed first-token time
	lastDecrease   time.Time
}

// NewLimit returns a Limit. slots is the number that the engine reports, or 0 if unknown.
func NewLimit(slots int) *Limit {
	start := float64(initialLimit)
	if slots > 0 {
		start = math.Max(minLimit, float64(slots))
	}
	return &Limit{limit: start, useFirstToken: slots <= 0}
}

// Allows reports whether another request may start while inFlight are in progress.
func (l *Limit) Allows(inFlight int) bool { return inFlight < int(l.limit) }

// Current returns the limit, in requests.
func (l *Limit) Current() int { return int(l.limit) }

// RecordFirstToken records the time from dispatch to the first token. The best time
// never increases: if it followed the usual time, a queue caused by this limit itself
// would be taken for the host's normal speed.
func (l *Limit) RecordFirstToken(now time.Time, took time.Duration) {
	if !l.useFirstToken {
		return
	}
	sample := float64(took) / float64(time.Millisecond)
	if l.bestMillis == 0 || sample < l.bestMillis {
		l.bestMillis = sample
	}
	if l.smoothedMillis == 0 {
		l.smoothedMillis = sample
	}
	l.smoothedMillis += firstTokenSmoothing * (sample - l.smoothedMillis)
	if l.smoothedMillis > l.bestMillis*slowFirstTokenFactor && l.smoothedMillis > l.bestMillis+slowFirstTokenMargin {
		l.decrease(now)
	}
}

// RecordQueue records the load that the engine reports.
func (l *Limit) RecordQueue(now time.Time, running, queued int) {
	if float64(queued) > math.Max(1, maxQueuedRatio*float64(running)) {
		l.decrease(now)
	}
}

// RecordRefusal records a refusal for lack of capacity.
func (l *Limit) RecordRefusal(now time.Time) { l.decrease(now) }

// RecordAnswer records a complete answer and raises the limit if all of it was used and
// it was not lowered just before. inFlight is the number of other requests in progress.
func (l *Limit) RecordAnswer(now time.Time, inFlight int) {
	limited := inFlight+1 >= int(l.limit)
	recent := now.Sub(l.lastDecrease) < decreaseInterval
	if !limited || recent {
		return
	}
	l.limit = math.Min(maxLimit, l.limit+1/l.limit)
}

// decrease lowers the limit, at most once per decreaseInterval.
func (l *Limit) decrease(now time.Time) {
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease = now
	l.limit = math.Max(minLimit, l.limit*decreaseFactor)
}

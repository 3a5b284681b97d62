// Package admit decides how many requests one entry may have in progress on
// one host, by what the host shows rather than by a fixed number.
package admit

import (
	"math"
	"time"
)

// Constants of a Limit.
const (
	minLimit             = 1
	maxLimit             = 1024
	initialLimit         = 4
	decreaseFactor       = 0.8             // factor at a sign of overload
	decreaseInterval     = time.Second / 4 // signs within it count once
	slowFirstTokenFactor = 2.5             // first token later than this times the best is a sign
	slowFirstTokenMargin = 50.0            // and at least this many milliseconds later
	maxQueuedRatio       = 0.25            // queue per running request that is a sign
	firstTokenSmoothing  = 0.2             // weight of a new first-token sample
)

// Limit adapts a concurrency limit: it grows by one for each round of requests
// that needed all of it and shrinks by a factor at signs of overload: a
// refusal, a queue in the engine, or, of an engine that does not say how much
// it takes at once, first tokens much later than the best. It is not safe for
// concurrent use.
type Limit struct {
	limit          float64   // between minLimit and maxLimit
	useFirstToken  bool      // first-token times count: the engine reports no slots
	bestMillis     float64   // lowest first-token time, milliseconds; 0: none yet
	smoothedMillis float64   // smoothed first-token time, milliseconds
	lastDecrease   time.Time // last decrease
}

// NewLimit returns a Limit; slots is the engine's own number, 0 where unknown.
func NewLimit(slots int) *Limit {
	start := float64(initialLimit)
	if slots > 0 {
		start = math.Max(minLimit, float64(slots))
	}
	return &Limit{limit: start, useFirstToken: slots <= 0}
}

// Allows reports whether one more request may start beside inFlight others.
func (l *Limit) Allows(inFlight int) bool { return inFlight < int(l.limit) }

// Current returns the limit, in requests.
func (l *Limit) Current() int { return int(l.limit) }

// FirstToken takes the time from dispatch to the first token. The best is kept
// for good: one that rose with what is usual would take a queue of our own
// making for the host's nature.
func (l *Limit) FirstToken(now time.Time, took time.Duration) {
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

// Queue takes the engine's own report of its load.
func (l *Limit) Queue(now time.Time, running, queued int) {
	if float64(queued) > math.Max(1, maxQueuedRatio*float64(running)) {
		l.decrease(now)
	}
}

// Refused takes a refusal for want of room.
func (l *Limit) Refused(now time.Time) { l.decrease(now) }

// Done takes a whole answer; inFlight counts the requests beside it.
func (l *Limit) Done(now time.Time, inFlight int) {
	limited := inFlight+1 >= int(l.limit)
	recent := now.Sub(l.lastDecrease) < decreaseInterval
	if !limited || recent {
		return
	}
	l.limit = math.Min(maxLimit, l.limit+1/l.limit)
}

func (l *Limit) decrease(now time.Time) {
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease = now
	l.limit = math.Max(minLimit, l.limit*decreaseFactor)
}

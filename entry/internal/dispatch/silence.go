package dispatch

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/retry"
	"comfreyrelay.example/relay/route"
)

const (
	// A silent host is given up for a repeatable request after a multiple of
	// what is usual, within bounds.
	silenceFactor = 10
	minSilence    = time.Second
	maxSilence    = 10 * time.Second
	// nonRepeatableFactor is how many times as long what may not be repeated waits: giving it up costs
	// its caller the outcome.
	nonRepeatableFactor = 3
	// silenceCheckInterval is how often an attempt that waits looks whether it should go on.
	silenceCheckInterval = 250 * time.Millisecond
)

// abandonSilentHost reports whether the attempt at a silent host ends now. The host may be sound and
// only slow, so that what is in progress there ends only once another one has room for it.
func (r *requestRun) abandonSilentHost(choice route.Choice) bool {
	if !r.req.Repeatable {
		// Once it began, no other attempt is allowed: its own answer is all that may come.
		return !r.progress.Begun()
	}
	if r.progress.Begun() || len(r.progress.Tokens()) > 0 {
		return r.reserve(choice)
	}
	return r.progress.AttemptNumber() < retry.MaxAttempts
}

// reserve takes a place at another host for the next attempt and pays for its retry; false:
// there is none.
func (r *requestRun) reserve(current route.Choice) bool {
	if r.progress.AttemptNumber() >= retry.MaxAttempts {
		return false
	}
	next, ok := r.pool.reserve(r.req, r.otherHostCriteria, current)
	if !ok {
		return false
	}
	if !r.req.Retry() {
		r.pool.finish(next, route.Result{End: route.EndCancelled})
		return false
	}
	r.reserved = &next
	return true
}

// otherHostCriteria asks for a host other than that of the current attempt.
func (r *requestRun) otherHostCriteria() route.Ask {
	criteria := r.criteria()
	criteria.Exclude = append(slices.Clone(criteria.Exclude), r.lastHost)
	return criteria
}

// silenceTimer counts how long a host sends nothing, in whole looks: a process that stood still
// itself sees at the next look what came meanwhile.
type silenceTimer struct {
	timer   clockwork.Timer
	limit   time.Duration
	elapsed time.Duration
}

func newSilenceTimer(clock clockwork.Clock, limit time.Duration) *silenceTimer {
	return &silenceTimer{timer: clock.NewTimer(silenceCheckInterval), limit: limit}
}

func (s *silenceTimer) ticks() <-chan time.Time { return s.timer.Chan() }

// tick counts a look at which nothing had come and reports whether that is too long.
func (s *silenceTimer) tick() bool {
	s.elapsed += silenceCheckInterval
	s.timer.Reset(silenceCheckInterval)
	return s.elapsed >= s.limit
}

func (s *silenceTimer) reset() {
	s.elapsed = 0
	s.timer.Reset(silenceCheckInterval)
}

func (s *silenceTimer) stop() { s.timer.Stop() }

// firstFrameLimit is how long a first frame is waited for. A plain service says nothing until it
// is done, so only the deadline bounds it.
func (r *requestRun) firstFrameLimit() time.Duration {
	if r.req.Service != "" {
		return r.req.Deadline.Sub(r.started)
	}
	first, _ := r.silenceLimits()
	return first
}

func (r *requestRun) silenceLimits() (first, between time.Duration) {
	first, between = r.pool.typicalTimes()
	if !r.req.Repeatable {
		first, between = first*nonRepeatableFactor, between*nonRepeatableFactor
	}
	return clampSilence(first * silenceFactor), clampSilence(between * silenceFactor)
}

func clampSilence(limit time.Duration) time.Duration {
	if limit == 0 {
		return maxSilence // nothing is known yet
	}
	return min(maxSilence, max(minSilence, limit))
}

package dispatch

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/retry"
	"comfreyrelay.example/relay/route"
)

const (
	// A host that sends nothing is abandoned for a repeatable request after
	// silenceFactor times the typical interval, clamped to these bounds.
	silenceFactor = 10
	minSilence    = time.Second
	maxSilence    = 10 * time.Second
	// nonRepeatableFactor multiplies the limit for requests that may not be repeated:
	// abandoning the host leaves their caller without an outcome.
	nonRepeatableFactor = 3
	// silenceCheckInterval is how often a waiting attempt checks whether to keep waiting.
	silenceCheckInterval = 250 * time.Millisecond
)

// abandonSilentHost reports whether to end the attempt on a host that sends nothing.
// The host may be healthy but slow, so an answer in progress is ended only once a
// place on another host is reserved for it.
func (r *requestRun) abandonSilentHost(choice route.Choice) bool {
	if !r.req.Repeatable {
		// Once the attempt has begun, no other is allowed, so only this host can still answer.
		return !r.progress.Begun()
	}
	if r.progress.Begun() || len(r.progress.Tokens()) > 0 {
		return r.reserve(choice)
	}
	return r.progress.AttemptNumber() < retry.MaxAttempts
}

// reserve reserves a place on another host for the next attempt and charges the
// retry budget for it. It returns false if no attempt, place or budget is left.
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

// otherHostCriteria returns criteria that exclude the host of the current attempt.
func (r *requestRun) otherHostCriteria() route.Requirements {
	criteria := r.criteria()
	criteria.Exclude = append(slices.Clone(criteria.Exclude), r.lastHost)
	return criteria
}

// silenceTimer measures how long a host has sent nothing, in whole check intervals
// instead of by the clock. If this process itself was paused, only one interval
// counts, and frames that arrived in the meantime are read before the next check.
type silenceTimer struct {
	timer   clockwork.Timer
	limit   time.Duration
	elapsed time.Duration
}

func newSilenceTimer(clock clockwork.Clock, limit time.Duration) *silenceTimer {
	return &silenceTimer{timer: clock.NewTimer(silenceCheckInterval), limit: limit}
}

// ticks returns the channel that fires at each check.
func (s *silenceTimer) ticks() <-chan time.Time { return s.timer.Chan() }

// tick records a check without a new frame and reports whether the limit is reached.
func (s *silenceTimer) tick() bool {
	s.elapsed += silenceCheckInterval
	s.timer.Reset(silenceCheckInterval)
	return s.elapsed >= s.limit
}

// reset restarts the measurement. It is called before each wait for a frame.
func (s *silenceTimer) reset() {
	s.elapsed = 0
	s.timer.Reset(silenceCheckInterval)
}

func (s *silenceTimer) stop() { s.timer.Stop() }

// firstFrameLimit returns how long to wait for the first frame. A plain service sends
// nothing until it has finished, so only the deadline limits it.
func (r *requestRun) firstFrameLimit() time.Duration {
	if r.req.Service != "" {
		return r.req.Deadline.Sub(r.started)
	}
	first, _ := r.silenceLimits()
	return first
}

// silenceLimits returns how long a host may send nothing before its first frame and
// between later frames.
func (r *requestRun) silenceLimits() (first, between time.Duration) {
	first, between = r.pool.typicalTimes()
	if !r.req.Repeatable {
		first, between = first*nonRepeatableFactor, between*nonRepeatableFactor
	}
	return clampSilence(first * silenceFactor), clampSilence(between * silenceFactor)
}

// clampSilence keeps a limit within minSilence and maxSilence.
func clampSilence(limit time.Duration) time.Duration {
	if limit == 0 {
		return maxSilence // no typical time is known yet
	}
	return min(maxSilence, max(minSilence, limit))
}

package route

import "time"

// Constants of ejection, refusal backoff and ramp-up.
const (
	failuresToEject     = 3 // consecutive
	firstEjection       = time.Second
	maxEjection         = 30 * time.Second
	firstRefusalWait    = 20 * time.Millisecond
	maxRefusalWait      = 2 * time.Second
	gapSmoothing        = 0.2 // weight of a new sample of the token gap
	slowRatio           = 3.0 // token gap relative to the median at which a host is ejected
	minSlowSamples      = 3   // samples needed before a host can be ejected as slow
	slowEjection        = 5 * time.Second
	rampDuration        = 10 * time.Second // until a new replica gets its full load
	slowEjectionDivisor = 3                // at most one host in this many is ejected as slow
	minHostsForSlow     = 3                // with fewer hosts the median is meaningless
	defaultSlots        = 8                // if the engine reports none
	maxProbesInFlight   = 1                // on a host whose ejection has just ended
)

// health is a host's state as observed through this entry's own attempts.
type health struct {
	gapMillis    float64   // smoothed milliseconds between tokens
	gapSamples   int       // samples in gapMillis since the last ejection
	failures     int       // consecutive errors
	refusals     int       // consecutive
	ejections    int       // consecutive, for the backoff
	ejectedUntil time.Time // gets no new work before
	slowUntil    time.Time // end of the last ejection for slowness
	waitUntil    time.Time // end of the backoff after a refusal
	probing      bool      // was ejected and has not answered at normal speed since
	joinedAt     time.Time // when first seen serving; zero if there at startup
}

// unavailable reports whether the host is ejected or backing off after a refusal.
func (h *health) unavailable(now time.Time) bool {
	return now.Before(h.ejectedUntil) || now.Before(h.waitUntil)
}

// recordFailure counts an error. A host that fails immediately looks idle and
// would attract all requests, so after a few consecutive errors it is ejected, for
// a time that grows with each ejection.
func (h *health) recordFailure(now time.Time) {
	h.failures++
	if h.failures >= failuresToEject || h.probing {
		h.eject(now, firstEjection)
	}
}

// recordRefusal backs off after a refusal that asked to retry after wait.
func (h *health) recordRefusal(now time.Time, wait time.Duration) {
	h.refusals++
	backoff := firstRefusalWait << min(h.refusals-1, 8)
	h.waitUntil = now.Add(min(maxRefusalWait, max(backoff, wait)))
}

// recordSuccess resets the counters after a complete answer at normal speed.
func (h *health) recordSuccess() {
	h.failures, h.refusals, h.ejections = 0, 0, 0
	h.probing = false
}

// recordTokenGap adds a measured time between tokens to the smoothed value.
func (h *health) recordTokenGap(gap time.Duration) {
	if gap <= 0 {
		return
	}
	sample := float64(gap) / float64(time.Millisecond)
	if h.gapSamples == 0 {
		h.gapMillis = sample
	}
	h.gapSamples++
	h.gapMillis += gapSmoothing * (sample - h.gapMillis)
}

// eject stops new work for the host. The time doubles with each consecutive
// ejection, starting at first.
func (h *health) eject(now time.Time, first time.Duration) {
	h.ejectedUntil = now.Add(min(maxEjection, first<<min(h.ejections, 6)))
	h.ejections++
	h.failures = 0
	h.gapSamples = 0 // later probes are evaluated without the old samples
	h.probing = true
}

// rampFraction returns the fraction of its normal load that a host gets, from 0.1
// to 1. A new replica starts low since its caches are cold and its first reports
// have not arrived yet.
func (h *health) rampFraction(now time.Time) float64 {
	if h.joinedAt.IsZero() {
		return 1
	}
	fraction := float64(now.Sub(h.joinedAt)) / float64(rampDuration)
	return min(1, max(0.1, fraction))
}

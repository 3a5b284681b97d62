package route

import "time"

// Constants of a host's health.
const (
	failuresToEject     = 3 // in a row
	firstEjection       = time.Second
	maxEjection         = 30 * time.Second
	firstRefusalWait    = 20 * time.Millisecond
	maxRefusalWait      = 2 * time.Second
	gapSmoothing        = 0.2 // of a new sample of the token gap
	slowRatio           = 3.0 // token gap over the median that ejects
	minSlowSamples      = 3   // measurements before a host is judged slow
	slowEjection        = 5 * time.Second
	rampDuration        = 10 * time.Second // until a new replica gets its full load
	slowEjectionDivisor = 3                // at most one in so many is ejected as slow
	minHostsForSlow     = 3                // below it there is no median to speak of
	defaultSlots        = 8                // where the engine does not say
	maxProbesInFlight   = 1                // on a host just back from ejection
)

// health is what this entry itself saw of a host.
type health struct {
	gapMillis    float64   // smoothed milliseconds between tokens
	gapSamples   int       // measurements in gap since the last ejection
	failures     int       // in a row; refusals and errors
	refusals     int       // in a row
	ejections    int       // in a row, for the backoff
	ejectedUntil time.Time // no new work before, unless nobody else is there
	slowUntil    time.Time // ejected as slow until then
	waitUntil    time.Time // it refused: no new work before
	probing      bool      // back from ejection and not yet proved well
	joinedAt     time.Time // when it was first seen serving; zero: at our start
}

// ejected reports whether the host gets no work at now.
func (h *health) unavailable(now time.Time) bool {
	return now.Before(h.ejectedUntil) || now.Before(h.waitUntil)
}

// failed takes an error. A host that fails at once looks idle and would draw
// all the work; after a few errors in a row it is left out for a growing time.
func (h *health) recordFailure(now time.Time) {
	h.failures++
	if h.failures >= failuresToEject || h.probing {
		h.eject(now, firstEjection)
	}
}

// refused takes a refusal that asked to come back after the wait.
func (h *health) recordRefusal(now time.Time, wait time.Duration) {
	h.refusals++
	backoff := firstRefusalWait << min(h.refusals-1, 8)
	h.waitUntil = now.Add(min(maxRefusalWait, max(backoff, wait)))
}

// answered takes a whole answer at a usual speed.
func (h *health) recordSuccess() {
	h.failures, h.refusals, h.ejections = 0, 0, 0
	h.probing = false
}

// sample takes a measured time between tokens.
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

func (h *health) eject(now time.Time, first time.Duration) {
	h.ejectedUntil = now.Add(min(maxEjection, first<<min(h.ejections, 6)))
	h.ejections++
	h.failures = 0
	h.gapSamples = 0 // the next probe is judged by itself
	h.probing = true
}

// ramp returns the part of its load that a new replica gets, above 0 and at
// most 1: its caches are cold, and its first reports are not there yet.
func (h *health) rampFraction(now time.Time) float64 {
	if h.joinedAt.IsZero() {
		return 1
	}
	fraction := float64(now.Sub(h.joinedAt)) / float64(rampDuration)
	return min(1, max(0.1, fraction))
}

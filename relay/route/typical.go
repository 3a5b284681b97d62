package route

import "time"

// Constants of the typical figures.
const (
	typicalWeight      = 0.05 // of a new sample
	defaultMissPenalty = 30.0 // milliseconds, until measured
	minMissPenalty     = 5.0
	maxMissPenalty     = 1000.0
	// typicalAge is how long the time of an answer is believed. Refusals that
	// rest on an old one would keep any answer from correcting it.
	typicalAge = 2 * time.Second
)

// typical holds smoothed figures over all hosts, in milliseconds; 0 while
// unknown.
type typical struct {
	hitMillis  float64 // to the first token with the prefix cached
	missMillis float64 // and without
	gapMillis  float64 // between tokens
	tookMillis float64 // whole attempt
	tookAt     time.Time
}

func newTypical() typical { return typical{} }

func (t *typical) firstToken(hit bool, took time.Duration) {
	if hit {
		smooth(&t.hitMillis, took)
		return
	}
	smooth(&t.missMillis, took)
}

func (t *typical) answered(now time.Time, took, gap time.Duration) {
	smooth(&t.tookMillis, took)
	t.tookAt = now
	if gap > 0 {
		smooth(&t.gapMillis, gap)
	}
}

// missPenalty is what a cold prefix costs, in milliseconds.
func (t *typical) missPenalty() float64 {
	if t.hitMillis == 0 || t.missMillis == 0 {
		return defaultMissPenalty
	}
	return min(maxMissPenalty, max(minMissPenalty, t.missMillis-t.hitMillis))
}

// service assumes that answers use as much of their tokens as they did.
func (t *typical) service(now time.Time, tokens int) time.Duration {
	if t.tookMillis == 0 || now.Sub(t.tookAt) > typicalAge {
		return 0
	}
	most := t.missMillis + t.gapMillis*float64(tokens)
	if t.gapMillis > 0 {
		return millis(min(t.tookMillis*2, most))
	}
	return millis(t.tookMillis)
}

func smooth(value *float64, sample time.Duration) {
	took := float64(sample) / float64(time.Millisecond)
	if *value == 0 {
		*value = took
		return
	}
	*value += typicalWeight * (took - *value)
}

func millis(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

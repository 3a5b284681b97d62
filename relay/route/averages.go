package route

import "time"

// Constants of the typical figures.
const (
	averageSmoothing   = 0.05 // of a new sample
	defaultMissPenalty = 30.0 // milliseconds, until measured
	minMissPenalty     = 5.0
	maxMissPenalty     = 1000.0
	// typicalAge is how long the time of an answer is believed. Refusals that
	// rest on an old one would keep any answer from correcting it.
	maxServiceTimeAge = 2 * time.Second
)

// typical holds smoothed figures over all hosts, in milliseconds; 0 while
// unknown.
type typicalTimes struct {
	hitMillis  float64 // to the first token with the prefix cached
	missMillis float64 // and without
	gapMillis  float64 // between tokens
	tookMillis float64 // whole attempt
	tookAt     time.Time
}

func newTypicalTimes() typicalTimes { return typicalTimes{} }

func (t *typicalTimes) recordFirstToken(hit bool, took time.Duration) {
	if hit {
		updateAverage(&t.hitMillis, took)
		return
	}
	updateAverage(&t.missMillis, took)
}

func (t *typicalTimes) recordAnswer(now time.Time, took, gap time.Duration) {
	updateAverage(&t.tookMillis, took)
	t.tookAt = now
	if gap > 0 {
		updateAverage(&t.gapMillis, gap)
	}
}

// missPenalty is what a cold prefix costs, in milliseconds.
func (t *typicalTimes) missPenalty() float64 {
	if t.hitMillis == 0 || t.missMillis == 0 {
		return defaultMissPenalty
	}
	return min(maxMissPenalty, max(minMissPenalty, t.missMillis-t.hitMillis))
}

// service assumes that answers use as much of their tokens as they did.
func (t *typicalTimes) serviceTime(now time.Time, tokens int) time.Duration {
	if t.tookMillis == 0 || now.Sub(t.tookAt) > maxServiceTimeAge {
		return 0
	}
	longest := t.missMillis + t.gapMillis*float64(tokens)
	if t.gapMillis > 0 {
		return millisToDuration(min(t.tookMillis*2, longest))
	}
	return millisToDuration(t.tookMillis)
}

func updateAverage(value *float64, sample time.Duration) {
	sampleMillis := float64(sample) / float64(time.Millisecond)
	if *value == 0 {
		*value = sampleMillis
		return
	}
	*value += averageSmoothing * (sampleMillis - *value)
}

func millisToDuration(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

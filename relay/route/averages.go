package route

import "time"

// Constants of the averages.
const (
	averageSmoothing   = 0.05 // weight of a new sample
	defaultMissPenalty = 30.0 // milliseconds, until measured
	minMissPenalty     = 5.0
	maxMissPenalty     = 1000.0
	// maxServiceTimeAge is how long the duration of the last answer is used. If
	// requests were refused because of an older one, no new answer could correct it.
	maxServiceTimeAge = 2 * time.Second
)

// typicalTimes holds smoothed times over all hosts, in milliseconds; 0 if unknown.
type typicalTimes struct {
	hitMillis  float64 // to the first token, with the prefix cached
	missMillis float64 // to the first token, with a cold prefix
	gapMillis  float64 // between tokens
	tookMillis float64 // of a whole attempt
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

// missPenalty returns the extra time that a cold prefix costs, in milliseconds.
func (t *typicalTimes) missPenalty() float64 {
	if t.hitMillis == 0 || t.missMillis == 0 {
		return defaultMissPenalty
	}
	return min(maxMissPenalty, max(minMissPenalty, t.missMillis-t.hitMillis))
}

// serviceTime estimates the duration of an attempt that may generate the given
// number of tokens. It assumes that answers use as much of their limit as past
// ones did.
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

// updateAverage adds a sample to an exponential moving average in milliseconds.
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

package follow

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds, and their significant digits.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// NewTimes returns an empty histogram of times.
func NewTimes() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

// Record adds a time. Times outside the range are clamped to it, so that none is
// lost.
func Record(times *hdrhistogram.Histogram, took time.Duration) {
	_ = times.RecordValue(min(max(took.Microseconds(), lowest), highest)) // fails only outside the range
}

// Seconds returns a percentile of the times, in seconds.
func Seconds(times *hdrhistogram.Histogram, percentile float64) float64 {
	return (time.Duration(times.ValueAtQuantile(percentile)) * time.Microsecond).Seconds()
}

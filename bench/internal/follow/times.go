package follow

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// NewTimes returns an empty histogram of times.
func NewTimes() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

// Record adds a time, clamped to the range, so that nothing is lost.
func Record(times *hdrhistogram.Histogram, took time.Duration) {
	_ = times.RecordValue(min(max(took.Microseconds(), lowest), highest)) // within the range it never fails
}

// Seconds returns a percentile.
func Seconds(times *hdrhistogram.Histogram, percentile float64) float64 {
	return (time.Duration(times.ValueAtQuantile(percentile)) * time.Microsecond).Seconds()
}

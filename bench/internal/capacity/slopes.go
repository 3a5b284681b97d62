package capacity

import (
	"encoding/json"
	"io"
	"math"
	"runtime"
	"time"
)

// slopesBench is the bench name in the lines that Measure prints.
const slopesBench = "slopes"

// Line is the JSON line of one measurement at one size.
type Line struct {
	Bench string `json:"bench"`
	// Case is the measured quantity, a slash, and the unit of the size.
	Case  string  `json:"case"`
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// hostSizes are the measured fleet sizes: the present deployment, the largest one
// that the benchmarks start, and two steps up to the full size.
var hostSizes = []int{18, 200, 1_000, 10_000}

// printer writes measurements as JSON lines. After an error it writes nothing more
// and keeps that error.
type printer struct {
	out *json.Encoder
	err error
}

func (p *printer) line(name string, size int, value float64, unit string) {
	if p.err == nil {
		p.err = p.out.Encode(Line{Bench: slopesBench, Case: name, Size: float64(size), Value: value, Unit: unit})
	}
}

// Measure benchmarks the decision logic at growing sizes and writes one JSON line per
// measurement to out.
func Measure(out io.Writer) error {
	lines := &printer{out: json.NewEncoder(out)}
	for _, measure := range []func(*printer) error{
		measureReports, measureViews, measureMessages, measureEntryReports, measureSpread, measurePlans,
		measureDocuments, measureKeys, measureList, measureBurst, measureRoute, measureTokens,
	} {
		if err := measure(lines); err != nil {
			return err
		}
	}
	return lines.err
}

const (
	// minTryDuration is the minimum duration of one try. Of measureTries tries the
	// fastest counts, since load on the machine can only slow a try down.
	minTryDuration = 20 * time.Millisecond
	measureTries   = 5
)

// microsPerCall returns the duration of one call of do, in microseconds.
func microsPerCall(do func()) float64 {
	do()
	best := math.Inf(1)
	for range measureTries {
		count := 0
		began := time.Now()
		for time.Since(began) < minTryDuration {
			do()
			count++
		}
		best = min(best, float64(time.Since(began).Microseconds())/float64(count))
	}
	return best
}

// heapBytes returns the heap memory that the result of build retains, in bytes.
func heapBytes[T any](build func() T) float64 {
	before := liveHeapBytes()
	kept := build()
	grown := liveHeapBytes() - before
	runtime.KeepAlive(kept)
	return grown
}

// liveHeapBytes returns the size of the live heap after garbage collection, in bytes.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

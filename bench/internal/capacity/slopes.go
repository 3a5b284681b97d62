package capacity

import (
	"encoding/json"
	"io"
	"math"
	"runtime"
	"time"
)

// slopesBench names the lines that Measure prints.
const slopesBench = "slopes"

// Line is one measurement of a decision core at one size.
type Line struct {
	Bench string `json:"bench"`
	// Case is what was measured, a slash, and what the size counts.
	Case  string  `json:"case"`
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// hostSizes are the fleets measured: today's deployment, the largest one that the
// benches start, and the way to the full size.
var hostSizes = []int{18, 200, 1_000, 10_000}

// printer writes lines; the first error sticks.
type printer struct {
	out *json.Encoder
	err error
}

func (p *printer) line(name string, size int, value float64, unit string) {
	if p.err == nil {
		p.err = p.out.Encode(Line{Bench: slopesBench, Case: name, Size: float64(size), Value: value, Unit: unit})
	}
}

// Measure runs the decision cores at growing sizes and prints one JSON line
// each.
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
	// measureLeast is how long one try runs at least; measureTries are made and
	// the quickest counts, since a busy machine only ever slows one down.
	measureLeast = 20 * time.Millisecond
	measureTries = 5
)

// micros returns how long do takes, in microseconds.
func micros(do func()) float64 {
	do()
	best := math.Inf(1)
	for range measureTries {
		count := 0
		began := time.Now()
		for time.Since(began) < measureLeast {
			do()
			count++
		}
		best = min(best, float64(time.Since(began).Microseconds())/float64(count))
	}
	return best
}

// heapBytes returns what make's result holds on the heap.
func heapBytes[T any](build func() T) float64 {
	before := heapNow()
	kept := build()
	grown := heapNow() - before
	runtime.KeepAlive(kept)
	return grown
}

func heapNow() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

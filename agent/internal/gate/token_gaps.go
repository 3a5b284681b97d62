package gate

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxGapSamples is the size of the ring buffer of samples.
	maxGapSamples = 512
	// gapWindow is the age up to which samples are used.
	gapWindow = 3 * time.Second
	// minGapSamples is the number of samples below which the median is treated
	// as unknown.
	minGapSamples = 20
	// bestMedianDrift raises the best median by 1% with each update, which is
	// once a second. Otherwise a single unusually fast second would stay the
	// baseline forever.
	bestMedianDrift = 1.01
	// slowdownStart and slowdownFull are the ratios of the current median to
	// the best one at which the slowdown starts to rise above 0 and reaches 1.
	slowdownStart = 1.25
	slowdownFull  = 2.5
)

// gapSample is one measured time between tokens.
type gapSample struct {
	at     time.Time
	length time.Duration
}

// tokenGapStats measures the time between tokens over all streams of the host.
type tokenGapStats struct {
	mu         sync.Mutex
	samples    [maxGapSamples]gapSample
	next       int
	median     time.Duration // as of the last update; 0 with too few samples
	bestMedian time.Duration // recent best median; 0 while unknown
	sorted     []time.Duration
}

// add records a sample and overwrites the oldest one.
func (g *tokenGapStats) add(now time.Time, length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples[g.next] = gapSample{at: now, length: length}
	g.next = (g.next + 1) % maxGapSamples
}

// update recomputes the median. It is called once a second.
func (g *tokenGapStats) update(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sorted = g.sorted[:0]
	for _, sample := range g.samples {
		if !sample.at.IsZero() && now.Sub(sample.at) <= gapWindow {
			g.sorted = append(g.sorted, sample.length)
		}
	}
	if len(g.sorted) < minGapSamples {
		g.median = 0
		return
	}
	slices.Sort(g.sorted)
	g.median = g.sorted[len(g.sorted)/2]
	g.bestMedian = time.Duration(float64(g.bestMedian) * bestMedianDrift)
	if g.bestMedian == 0 || g.median < g.bestMedian {
		g.bestMedian = g.median
	}
}

// lastMedian returns the median of the last update; 0 while unknown.
func (g *tokenGapStats) lastMedian() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.median
}

// slowdown returns a value from 0 (tokens arrive as fast as at their recent best)
// to 1 (slower by slowdownFull or more). It is 0 while unknown.
func (g *tokenGapStats) slowdown() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.median == 0 || g.bestMedian == 0 {
		return 0
	}
	ratio := float64(g.median) / float64(g.bestMedian)
	return min(max((ratio-slowdownStart)/(slowdownFull-slowdownStart), 0), 1)
}

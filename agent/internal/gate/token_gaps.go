package gate

import (
	"slices"
	"sync"
	"time"
)

const (
	// gapSamples bounds the samples kept.
	maxGapSamples = 512
	// gapWindow is how long a sample counts.
	gapWindow = 3 * time.Second
	// gapSamplesNeeded is how many make a median worth acting on.
	minGapSamples = 20
	// bestDecay lets the best median drift up, so that one lucky second does
	// not count as the norm for ever: 1% for each reading, one a second.
	bestMedianDrift = 1.01
	// slowFrom and slowTo are the ratios of the median to the recent best at
	// which tokens begin to count as slow and count as fully slow.
	slowdownStart = 1.25
	slowdownFull  = 2.5
)

type gapSample struct {
	at     time.Time
	length time.Duration
}

// gaps measures the time between tokens over all streams of the host.
type tokenGapStats struct {
	mu         sync.Mutex
	samples    [maxGapSamples]gapSample
	next       int
	median     time.Duration // as of the last read; 0 with too few samples
	bestMedian time.Duration // recent best median; 0 while unknown
	sorted     []time.Duration
}

func (g *tokenGapStats) add(now time.Time, length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples[g.next] = gapSample{at: now, length: length}
	g.next = (g.next + 1) % maxGapSamples
}

// read computes the median anew; it is called once a second.
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

func (g *tokenGapStats) lastMedian() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.median
}

// slow returns 0 (tokens flow as at their recent best) to 1.
func (g *tokenGapStats) slowdown() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.median == 0 || g.bestMedian == 0 {
		return 0
	}
	ratio := float64(g.median) / float64(g.bestMedian)
	return min(max((ratio-slowdownStart)/(slowdownFull-slowdownStart), 0), 1)
}

package gate

import (
	"slices"
	"sync"
	"time"
)

const (
	// gapSamples bounds the samples kept.
	gapSamples = 512
	// gapWindow is how long a sample counts.
	gapWindow = 3 * time.Second
	// gapSamplesNeeded is how many make a median worth acting on.
	gapSamplesNeeded = 20
	// bestDecay lets the best median drift up, so that one lucky second does
	// not count as the norm for ever: 1% for each reading, one a second.
	bestDecay = 1.01
	// slowFrom and slowTo are the ratios of the median to the recent best at
	// which tokens begin to count as slow and count as fully slow.
	slowFrom = 1.25
	slowTo   = 2.5
)

type gap struct {
	at     time.Time
	length time.Duration
}

// gaps measures the time between tokens over all streams of the host.
type gaps struct {
	mu      sync.Mutex
	ring    [gapSamples]gap
	next    int
	median  time.Duration // as of the last read; 0 with too few samples
	best    time.Duration // recent best median; 0 while unknown
	samples []time.Duration
}

func (g *gaps) add(now time.Time, length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ring[g.next] = gap{at: now, length: length}
	g.next = (g.next + 1) % gapSamples
}

// read computes the median anew; it is called once a second.
func (g *gaps) read(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples = g.samples[:0]
	for _, sample := range g.ring {
		if !sample.at.IsZero() && now.Sub(sample.at) <= gapWindow {
			g.samples = append(g.samples, sample.length)
		}
	}
	if len(g.samples) < gapSamplesNeeded {
		g.median = 0
		return
	}
	slices.Sort(g.samples)
	g.median = g.samples[len(g.samples)/2]
	g.best = time.Duration(float64(g.best) * bestDecay)
	if g.best == 0 || g.median < g.best {
		g.best = g.median
	}
}

func (g *gaps) last() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.median
}

// slow returns 0 (tokens flow as at their recent best) to 1.
func (g *gaps) slow() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.median == 0 || g.best == 0 {
		return 0
	}
	ratio := float64(g.median) / float64(g.best)
	return min(max((ratio-slowFrom)/(slowTo-slowFrom), 0), 1)
}

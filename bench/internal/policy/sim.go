package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/deal"
)

// service and model are the names in the simulated catalog.
const (
	service = "engines"
	model   = "model"
)

// Options are what is compared.
type Options struct {
	Seed uint64
	// Rate multiplies what is asked.
	Rate   float64
	Shares deal.Shares
	// Gaps are how often an entry learns of an engine by its reach.
	Gaps Gaps
	// Looks is how often an agent looks at its engine while something runs; 0: as
	// usual.
	Looks time.Duration
	// Without names mechanisms that are left out; see Mechanisms.
	Without map[string]bool
}

// Gaps are the least times between two states of an engine that an entry receives.
type Gaps struct{ Home, Near, Far time.Duration }

// UsualGaps are those in use.
var UsualGaps = Gaps{Home: 25 * time.Millisecond, Near: 60 * time.Millisecond, Far: 250 * time.Millisecond}

// Mechanisms are what Options.Without may name, with what happens without each.
var Mechanisms = map[string]string{
	"homes":   "every entry of its domain fills an engine's slots as its home does",
	"dealing": "every entry sends to every engine and follows it",
	"late":    "who can't be in time any more is refused at once",
	"unread":  "prompts that wait at an engine are not bounded",
	"states":  "agents report nothing; entries know of engines from answers alone",
	"reading": "entries do not report to agents which prompts are not read yet",
}

// sim plays one load.
type sim struct {
	load    *Load
	opts    Options
	spec    *catalog.Engine
	rng     *rand.Rand
	now     time.Duration
	queue   events
	entries []*entry
	byID    map[string]*entry
	engines map[string]*host // by address
	order   []*host
	rates   []float64 // of the regions, requests a second
	factor  float64   // of bursts
	out     *tally
}

// epoch is the moment at which a simulation begins; only differences count.
var epoch = time.Unix(1_000_000_000, 0)

func newSim(load *Load, opts Options) *sim {
	if opts.Rate <= 0 {
		opts.Rate = 1
	}
	s := &sim{
		load: load, opts: opts, spec: load.spec(), rng: rand.New(rand.NewPCG(opts.Seed, 1)),
		byID: map[string]*entry{}, engines: map[string]*host{}, factor: 1,
	}
	s.out = newTally(s)
	for i := range load.Engines {
		s.addHost(i%load.Regions, true)
	}
	for i := range load.Entries {
		s.addEntry(i)
	}
	s.deal()
	s.drawRates()
	return s
}

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// drawRates gives each region its part of what is asked.
func (s *sim) drawRates() {
	mean := s.load.RequestsPerSecond * s.opts.Rate / float64(s.load.Regions)
	sum := 0.0
	for region := range s.load.Regions {
		rate := mean * (1 + s.load.Uneven*(2*s.rng.Float64()-1))
		if region < len(s.load.Parts) {
			rate = s.load.Parts[region]
		}
		s.rates = append(s.rates, rate)
		sum += rate
	}
	for i := range s.rates {
		s.rates[i] *= mean * float64(s.load.Regions) / sum
	}
}

func domain(region int) string { return fmt.Sprintf("d%02d", region) }

// after calls fn after so long.
func (s *sim) after(wait time.Duration, fn func()) {
	heap.Push(&s.queue, event{at: s.now + max(0, wait), number: s.queue.next(), fn: fn})
}

// run plays the load to its end.
func (s *sim) run() {
	for region := range s.load.Regions {
		s.after(s.gap(region), func() { s.arrive(region) })
	}
	for _, one := range s.load.Events {
		s.after(seconds(one.AtSeconds), func() { s.happen(one) })
	}
	end := seconds(s.load.Seconds)
	for len(s.queue.list) > 0 {
		next := heap.Pop(&s.queue).(event)
		if next.at > end {
			break
		}
		s.now = next.at
		next.fn()
	}
}

// gap draws the time to a region's next request.
func (s *sim) gap(region int) time.Duration {
	return seconds(s.rng.ExpFloat64() / (s.rates[region] * s.factor))
}

// delay returns the time of a message between two regions, one way.
func (s *sim) delay(from, to int) time.Duration {
	if from == to {
		return millis(s.load.Links.DomainMillis + s.load.Links.TurnMillis)
	}
	return millis(s.load.Links.RegionMillis + s.load.Links.TurnMillis)
}

func (s *sim) callerDelay() time.Duration {
	return millis(s.load.Links.CallerMillis + s.load.Links.TurnMillis)
}

// draw draws a size.
func (s *sim) draw(size Sizes) int {
	value := size.Mean
	if size.Spread > 0 {
		sigma := math.Sqrt(math.Log(1 + size.Spread*size.Spread))
		value = size.Mean * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)
	}
	if size.Most > 0 {
		value = min(value, size.Most)
	}
	return max(1, int(math.Round(value)))
}

// without reports whether a mechanism is left out.
func (s *sim) without(name string) bool { return s.opts.Without[name] }

// event is something to do at a moment.
type event struct {
	at     time.Duration
	number uint64 // among equals the earlier made comes first
	fn     func()
}

// events is a heap by time.
type events struct {
	list []event
	made uint64
}

func (e *events) next() uint64 { e.made++; return e.made }

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	if e.list[i].at != e.list[j].at {
		return e.list[i].at < e.list[j].at
	}
	return e.list[i].number < e.list[j].number
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(one any)  { e.list = append(e.list, one.(event)) }
func (e *events) Pop() any {
	last := len(e.list) - 1
	one := e.list[last]
	e.list[last] = event{}
	e.list = e.list[:last]
	return one
}

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

// service and model are the names of the service and its model in the simulated
// catalog.
const (
	service = "engines"
	model   = "model"
)

// Options holds the parameters that differ between compared simulations.
type Options struct {
	Seed uint64
	// Rate multiplies the request rate of the load; values up to 0 mean 1.
	Rate   float64
	Shares deal.Shares
	// Gaps are the minimum intervals between state updates of an engine at an
	// entry, by the engine's reach.
	Gaps Gaps
	// PollInterval is the interval at which an agent polls its engine while requests
	// run. 0 means defaultPollInterval.
	PollInterval time.Duration
	// Without names the mechanisms that are disabled; see Mechanisms.
	Without map[string]bool
}

// Gaps holds the minimum intervals between two state updates of an engine that
// an entry receives.
type Gaps struct{ Home, Near, Far time.Duration }

// DefaultGaps are the intervals that the product uses.
var DefaultGaps = Gaps{Home: 25 * time.Millisecond, Near: 60 * time.Millisecond, Far: 250 * time.Millisecond}

// Mechanisms maps each name allowed in Options.Without to the behavior of the
// system when that mechanism is disabled.
var Mechanisms = map[string]string{
	"homes":    "every entry in an engine's failure domain fills its slots as its home entry does",
	"dealing":  "every entry sends to every engine and subscribes to its state",
	"forecast": "requests whose turn would come too late wait and are refused only then",
	"unread":   "the prompt tokens that wait at an engine are not limited",
	"states":   "agents report no state; entries learn about engines only from answers",
	"reading":  "entries do not report unread prompt tokens to agents",
}

// sim is a discrete-event simulation of one load.
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
	rates   []float64 // requests per second by region
	factor  float64   // multiplier of the request rates during bursts
	tally   *tally
}

// epoch is the wall-clock time at which a simulation begins. Its value is arbitrary,
// as only differences matter.
var epoch = time.Unix(1_000_000_000, 0)

func newSim(load *Load, opts Options) *sim {
	if opts.Rate <= 0 {
		opts.Rate = 1
	}
	s := &sim{
		load: load, opts: opts, spec: load.spec(), rng: rand.New(rand.NewPCG(opts.Seed, 1)),
		byID: map[string]*entry{}, engines: map[string]*host{}, factor: 1,
	}
	s.tally = newTally(s)
	for i := range load.Engines {
		s.addHost(i%load.Regions, true)
	}
	for i := range load.Entries {
		s.addEntry(i)
	}
	s.assignEngines()
	s.drawRates()
	return s
}

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// drawRates sets the request rate of each region.
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

// after schedules fn to run after wait in virtual time.
func (s *sim) after(wait time.Duration, fn func()) {
	heap.Push(&s.queue, event{at: s.now + max(0, wait), number: s.queue.next(), fn: fn})
}

// run simulates the load to its end.
func (s *sim) run() {
	for region := range s.load.Regions {
		s.after(s.interarrivalTime(region), func() { s.arrive(region) })
	}
	for _, ev := range s.load.Events {
		s.after(seconds(ev.AtSeconds), func() { s.startEvent(ev) })
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

// interarrivalTime draws the time until the next request in a region.
func (s *sim) interarrivalTime(region int) time.Duration {
	return seconds(s.rng.ExpFloat64() / (s.rates[region] * s.factor))
}

// delay returns the one-way delay of a message between two regions.
func (s *sim) delay(from, to int) time.Duration {
	if from == to {
		return millis(s.load.Links.DomainMillis + s.load.Links.TurnMillis)
	}
	return millis(s.load.Links.RegionMillis + s.load.Links.TurnMillis)
}

func (s *sim) callerDelay() time.Duration {
	return millis(s.load.Links.CallerMillis + s.load.Links.TurnMillis)
}

// draw draws a size from its lognormal distribution.
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

// without reports whether a mechanism is disabled.
func (s *sim) without(name string) bool { return s.opts.Without[name] }

// event is a function scheduled at a point in virtual time.
type event struct {
	at     time.Duration
	number uint64 // events at the same time run in the order of creation
	fn     func()
}

// events is a heap of events ordered by time.
type events struct {
	list       []event
	lastNumber uint64
}

func (e *events) next() uint64 { e.lastNumber++; return e.lastNumber }

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	if e.list[i].at != e.list[j].at {
		return e.list[i].at < e.list[j].at
	}
	return e.list[i].number < e.list[j].number
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(item any) { e.list = append(e.list, item.(event)) }
func (e *events) Pop() any {
	last := len(e.list) - 1
	item := e.list[last]
	e.list[last] = event{}
	e.list = e.list[:last]
	return item
}

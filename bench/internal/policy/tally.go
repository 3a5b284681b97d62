package policy

import (
	"math"
	"slices"
	"time"
)

// outcome is the result of a request for its caller.
type outcome int

const (
	inAim   outcome = iota
	late            // complete, but the first event or a pause exceeded the limit of its class
	refused         // rejected without having run
	failed          // interrupted, or its deadline passed
	outcomes
)

// window is the length of the intervals among which Result.WorstWindow is found.
const window = 2 * time.Second

// counts holds the number of requests by outcome.
type counts [outcomes]int

func (c counts) asked() int { return c[inAim] + c[late] + c[refused] + c[failed] }

func (c counts) share(of outcome) float64 {
	if c.asked() == 0 {
		return 0
	}
	return float64(c[of]) / float64(c.asked())
}

// tally collects the statistics of a simulation.
type tally struct {
	sim      *sim
	all      counts
	byClass  []counts
	byRegion []counts
	byWindow []counts
	worth    float64
	owed     float64
	firsts   []time.Duration
	returns  int // retries by callers
	refusals int // requests refused by entries
	picks    int
	states   int // state messages sent by agents
	messages int
	farBytes int // bytes sent between regions
	events   int // stream events sent by engines
}

func newTally(s *sim) *tally {
	return &tally{
		sim: s, byClass: make([]counts, len(s.load.Classes)), byRegion: make([]counts, s.load.Regions),
		byWindow: make([]counts, int(seconds(s.load.Seconds)/window)+1),
	}
}

// counted reports whether a request is included in the results: it arrived after
// the warm-up and early enough to end before the simulation does.
func (t *tally) counted(a *ask) bool {
	return a.asked >= seconds(t.sim.load.WarmSeconds) && a.asked < seconds(t.sim.load.Seconds)-millis(t.sim.load.Callers.DeadlineMillis)
}

func (t *tally) begin(a *ask) {
	if t.counted(a) {
		t.owed += a.class.Worth
	}
}

func (t *tally) end(a *ask) {
	if !t.counted(a) {
		return
	}
	t.all[a.state]++
	t.byClass[a.number][a.state]++
	t.byRegion[a.region][a.state]++
	t.byWindow[int(a.asked/window)][a.state]++
	switch a.state {
	case inAim:
		t.worth += a.class.Worth
	case late:
		t.worth += a.class.LateWorth
	}
	if a.first > 0 {
		t.firsts = append(t.firsts, a.first-a.asked)
	}
}

func (t *tally) message(from, to, bytes int) {
	t.messages++
	if from != to {
		t.farBytes += bytes
	}
}

// Result is the result of one simulation. Shares refer to the requests that arrived
// in the measured interval; see tally.counted.
type Result struct {
	Load    string   `json:"load"`
	Seed    uint64   `json:"seed"`
	Rate    float64  `json:"rate"`
	Entries int      `json:"entries"`
	Engines int      `json:"engines"`
	Regions int      `json:"regions"`
	Without []string `json:"without,omitempty"`
	Near    int      `json:"near"`
	Far     int      `json:"far"`

	Asked        int     `json:"asked"`
	AskedPerS    float64 `json:"askedPerSecond"`
	InAim        float64 `json:"inAim"`
	Late         float64 `json:"late"`
	Refused      float64 `json:"refused"`
	Failed       float64 `json:"failed"`
	Worth        float64 `json:"worth"` // share of the worth of all requests
	WorstClass   float64 `json:"worstClassInAim"`
	WorstRegion  float64 `json:"worstRegionInAim"`
	WorstWindow  float64 `json:"worstWindowInAim"`
	FirstP50     float64 `json:"firstP50Millis"`
	FirstP90     float64 `json:"firstP90Millis"`
	EventsPerS   float64 `json:"eventsPerSecond"`
	FluidPerS    float64 `json:"fluidRequestsPerSecond"` // throughput limit of the engines
	Returns      int     `json:"returns"`
	StatesPerS   float64 `json:"statesPerEntryAndSecond"`
	MessagesPerS float64 `json:"messagesPerEntryAndSecond"`
	FarBytesPerS float64 `json:"bytesBetweenRegionsPerSecond"`
	FeedsMost    int     `json:"feedsOfAnEntry"`
	WallSeconds  float64 `json:"wallSeconds"`
}

// Play simulates a load and returns its result.
func Play(load *Load, opts Options) Result {
	began := time.Now()
	s := newSim(load, opts)
	s.run()
	found := s.out.result()
	found.WallSeconds = time.Since(began).Seconds()
	return found
}

func (t *tally) result() Result {
	s := t.sim
	span := s.load.Seconds
	counted := span - s.load.WarmSeconds - s.load.Callers.DeadlineMillis/1000
	found := Result{
		Load: s.load.Name, Seed: s.opts.Seed, Rate: s.opts.Rate, Entries: len(s.entries), Engines: len(s.order), Regions: s.load.Regions,
		Near: s.opts.Shares.Near, Far: s.opts.Shares.Far,
		Asked: t.all.asked(), AskedPerS: float64(t.all.asked()) / counted,
		InAim: t.all.share(inAim), Late: t.all.share(late), Refused: t.all.share(refused), Failed: t.all.share(failed),
		Worth:      t.worth / math.Max(1, t.owed),
		WorstClass: worst(t.byClass), WorstRegion: worst(t.byRegion), WorstWindow: worst(t.byWindow),
		FirstP50: quantile(t.firsts, 0.5), FirstP90: quantile(t.firsts, 0.9),
		EventsPerS: float64(t.events) / span, FluidPerS: s.fluid(), Returns: t.returns,
		StatesPerS:   float64(t.states) / span / float64(len(s.entries)),
		MessagesPerS: float64(t.messages) / span / float64(len(s.entries)), FarBytesPerS: float64(t.farBytes) / span,
	}
	for name, on := range s.opts.Without {
		if on {
			found.Without = append(found.Without, name)
		}
	}
	slices.Sort(found.Without)
	for _, ent := range s.entries {
		found.FeedsMost = max(found.FeedsMost, len(ent.parts))
	}
	return found
}

// worst returns the lowest share in aim among the parts with at least 20 requests.
func worst(parts []counts) float64 {
	least := 1.0
	for _, part := range parts {
		if part.asked() >= 20 {
			least = min(least, part.share(inAim))
		}
	}
	return least
}

func quantile(times []time.Duration, part float64) float64 {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return float64(sorted[int(part*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

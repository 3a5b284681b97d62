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
	outcomeCount
)

// window is the length of the intervals among which Result.WorstWindow is found.
const window = 2 * time.Second

// counts holds the number of requests by outcome.
type counts [outcomeCount]int

func (c counts) total() int { return c[inAim] + c[late] + c[refused] + c[failed] }

func (c counts) share(of outcome) float64 {
	if c.total() == 0 {
		return 0
	}
	return float64(c[of]) / float64(c.total())
}

// tally collects the statistics of a simulation.
type tally struct {
	sim              *sim
	all              counts
	byClass          []counts
	byRegion         []counts
	byWindow         []counts
	worth            float64
	maxWorth         float64
	firstEventDelays []time.Duration
	retries          int // retries by callers
	refusals         int // requests refused by entries
	dispatchAttempts int
	states           int // state messages sent by agents
	messages         int
	interRegionBytes int // bytes sent between regions
	events           int // stream events sent by engines
}

func newTally(s *sim) *tally {
	return &tally{
		sim: s, byClass: make([]counts, len(s.load.Classes)), byRegion: make([]counts, s.load.Regions),
		byWindow: make([]counts, int(seconds(s.load.Seconds)/window)+1),
	}
}

// counted reports whether a request is included in the results: it arrived after
// the warm-up and early enough to end before the simulation does.
func (t *tally) counted(req *request) bool {
	return req.arrivedAt >= seconds(t.sim.load.WarmSeconds) && req.arrivedAt < seconds(t.sim.load.Seconds)-millis(t.sim.load.Callers.DeadlineMillis)
}

func (t *tally) begin(req *request) {
	if t.counted(req) {
		t.maxWorth += req.class.Worth
	}
}

func (t *tally) end(req *request) {
	if !t.counted(req) {
		return
	}
	t.all[req.outcome]++
	t.byClass[req.classIndex][req.outcome]++
	t.byRegion[req.region][req.outcome]++
	t.byWindow[int(req.arrivedAt/window)][req.outcome]++
	switch req.outcome {
	case inAim:
		t.worth += req.class.Worth
	case late:
		t.worth += req.class.LateWorth
	}
	if req.firstEventAt > 0 {
		t.firstEventDelays = append(t.firstEventDelays, req.firstEventAt-req.arrivedAt)
	}
}

func (t *tally) message(from, to, bytes int) {
	t.messages++
	if from != to {
		t.interRegionBytes += bytes
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

// Simulate simulates a load and returns its result.
func Simulate(load *Load, opts Options) Result {
	began := time.Now()
	s := newSim(load, opts)
	s.run()
	result := s.tally.result()
	result.WallSeconds = time.Since(began).Seconds()
	return result
}

func (t *tally) result() Result {
	s := t.sim
	totalSeconds := s.load.Seconds
	measuredSeconds := totalSeconds - s.load.WarmSeconds - s.load.Callers.DeadlineMillis/1000
	result := Result{
		Load: s.load.Name, Seed: s.opts.Seed, Rate: s.opts.Rate, Entries: len(s.entries), Engines: len(s.order), Regions: s.load.Regions,
		Near: s.opts.Shares.Near, Far: s.opts.Shares.Far,
		Asked: t.all.total(), AskedPerS: float64(t.all.total()) / measuredSeconds,
		InAim: t.all.share(inAim), Late: t.all.share(late), Refused: t.all.share(refused), Failed: t.all.share(failed),
		Worth:      t.worth / math.Max(1, t.maxWorth),
		WorstClass: lowestShareInAim(t.byClass), WorstRegion: lowestShareInAim(t.byRegion), WorstWindow: lowestShareInAim(t.byWindow),
		FirstP50: quantile(t.firstEventDelays, 0.5), FirstP90: quantile(t.firstEventDelays, 0.9),
		EventsPerS: float64(t.events) / totalSeconds, FluidPerS: s.maxThroughput(), Returns: t.retries,
		StatesPerS:   float64(t.states) / totalSeconds / float64(len(s.entries)),
		MessagesPerS: float64(t.messages) / totalSeconds / float64(len(s.entries)), FarBytesPerS: float64(t.interRegionBytes) / totalSeconds,
	}
	for name, on := range s.opts.Without {
		if on {
			result.Without = append(result.Without, name)
		}
	}
	slices.Sort(result.Without)
	for _, ent := range s.entries {
		result.FeedsMost = max(result.FeedsMost, len(ent.assignments))
	}
	return result
}

// lowestShareInAim returns the lowest share in aim among the groups with at least
// 20 requests.
func lowestShareInAim(groups []counts) float64 {
	lowest := 1.0
	for _, group := range groups {
		if group.total() >= 20 {
			lowest = min(lowest, group.share(inAim))
		}
	}
	return lowest
}

func quantile(times []time.Duration, fraction float64) float64 {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return float64(sorted[int(fraction*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

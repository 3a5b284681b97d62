package onsite

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/rollout"
	"comfreyrelay.example/relay/site"
	"comfreyrelay.example/relay/wire"
)

const (
	// planGap is the least time between two plans, so that one plan covers the hosts or entries
	// that register together.
	planGap = 50 * time.Millisecond
	// planInterval is how often a plan is made beside each change of what is known:
	// registrations that lapsed in an outage end without one.
	planInterval = 2 * time.Second
)

// feeds follows the agents of the engines that this entry has a part in, and sends
// the hosts that it guides what is wanted.
type feeds struct {
	state *site.State
	pool  *peer.Pool
	port  uint32 // at which agents serve
	// region of this entry; regions are those of the failure domains.
	self    string // id of this entry
	domain  string // its failure domain
	region  string
	regions map[string]string
	clock   clockwork.Clock
	log     *slog.Logger
	began   time.Time // of this entry
}

// plan is what follows from the knowledge of one moment.
type plan struct {
	others  []string             // ids of the other entries
	parts   map[string]deal.Part // by engine's address
	engines []fleet.Engine       // those with a part
	brief   *brief
	turns   map[string]float64 // hosts' places in a rollout, by engine's address
}

// run follows the engines that are known until ctx ends.
func (f *feeds) run(ctx context.Context) {
	following := map[string]*feed{}
	for ctx.Err() == nil {
		changed := f.state.Changed()
		next := f.plan()
		f.state.Fleet().SetEntries(f.self, next.others)
		f.state.Fleet().SetParts(next.parts)
		f.state.Fleet().SetTurns(next.turns)
		for _, eng := range next.engines {
			if following[eng.Address] == nil {
				following[eng.Address] = f.begin(ctx, eng)
			}
			following[eng.Address].heed(next.parts[eng.Address], next.brief)
		}
		for address, one := range following {
			if _, ok := next.parts[address]; !ok {
				one.cancel()
				delete(following, address)
			}
		}
		f.sleep(ctx, planGap, nil)
		f.sleep(ctx, planInterval, changed)
	}
	for _, one := range following {
		one.cancel()
	}
}

// sleep waits for so long, or until ctx or woken is closed.
func (f *feeds) sleep(ctx context.Context, wait time.Duration, woken <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-woken:
	case <-f.clock.After(wait):
	}
}

// plan shares the engines out and puts together what is sent to hosts.
func (f *feeds) plan() plan {
	engines := f.state.Fleet().Engines()
	places := make([]deal.Place, 0, len(engines))
	for _, eng := range engines {
		places = append(places, deal.Place{ID: eng.Address, Region: f.regionOf(eng.FailureDomain), FailureDomain: eng.FailureDomain})
	}
	var others []deal.Place
	var ids []string
	for id, entry := range f.state.Entries() {
		if id != f.self {
			ids = append(ids, id)
		}
		others = append(others, deal.Place{ID: id, Region: entry.Region, FailureDomain: entry.FailureDomain})
	}
	self := deal.Place{ID: f.self, Region: f.region, FailureDomain: f.domain}
	found := plan{others: ids, parts: deal.New(self, others).Parts(places), brief: f.brief(engines)}
	found.turns = rollout.Places(staying(engines))
	for _, eng := range engines {
		if _, ok := found.parts[eng.Address]; ok {
			found.engines = append(found.engines, eng)
		}
	}
	return found
}

// staying returns the addresses of the engines whose hosts are to hold weights.
func staying(engines []fleet.Engine) []string {
	var found []string
	for _, eng := range engines {
		if !eng.Leaving {
			found = append(found, eng.Address)
		}
	}
	return found
}

func (f *feeds) agentAddress(engine string) string {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return engine
	}
	return net.JoinHostPort(host, strconv.FormatUint(uint64(f.port), 10))
}

// regionOf returns the region of a failure domain; one that is not declared
// counts as a region of its own.
func (f *feeds) regionOf(domain string) string {
	if region := f.regions[domain]; region != "" {
		return region
	}
	return domain
}

func timesOf(state *wire.EngineState) messageTimes {
	return messageTimes{
		agent: state.GetAgentBorn(), sent: time.Duration(state.GetSentMillis()) * time.Millisecond,
		echo: time.Duration(state.GetEchoMillis()) * time.Millisecond,
		held: time.Duration(state.GetEchoHeldMillis()) * time.Millisecond,
	}
}

func stateOf(state *wire.EngineState) fleet.EngineState {
	found := fleet.EngineState{
		Born: state.GetBorn(), Alive: state.GetAlive(), Running: int(state.GetRunning()), Queued: int(state.GetQueued()),
		Pace: state.GetPace(), Busy: state.GetBusy(), Leaving: state.GetLeaving(), Loaded: map[string]uint64{},
		Reading: max(0, int(state.GetReading())-int(state.GetReadingYours())),
	}
	for _, one := range state.GetLoaded() {
		found.Loaded[one.GetModel()] = one.GetVersion()
	}
	return found
}

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
	// minPlanInterval is the minimum time between two plans, so that one plan covers hosts or
	// entries that register together.
	minPlanInterval = 50 * time.Millisecond
	// maxPlanInterval is the maximum time between two plans. Plans are also made without a change
	// of state because registrations that expire during a store outage are removed without one.
	maxPlanInterval = 2 * time.Second
)

// feedManager runs a feed for each engine in which this entry has a part and provides the
// guidance for the hosts that it guides.
type feedManager struct {
	state     *site.State
	pool      *peer.Pool
	agentPort uint32 // port of the agents on all hosts
	// region is the region of this entry, regions the region of each failure domain.
	entryID   string // ID of this entry
	domain    string // failure domain of this entry
	region    string
	regions   map[string]string
	clock     clockwork.Clock
	log       *slog.Logger
	startedAt time.Time // start of this entry, the zero of its message times
}

// plan is the assignment of engines and guidance computed from one state.
type plan struct {
	otherEntries     []string                   // IDs of the other entries
	parts            map[string]deal.Assignment // by engine address
	engines          []fleet.Engine             // engines in which this entry has a part
	guidance         *guidanceSnapshot
	rolloutPositions map[string]float64 // position of each host in a rollout, by engine address
}

// run makes plans and runs the feeds that they require, until ctx is cancelled.
func (f *feedManager) run(ctx context.Context) {
	following := map[string]*feed{}
	for ctx.Err() == nil {
		changed := f.state.Changed()
		next := f.computePlan()
		f.state.Fleet().SetEntries(f.entryID, next.otherEntries, f.state.PeakEntryCount())
		f.state.Fleet().SetAssignments(next.parts)
		f.state.Fleet().SetRolloutPositions(next.rolloutPositions)
		for _, eng := range next.engines {
			if following[eng.Address] == nil {
				following[eng.Address] = f.startFeed(ctx, eng)
			}
			following[eng.Address].setAssignment(next.parts[eng.Address], next.guidance)
		}
		for address, engineFeed := range following {
			if _, ok := next.parts[address]; !ok {
				engineFeed.cancel()
				delete(following, address)
			}
		}
		f.sleep(ctx, minPlanInterval, nil)
		f.sleep(ctx, maxPlanInterval, changed)
	}
	for _, engineFeed := range following {
		engineFeed.cancel()
	}
}

// sleep waits for the given time, or until ctx is cancelled or woken is closed.
func (f *feedManager) sleep(ctx context.Context, wait time.Duration, woken <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-woken:
	case <-f.clock.After(wait):
	}
}

// computePlan divides the engines among the entries and builds the guidance for hosts.
func (f *feedManager) computePlan() plan {
	engines := f.state.Fleet().Engines()
	enginePlaces := make([]deal.Place, 0, len(engines))
	for _, eng := range engines {
		enginePlaces = append(enginePlaces, deal.Place{ID: eng.Address, Region: f.regionOf(eng.FailureDomain), FailureDomain: eng.FailureDomain})
	}
	var entryPlaces []deal.Place
	var otherIDs []string
	for id, entry := range f.state.Entries() {
		if id != f.entryID {
			otherIDs = append(otherIDs, id)
		}
		entryPlaces = append(entryPlaces, deal.Place{ID: id, Region: entry.Region, FailureDomain: entry.FailureDomain})
	}
	self := deal.Place{ID: f.entryID, Region: f.region, FailureDomain: f.domain}
	result := plan{otherEntries: otherIDs, parts: deal.New(self, entryPlaces).Assignments(enginePlaces), guidance: f.buildGuidance(engines)}
	result.rolloutPositions = rollout.Places(remainingAddresses(engines))
	for _, eng := range engines {
		if _, ok := result.parts[eng.Address]; ok {
			result.engines = append(result.engines, eng)
		}
	}
	return result
}

// remainingAddresses returns the addresses of the engines that are not leaving. Their hosts
// should hold weights.
func remainingAddresses(engines []fleet.Engine) []string {
	var addresses []string
	for _, eng := range engines {
		if !eng.Leaving {
			addresses = append(addresses, eng.Address)
		}
	}
	return addresses
}

// agentAddress returns the address of the agent on the engine's host.
func (f *feedManager) agentAddress(engine string) string {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return engine
	}
	return net.JoinHostPort(host, strconv.FormatUint(uint64(f.agentPort), 10))
}

// regionOf returns the region of a failure domain. A domain without a configured region counts as
// a region of its own.
func (f *feedManager) regionOf(domain string) string {
	if region := f.regions[domain]; region != "" {
		return region
	}
	return domain
}

// messageTimesOf returns the times in a state message.
func messageTimesOf(state *wire.EngineState) messageTimes {
	return messageTimes{
		agentStarted: state.GetAgentBorn(), sent: time.Duration(state.GetSentMillis()) * time.Millisecond,
		echo: time.Duration(state.GetEchoMillis()) * time.Millisecond,
		held: time.Duration(state.GetEchoHeldMillis()) * time.Millisecond,
	}
}

// engineStateOf converts a state message. Unread tokens from this entry are not counted, as it tracks them itself.
func engineStateOf(state *wire.EngineState) fleet.EngineState {
	result := fleet.EngineState{
		Born: state.GetBorn(), Alive: state.GetAlive(), Running: int(state.GetRunning()), Queued: int(state.GetQueued()),
		Slowdown: state.GetPace(), Busy: state.GetBusy(), Leaving: state.GetLeaving(), Loaded: map[string]uint64{},
		PendingPrefill: max(0, int(state.GetReading())-int(state.GetReadingYours())),
	}
	for _, weights := range state.GetLoaded() {
		result.Loaded[weights.GetModel()] = weights.GetVersion()
	}
	return result
}

// Package fleet holds one entry's view of the endpoints and selects among them.
//
// It combines three sources: registrations list the endpoints and those that are leaving, agents
// stream the state of their engines, and the entry's own requests show which endpoints answer. The
// caller provides the clock; the package does no I/O.
package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/deal"
)

// Registration is an endpoint's own record in the platform's store.
type Registration struct {
	ID string
	// Born is when this incarnation of the endpoint started, in Unix milliseconds by its own host's
	// clock; 0: unknown. Host clocks differ, so values are compared only for equality, never for
	// order.
	Born          int64
	Service       string
	Address       string // "IP:PORT"
	FailureDomain string
	Slots         int
	Leaving       bool          // gets no new requests
	WarmUp        time.Duration // remaining warm-up time after its start
	Loaded        map[string]uint64
}

// EngineState is the state of an engine as its agent reports it.
type EngineState struct {
	Born     int64 // start time of the reported incarnation; 0: unknown
	Alive    bool
	Running  int
	Queued   int
	Slowdown float64 // slowdown factor; above 1: slower than usual
	Busy     bool    // an order is in progress and no new request is started
	Leaving  bool    // gets no new requests
	Loaded   map[string]uint64
	// Delay is how much longer than usual the report was in transit.
	Delay time.Duration
	// PendingPrefill is the number of prompt tokens from other entries that wait for prefill.
	PendingPrefill int
}

// Fleet holds the endpoints of all services, in one group per service with its own lock. It is safe
// for concurrent use.
type Fleet struct {
	clock  func() time.Time
	random func() float64 // in [0,1)

	mu          sync.RWMutex
	groups      map[string]*Group // by service
	serviceByID map[string]string // by endpoint id
	self        string            // id of this entry
	others      []string          // ids of the other entries
	peakEntries int               // entries that may send requests, 0 if unknown
}

// New returns an empty Fleet.
func New(clock func() time.Time) *Fleet {
	return &Fleet{clock: clock, random: rand.Float64, groups: map[string]*Group{}, serviceByID: map[string]string{}}
}

// SetRandom replaces the random source to make runs reproducible. It must be called before any
// other method.
func (f *Fleet) SetRandom(random func() float64) { f.random = random }

// Group returns the endpoints of a service. The group is created on first use.
func (f *Fleet) Group(service string) *Group {
	f.mu.RLock()
	grp := f.groups[service]
	f.mu.RUnlock()
	if grp != nil {
		return grp
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(service)
}

// group is Group with f.mu held for writing.
func (f *Fleet) group(service string) *Group {
	grp := f.groups[service]
	if grp == nil {
		grp = newGroup(f.clock, f.random)
		grp.self, grp.others, grp.peakEntries = f.self, f.others, f.peakEntries
		f.groups[service] = grp
	}
	return grp
}

// Configure applies the operators' configuration of the services' engines and connection limits.
func (f *Fleet) Configure(cat *catalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cat.Services(func(svc *catalog.Service) {
		f.group(svc.Name).declare(svc.Engine, svc.MaxConns)
	})
}

// IDs returns the ids of all known endpoints.
func (f *Fleet) IDs() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	ids := make([]string, 0, len(f.serviceByID))
	for id := range f.serviceByID {
		ids = append(ids, id)
	}
	return ids
}

// Register adds or updates a registration.
func (f *Fleet) Register(reg Registration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if oldService, ok := f.serviceByID[reg.ID]; ok && oldService != reg.Service {
		f.group(oldService).remove(reg.ID, f.clock())
	}
	f.serviceByID[reg.ID] = reg.Service
	f.group(reg.Service).register(reg)
}

// Remove records that a registration ended. The endpoint is not chosen from the given time on:
// after an outage of the store, a registration may come back until then.
func (f *Fleet) Remove(id string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	service, ok := f.serviceByID[id]
	if !ok {
		return
	}
	delete(f.serviceByID, id)
	f.group(service).remove(id, at)
}

// Observe applies the state that the agent reports for the engine at an address.
func (f *Fleet) Observe(service, address string, state EngineState) {
	f.Group(service).observe(address, state)
}

// SetAssignments sets this entry's assignment for each engine, by address; engines left out are not
// assigned to it. Without assignments, entries that see the same state would choose the same engine
// at the same moment.
func (f *Fleet) SetAssignments(parts map[string]deal.Assignment) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, grp := range f.groups {
		grp.setParts(parts)
	}
}

// SetRolloutPositions sets the hosts' positions in a rollout, 0 to 1, by the addresses of their engines. A
// resumed request goes to an engine that loads its next version late.
func (f *Fleet) SetRolloutPositions(positions map[string]float64) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, grp := range f.groups {
		grp.setRolloutPositions(positions)
	}
}

// PendingPrefill returns the prompt tokens that this entry sent to the engine at the address and that wait
// for prefill.
func (f *Fleet) PendingPrefill(service, address string) int {
	return f.Group(service).prefillAt(address)
}

// FinalAttempts returns the number of requests of this entry in progress at the engine at the address that
// no other engine may resume.
func (f *Fleet) FinalAttempts(service, address string) int {
	return f.Group(service).finalAttemptsAt(address)
}

// Engine is an engine's host, for components that follow its agent.
type Engine struct {
	Service       string
	Address       string // of the engine, "IP:PORT"
	FailureDomain string
	Leaving       bool // loads no further weights
}

// Engines returns all known engines, one per address.
func (f *Fleet) Engines() []Engine {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var list []Engine
	for service, grp := range f.groups {
		list = append(list, grp.engines(service)...)
	}
	return list
}

// Models returns the version of each model that most endpoints report as loaded, the newest of several.
// What a single endpoint reports may be wrong.
func (f *Fleet) Models() map[string]uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	counts := map[string]map[uint64]int{}
	for _, grp := range f.groups {
		grp.countModels(counts)
	}
	found := map[string]uint64{}
	for model, versions := range counts {
		for version, count := range versions {
			most := versions[found[model]]
			if version > 0 && (found[model] == 0 || count > most || count == most && version > found[model]) {
				found[model] = version
			}
		}
	}
	return found
}

// Package fleet keeps what one entry believes of the endpoints and chooses
// among them.
//
// Three sources are joined: registrations say who is there and who leaves,
// engines' agents stream what their engine does, and the entry's own requests
// show who answers. Time is passed in by the clock; nothing here does I/O.
package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/deal"
)

// Registration is what an endpoint reports of itself through the platform.
type Registration struct {
	ID string
	// Born is when this incarnation of the endpoint began, Unix milliseconds by its own
	// host's clock; 0: unknown. Hosts' clocks differ: births are compared for
	// being another, never for being later.
	Born          int64
	Service       string
	Address       string // "IP:PORT"
	FailureDomain string
	Slots         int
	Leaving       bool          // gets nothing new
	Cold          time.Duration // how much longer it is slow after its start
	Loaded        map[string]uint64
}

// EngineState is an engine as its agent sees it.
type EngineState struct {
	Born    int64 // of the incarnation that is reported; 0: unknown
	Alive   bool
	Running int
	Queued  int
	Pace    float64 // over 1: slow
	Busy    bool    // an order is in progress, nothing new is begun
	Leaving bool    // it gets nothing new
	Loaded  map[string]uint64
	// Delay is how much longer than usual the report was on its way.
	Delay time.Duration
	// Reading is the prompt tokens that other entries sent and that are not
	// read yet.
	Reading int
}

// Fleet holds the endpoints of all services, in a group a service with a lock
// of its own. It is safe for concurrent use.
type Fleet struct {
	clock  func() time.Time
	random func() float64 // in [0,1)

	mu          sync.RWMutex
	groups      map[string]*Group // by service
	serviceByID map[string]string // service by endpoint id
	self        string            // id of this entry
	others      []string          // ids of the other entries
}

// New returns an empty Fleet.
func New(clock func() time.Time) *Fleet {
	return &Fleet{clock: clock, random: rand.Float64, groups: map[string]*Group{}, serviceByID: map[string]string{}}
}

// SetRandom replaces the source of chance, for runs that are to repeat. It is called
// before anything else.
func (f *Fleet) SetRandom(random func() float64) { f.random = random }

// Group returns the endpoints of a service; it is made at its first use.
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
		grp.self, grp.others = f.self, f.others
		f.groups[service] = grp
	}
	return grp
}

// Declare takes over what operators say of the services' engines.
func (f *Fleet) Declare(cat *catalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cat.Services(func(svc *catalog.Service) {
		f.group(svc.Name).declare(svc.Engine, svc.MaxConns)
	})
}

// IDs returns the ids of the endpoints known.
func (f *Fleet) IDs() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	ids := make([]string, 0, len(f.serviceByID))
	for id := range f.serviceByID {
		ids = append(ids, id)
	}
	return ids
}

// Register takes over a registration, new or changed.
func (f *Fleet) Register(reg Registration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if oldService, ok := f.serviceByID[reg.ID]; ok && oldService != reg.Service {
		f.group(oldService).remove(reg.ID, f.clock())
	}
	f.serviceByID[reg.ID] = reg.Service
	f.group(reg.Service).register(reg)
}

// Remove notes that a registration ended. The endpoint is chosen no more from
// the moment given on: after an outage of the store a registration may come
// back until then.
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

// Observe takes over what the agent at an engine's address saw.
func (f *Fleet) Observe(service, address string, state EngineState) {
	f.Group(service).observe(address, state)
}

// SetParts sets the entry's part in each engine, by address; it has none in those
// left out. Entries that know the same state would otherwise choose the same engine at
// the same moment.
func (f *Fleet) SetParts(parts map[string]deal.Part) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, grp := range f.groups {
		grp.setParts(parts)
	}
}

// SetTurns sets the hosts' places in a rollout, 0 to 1, by their engines' addresses: what goes
// on after another engine goes where a load comes late.
func (f *Fleet) SetTurns(positions map[string]float64) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, grp := range f.groups {
		grp.setRolloutPositions(positions)
	}
}

// Reading returns the prompt tokens that this entry sent to the engine at the
// address and that are not read yet.
func (f *Fleet) Reading(service, address string) int { return f.Group(service).prefillAt(address) }

// Last returns the requests of this entry in progress at the engine at the address that no
// other engine may go on with.
func (f *Fleet) Last(service, address string) int { return f.Group(service).finalAttemptsAt(address) }

// Engine is an engine's host, for those who follow its agent.
type Engine struct {
	Service       string
	Address       string // of the engine, "IP:PORT"
	FailureDomain string
	Leaving       bool // takes in no weights any more
}

// Engines returns the addresses of all engines known, one for each address.
func (f *Fleet) Engines() []Engine {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var list []Engine
	for service, grp := range f.groups {
		list = append(list, grp.engines(service)...)
	}
	return list
}

// Models returns the highest version of each model that some endpoint has
// loaded.
func (f *Fleet) Models() map[string]uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	found := map[string]uint64{}
	for _, grp := range f.groups {
		grp.addModels(found)
	}
	return found
}

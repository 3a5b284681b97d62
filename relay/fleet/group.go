package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/deal"
)

// Group holds the endpoints of one service. It is safe for concurrent use.
type Group struct {
	clock  func() time.Time
	random func() float64

	mu        sync.Mutex
	engine    *catalog.Engine // nil: a plain service
	maxConns  int             // of one endpoint, for all entries together; 0: unknown
	endpoints map[string]*endpoint
	// sorted holds all endpoints by id, and preferred those that get requests first. In a large
	// fleet an entry considers only a few endpoints for each request.
	sorted, preferred []*endpoint
	// byAddress holds the same endpoints by address: one per address, and those that used the
	// address before until their registrations end.
	byAddress    map[string][]*endpoint
	assigned     bool                   // setParts has been called
	self         string                 // id of this entry
	others       []string               // ids of the other entries
	peakEntries  int                    // entries that may send requests, 0 if unknown
	changed      chan struct{}          // closed and replaced when capacity may have become free
	savedNotices map[string]savedNotice // by id, of endpoints whose registration ended
	// prefillChanged holds, by address, channels that receive a value when this entry's prompt
	// tokens waiting for prefill there change.
	prefillChanged map[string]chan struct{}
}

func newGroup(clock func() time.Time, random func() float64) *Group {
	return &Group{clock: clock, random: random, endpoints: map[string]*endpoint{}, changed: make(chan struct{}), prefillChanged: map[string]chan struct{}{}, savedNotices: map[string]savedNotice{}}
}

// PendingPrefillChanged returns a channel that receives a value after a change of this entry's prompt
// tokens waiting for prefill at the engine at the address, or of its requests there that no other
// engine may resume. Several changes may be merged into one value. The channel supports one reader
// at a time.
func (g *Group) PendingPrefillChanged(address string) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.prefillChanged[address] == nil {
		g.prefillChanged[address] = make(chan struct{}, 1)
	}
	return g.prefillChanged[address]
}

// addPendingPrefill adds prompt tokens that were sent, or removes processed ones if tokens is
// negative. g.mu is held.
func (g *Group) addPendingPrefill(ep *endpoint, tokens int) {
	ep.pendingPrefill += tokens
	g.notifyPrefillChanged(ep.reg.Address)
}

// notifyPrefillChanged signals the channel returned by PendingPrefillChanged, if there
// is one.
func (g *Group) notifyPrefillChanged(address string) {
	select {
	case g.prefillChanged[address] <- struct{}{}:
	default:
	}
}

func (g *Group) declare(engine *catalog.Engine, maxConns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engine, g.maxConns = engine, maxConns
	g.rebuildIndexes()
}

func (g *Group) register(reg Registration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ep := g.endpoints[reg.ID]
	if ep == nil {
		ep = newEndpoint(reg, incarnationTracker{})
		g.endpoints[reg.ID] = ep
		g.rebuildIndexes()
	}
	if ep.incarnations.register(reg.Born) {
		ep = g.startIncarnation(ep)
	}
	g.restoreNotice(ep)
	if !ep.incarnations.isCurrent(reg.Born) {
		reg.Loaded = nil // belongs to an earlier incarnation
	}
	addressChanged := ep.reg.Address != reg.Address
	ep.reg, ep.removedAt = reg, time.Time{}
	if addressChanged {
		g.rebuildIndexes()
	}
	g.notifyChanged()
}

// startIncarnation replaces an endpoint by its next incarnation, which has no requests in progress,
// no models loaded and no recorded failures. Requests that wait for an answer of the previous
// incarnation keep referring to it and learn that it has ended. g.mu is held.
func (g *Group) startIncarnation(previous *endpoint) *endpoint {
	reg := previous.reg
	reg.Loaded = nil
	next := newEndpoint(reg, previous.incarnations)
	next.removedAt, next.reach, next.rolloutPosition = previous.removedAt, previous.reach, previous.rolloutPosition
	previous.superseded = true
	g.endpoints[reg.ID] = next
	g.rebuildIndexes()
	g.notifyPrefillChanged(reg.Address)
	return next
}

func (g *Group) remove(id string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ep := g.endpoints[id]; ep != nil {
		ep.removedAt = at
	}
	g.dropRemoved()
}

// dropRemoved deletes removed endpoints that have no requests in progress. g.mu is held.
func (g *Group) dropRemoved() {
	now := g.clock()
	dropped := false
	for id, ep := range g.endpoints {
		if !ep.removedAt.IsZero() && !now.Before(ep.removedAt) && len(ep.running) == 0 {
			g.saveNotice(now, ep)
			delete(g.endpoints, id)
			dropped = true
		}
	}
	if dropped {
		g.rebuildIndexes()
	}
}

// rebuildIndexes recomputes the lists of endpoints. g.mu is held.
func (g *Group) rebuildIndexes() {
	g.sorted = slices.SortedFunc(maps.Values(g.endpoints), func(left, right *endpoint) int {
		return cmp.Compare(left.reg.ID, right.reg.ID)
	})
	g.byAddress = make(map[string][]*endpoint, len(g.sorted))
	for _, ep := range g.sorted {
		g.byAddress[ep.reg.Address] = append(g.byAddress[ep.reg.Address], ep)
	}
	g.preferred = g.sorted
	if g.assigned && g.engine != nil {
		g.preferred = slices.DeleteFunc(slices.Clone(g.sorted), func(ep *endpoint) bool { return ep.reach == deal.Outside })
	}
}

// observe applies an agent's report to the endpoint that it concerns at the address.
func (g *Group) observe(address string, state EngineState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	endpoints := g.byAddress[address]
	foreign := slices.ContainsFunc(endpoints, func(ep *endpoint) bool { return state.Born != 0 && ep.incarnations.current == state.Born })
	for _, ep := range endpoints {
		if foreign && !ep.incarnations.isCurrent(state.Born) {
			// Another endpoint has the address now, or the agent lags behind.
			ep.foreignReportAt = now
			continue
		}
		if ep.incarnations.observe(state.Born) {
			ep = g.startIncarnation(ep)
		}
		if ep.incarnations.isCurrent(state.Born) {
			ep.foreignReportAt = time.Time{}
			ep.observe(now, state)
		}
	}
	g.notifyChanged()
}

// notifyChanged wakes the requests that wait for capacity. g.mu is held.
func (g *Group) notifyChanged() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Changed returns a channel that is closed when capacity may have become free.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// engines lists the engines of the group, one per address; it is empty for a plain service.
func (g *Group) engines(service string) []Engine {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.engine == nil {
		return nil
	}
	var list []Engine
	for _, address := range slices.Sorted(maps.Keys(g.byAddress)) {
		endpoints := g.byAddress[address]
		stays := slices.ContainsFunc(endpoints, func(ep *endpoint) bool { return !ep.isLeaving() })
		list = append(list, Engine{Service: service, Address: address, FailureDomain: endpoints[0].reg.FailureDomain, Leaving: !stays})
	}
	return list
}

// countModels adds up how many endpoints report each version of each model. An endpoint counts once for
// what its registration says and what its agent reports, which may be newer.
func (g *Group) countModels(counts map[string]map[uint64]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, ep := range g.endpoints {
		loaded := ep.reg.Loaded
		if len(ep.state.Loaded) > 0 {
			loaded = ep.state.Loaded
		}
		for model, version := range loaded {
			if counts[model] == nil {
				counts[model] = map[uint64]int{}
			}
			counts[model][version]++
		}
	}
}

// setParts applies this entry's assignments of engines, by address.
func (g *Group) setParts(parts map[string]deal.Assignment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.assigned = true
	for _, ep := range g.endpoints {
		ep.reach = parts[ep.reg.Address].Reach
	}
	g.rebuildIndexes()
	g.updateLimitShares()
	g.notifyChanged()
}

// setRolloutPositions applies the hosts' positions in a rollout, by address.
func (g *Group) setRolloutPositions(positions map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, ep := range g.endpoints {
		ep.rolloutPosition = positions[ep.reg.Address]
	}
}

// finalAttemptsAt returns the own requests at an address that no other endpoint may resume.
func (g *Group) finalAttemptsAt(address string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, ep := range g.byAddress[address] {
		count += ep.finalAttempts
	}
	return count
}

// prefillAt returns the own prompt tokens at an address that wait for prefill.
func (g *Group) prefillAt(address string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	tokens := 0
	for _, ep := range g.byAddress[address] {
		tokens += ep.pendingPrefill
	}
	return tokens
}

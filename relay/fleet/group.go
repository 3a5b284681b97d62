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
	maxConns  int             // that each endpoint takes of all entries together; 0: unknown
	endpoints map[string]*endpoint
	// order is all of endpoints by id, and reached those that requests are sent to
	// first: of a large fleet an entry looks at few for each request.
	order, reached []*endpoint
	// byAddress is the same by address: one endpoint, and those that had it before
	// until their registrations end.
	byAddress map[string][]*endpoint
	dealt     bool                  // the engines were shared out among the entries
	self      string                // id of this entry
	others    []string              // ids of the other entries
	changed   chan struct{}         // closed and replaced when room may have come
	notices   map[string]keptNotice // by id, of endpoints whose registration ended
	// moved gets a value when what this entry has unread at an address changes.
	moved map[string]chan struct{}
}

func newGroup(clock func() time.Time, random func() float64) *Group {
	return &Group{clock: clock, random: random, endpoints: map[string]*endpoint{}, changed: make(chan struct{}), moved: map[string]chan struct{}{}, notices: map[string]keptNotice{}}
}

// ReadingChanged returns a channel that receives a value after what this entry
// sent to the engine at the address and is not read yet has changed, or how much of it
// can't go on elsewhere; several changes may make one. One reader at a time gets them.
func (g *Group) ReadingChanged(address string) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.moved[address] == nil {
		g.moved[address] = make(chan struct{}, 1)
	}
	return g.moved[address]
}

// addReading counts prompt tokens sent, or read where they are negative; g.mu is
// held.
func (g *Group) addReading(end *endpoint, tokens int) {
	end.reading += tokens
	g.reportReading(end.reg.Address)
}

func (g *Group) reportReading(address string) {
	select {
	case g.moved[address] <- struct{}{}:
	default:
	}
}

func (g *Group) declare(engine *catalog.Engine, maxConns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engine, g.maxConns = engine, maxConns
	g.sort()
}

func (g *Group) register(reg Registration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	end := g.endpoints[reg.ID]
	if end == nil {
		end = newEndpoint(reg, births{})
		g.endpoints[reg.ID] = end
		g.sort()
	}
	if end.births.register(reg.Born) {
		end = g.begin(end)
	}
	g.returnNotice(end)
	if !end.births.accepts(reg.Born) {
		reg.Loaded = nil // of a former incarnation
	}
	moved := end.reg.Address != reg.Address
	end.reg, end.gone = reg, time.Time{}
	if moved {
		g.sort()
	}
	g.wake()
}

// begin replaces an endpoint by its next incarnation, which runs none of what was sent
// to the former one, has nothing loaded and failed at nothing. Who waits for an
// answer of the former incarnation keeps that incarnation and learns that it is over. g.mu is
// held.
func (g *Group) begin(former *endpoint) *endpoint {
	reg := former.reg
	reg.Loaded = nil
	next := newEndpoint(reg, former.births)
	next.gone, next.reach, next.turn = former.gone, former.reach, former.turn
	former.over = true
	g.endpoints[reg.ID] = next
	g.sort()
	g.reportReading(reg.Address)
	return next
}

func (g *Group) remove(id string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if end := g.endpoints[id]; end != nil {
		end.gone = at
	}
	g.forget()
}

// forget drops endpoints that are gone and have no request left.
func (g *Group) forget() {
	now := g.clock()
	dropped := false
	for id, end := range g.endpoints {
		if !end.gone.IsZero() && !now.Before(end.gone) && len(end.running) == 0 {
			g.keepNotice(now, end)
			delete(g.endpoints, id)
			dropped = true
		}
	}
	if dropped {
		g.sort()
	}
}

// sort makes the lists of endpoints again; g.mu is held.
func (g *Group) sort() {
	g.order = slices.SortedFunc(maps.Values(g.endpoints), func(left, right *endpoint) int {
		return cmp.Compare(left.reg.ID, right.reg.ID)
	})
	g.byAddress = make(map[string][]*endpoint, len(g.order))
	for _, end := range g.order {
		g.byAddress[end.reg.Address] = append(g.byAddress[end.reg.Address], end)
	}
	g.reached = g.order
	if g.dealt && g.engine != nil {
		g.reached = slices.DeleteFunc(slices.Clone(g.order), func(end *endpoint) bool { return end.reach == deal.Outside })
	}
}

func (g *Group) observe(address string, state EngineState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	at := g.byAddress[address]
	other := slices.ContainsFunc(at, func(end *endpoint) bool { return state.Born != 0 && end.births.current == state.Born })
	for _, end := range at {
		if other && !end.births.accepts(state.Born) {
			// The address is another endpoint's now, or its agent lags.
			end.otherAt = now
			continue
		}
		if end.births.observe(state.Born) {
			end = g.begin(end)
		}
		if end.births.accepts(state.Born) {
			end.otherAt = time.Time{}
			end.observe(now, state)
		}
	}
	g.wake()
}

// wake lets those who wait for room look again; g.mu is held.
func (g *Group) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Changed returns a channel that is closed when room may have come.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *Group) engines(service string) []Engine {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.engine == nil {
		return nil
	}
	var list []Engine
	for _, address := range slices.Sorted(maps.Keys(g.byAddress)) {
		at := g.byAddress[address]
		stays := slices.ContainsFunc(at, func(end *endpoint) bool { return !end.leaves() })
		list = append(list, Engine{Service: service, Address: address, FailureDomain: at[0].reg.FailureDomain, Leaving: !stays})
	}
	return list
}

func (g *Group) addModels(found map[string]uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, end := range g.endpoints {
		for model, version := range end.reg.Loaded {
			found[model] = max(found[model], version)
		}
		for model, version := range end.state.Loaded {
			found[model] = max(found[model], version)
		}
	}
}

// setParts takes over this entry's part in the engines, by address.
func (g *Group) setParts(parts map[string]deal.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dealt = true
	for _, end := range g.endpoints {
		end.reach = parts[end.reg.Address].Reach
	}
	g.sort()
	g.shareLimits()
	g.wake()
}

// setTurns takes over the hosts' places in a rollout, by address.
func (g *Group) setTurns(turns map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, end := range g.endpoints {
		end.turn = turns[end.reg.Address]
	}
}

// lastAt returns the own requests at an address that no other endpoint may go on with.
func (g *Group) lastAt(address string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, end := range g.byAddress[address] {
		count += end.last
	}
	return count
}

func (g *Group) readingAt(address string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	tokens := 0
	for _, end := range g.byAddress[address] {
		tokens += end.reading
	}
	return tokens
}

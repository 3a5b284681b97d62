package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/catalog"
)

// What choices weigh, in milliseconds of waiting.
const (
	// occupiedCost is what one request in progress weighs: it lengthens a pass
	// little, but a slot that is left is worth something.
	occupiedCost = 4.0
	// awayCost is what an engine weighs that is home to another entry, which
	// may send there at the same moment.
	awayCost = 20.0
	// oldCost is what an engine weighs that still has to load the version
	// wanted: what it runs then will be cut, and goes on elsewhere. A request
	// that was cut once should not be again.
	oldCost      = 30.0
	oldAgainCost = 90.0
	// awaySlots and awayUnread are the slots that are left free at such an
	// engine, and the part of the bound for waiting prompts that holds there.
	awaySlots  = 1
	awayUnread = 0.7
	// farCost is what another failure domain weighs: bytes between domains are
	// paid for and take longer.
	farCost = 45.0
	// chance spreads entries that see the same state over endpoints that are
	// as good as equal.
	chance = 6.0
	// errorCost is what an endpoint that fails every request weighs.
	errorCost = 100.0
	// silenceCost is what an endpoint weighs at which a plain request has been
	// in progress for many times its usual time.
	silenceCost = 60.0
	// silentAfter is that time.
	silentAfter = 400 * time.Millisecond
	// soonUnread is the prompt tokens that may wait at an engine whose version
	// ends shortly: about two passes.
	soonUnread = 1500
	// plainCost is what one request in progress at a plain endpoint weighs.
	plainCost = 10.0
)

// Verdict says what became of a choice.
type Verdict int

// The verdicts.
const (
	Granted Verdict = iota // the grant is good
	Full                   // endpoints serve this, all are full
	Nobody                 // no endpoint serves this now
)

// Need says which endpoint a request needs.
type Need struct {
	Model string // empty: a plain request
	// Floor is the lowest version of the model that may serve.
	Floor uint64
	// SoonFloor will be the floor shortly: an engine below it gets only what it
	// begins at once, since what waits there would begin on an old version, and
	// that from the entry that it is home to, and only while that one hears it in
	// time: others see what it has too late, and what stands in a narrow link
	// reaches it after the end.
	SoonFloor uint64
	// Wanted is the version that every engine should come to; 0 where unknown.
	Wanted uint64
	// Again: the request goes on after another endpoint.
	Again   bool
	Prompt  int // tokens
	Domain  string
	Exclude []Life // endpoints that had the request already
	// Extra is the requests an engine may hold beyond its slots; below 0 it
	// keeps slots free.
	Extra int
	// Unread is the prompt tokens that may wait to be read at an engine, this
	// request\'s own included; 0 bounds nothing.
	Unread  int
	Entries int // entries that share the endpoints
}

// Group holds the endpoints of one service. It is safe for concurrent use.
type Group struct {
	clock func() time.Time

	mu        sync.Mutex
	engine    *catalog.Engine // nil: a plain service
	endpoints map[string]*endpoint
	changed   chan struct{} // closed and replaced when room may have come
	// moved gets a value when what this entry has unread at an address changes.
	moved map[string]chan struct{}
}

func newGroup(clock func() time.Time) *Group {
	return &Group{clock: clock, endpoints: map[string]*endpoint{}, changed: make(chan struct{}), moved: map[string]chan struct{}{}}
}

// ReadingChanged returns a channel that receives a value after what this entry
// sent to the engine at the address and is not read yet has changed; several
// changes may make one. One reader at a time gets them.
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
	g.tellReading(end.reg.Address)
}

func (g *Group) tellReading(address string) {
	select {
	case g.moved[address] <- struct{}{}:
	default:
	}
}

func (g *Group) declare(engine *catalog.Engine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engine = engine
}

func (g *Group) register(reg Registration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	end := g.endpoints[reg.ID]
	if end == nil {
		end = newEndpoint(reg, lives{})
		g.endpoints[reg.ID] = end
	}
	if end.lives.register(reg.Born) {
		end = g.begin(end)
	}
	if !end.lives.told(reg.Born) {
		reg.Loaded = nil // of a former life
	}
	end.reg, end.gone = reg, time.Time{}
	g.wake()
}

// begin replaces an endpoint by its next life, which runs none of what was sent
// to the former one, has nothing loaded and failed at nothing. Who waits for an
// answer of the former life keeps that life and learns that it is over. g.mu is
// held.
func (g *Group) begin(former *endpoint) *endpoint {
	reg := former.reg
	reg.Loaded = nil
	next := newEndpoint(reg, former.lives)
	next.gone, next.home, next.dealt = former.gone, former.home, former.dealt
	former.over = true
	g.endpoints[reg.ID] = next
	g.tellReading(reg.Address)
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
	for id, end := range g.endpoints {
		if !end.gone.IsZero() && !now.Before(end.gone) && len(end.running) == 0 {
			delete(g.endpoints, id)
		}
	}
}

func (g *Group) observe(address string, state EngineState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	at := g.at(address)
	other := slices.ContainsFunc(at, func(end *endpoint) bool { return state.Born != 0 && end.lives.current == state.Born })
	for _, end := range at {
		if other && !end.lives.told(state.Born) {
			// The address is another endpoint's now, or its agent lags.
			end.otherAt = now
			continue
		}
		if end.lives.observe(state.Born) {
			end = g.begin(end)
		}
		if end.lives.told(state.Born) {
			end.otherAt = time.Time{}
			end.observe(now, state)
		}
	}
	g.wake()
}

// at returns the endpoints registered at an address: one, and those that had it
// before until their registrations end.
func (g *Group) at(address string) []*endpoint {
	var found []*endpoint
	for _, end := range g.endpoints {
		if end.reg.Address == address {
			found = append(found, end)
		}
	}
	return found
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
	seen := map[string]bool{}
	var list []Engine
	for _, end := range g.endpoints {
		if !seen[end.reg.Address] {
			seen[end.reg.Address] = true
			list = append(list, Engine{Service: service, Address: end.reg.Address, FailureDomain: end.reg.FailureDomain})
		}
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

// serves reports whether an endpoint may get the request, room aside.
func (g *Group) serves(end *endpoint, need Need, now time.Time) bool {
	if slices.ContainsFunc(need.Exclude, end.life().same) || !end.open(now) {
		return false
	}
	return g.engine == nil || need.Model == "" || end.version(now, need.Model) >= max(1, need.Floor)
}

// Pick chooses an endpoint for a request and counts the request there until
// the grant is done with.
func (g *Group) Pick(need Need) (*Grant, Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	var best *endpoint
	var least float64
	verdict := Nobody
	hears := g.hears(now)
	for _, end := range g.endpoints {
		if !g.serves(end, need, now) {
			continue
		}
		occupied := end.occupancy(now, need.Entries)
		if g.undealt(end, need) {
			verdict = Full
			continue
		}
		if hears && !end.heard(now) && len(end.running) >= end.trust() {
			verdict = Full
			continue
		}
		if occupied >= g.room(end, need) || !g.readsSoon(end, need, now) {
			verdict = Full
			continue
		}
		if score := g.score(end, need, now, occupied); best == nil || score < least {
			best, least = end, score
		}
	}
	if best == nil {
		return nil, verdict
	}
	grant := &Grant{
		group: g, end: best, prompt: need.Prompt,
		life: best.life(), address: best.reg.Address, version: best.version(now, need.Model),
		occupied: best.occupancy(now, need.Entries), unread: best.unread(now), home: best.home,
		stateAge: now.Sub(best.stateAt), delay: best.state.Delay,
	}
	best.running[grant] = now
	if !best.stateAt.IsZero() {
		best.sent = append(best.sent, now)
	}
	g.addReading(best, need.Prompt)
	return grant, Granted
}

// undealt reports whether an engine of another failure domain is left to other
// entries of this one. All entries away from an engine see a slot of it come free
// at the same moment and would send there at once: at 1.2 times what the engines
// can do 34 in 100 of such requests were late, and 4 in 100 of those that went to
// engines of the same domain.
func (g *Group) undealt(end *endpoint, need Need) bool {
	return g.engine != nil && end.reg.FailureDomain != need.Domain && !end.dealt && !need.Again
}

// hears reports whether the agents of half of the engines at least are heard: one
// that is not is then an exception, and else tells more of this entry's own links.
func (g *Group) hears(now time.Time) bool {
	if g.engine == nil {
		return false
	}
	heard := 0
	for _, end := range g.endpoints {
		if end.heard(now) {
			heard++
		}
	}
	return 2*heard >= len(g.endpoints) && heard > 0
}

// room returns the requests that may be in progress at an endpoint before one
// more is sent there. An engine that is home to another entry keeps a slot for
// what that one sends at the same moment.
func (g *Group) room(end *endpoint, need Need) int {
	room := end.reg.Slots + need.Extra
	if g.engine != nil && !end.home && !need.Again {
		room -= awaySlots
	}
	return room
}

// readsSoon reports whether an engine would read the request's prompt in time.
// One that reads nothing gets any.
func (g *Group) readsSoon(end *endpoint, need Need, now time.Time) bool {
	if g.engine == nil || need.Unread <= 0 {
		return true
	}
	unread := end.unread(now)
	if end.version(now, need.Model) < need.SoonFloor {
		return end.home && end.heard(now) && (unread <= 0 || unread+need.Prompt <= soonUnread && end.state.Queued == 0)
	}
	if !end.home && !need.Again {
		need.Unread = int(awayUnread * float64(need.Unread))
	}
	return unread <= 0 || unread+need.Prompt <= need.Unread
}

// score orders the endpoints that have room by the wait to be expected there;
// the least is best.
func (g *Group) score(end *endpoint, need Need, now time.Time, occupied int) float64 {
	score := chance*rand.Float64() + errorCost*end.errors
	if end.reg.FailureDomain != need.Domain {
		score += farCost
	}
	if g.engine == nil {
		if end.oldest(now) > silentAfter {
			score += silenceCost
		}
		return score + plainCost*float64(occupied)
	}
	if !end.home {
		score += awayCost
	}
	if need.Wanted > end.version(now, need.Model) {
		score += oldCost
		if need.Again {
			score += oldAgainCost - oldCost
		}
	}
	wait := occupiedCost*float64(occupied) + g.readMillis(end.unread(now))
	if end.followed(now) && end.state.Pace > 1 {
		wait *= end.state.Pace
	}
	return score + wait
}

// readMillis returns the time to read so many prompt tokens.
func (g *Group) readMillis(tokens int) float64 {
	if g.engine.ReadPerSecond <= 0 {
		return 0
	}
	return float64(tokens) / g.engine.ReadPerSecond * 1000
}

// setEntries deals the engines of each failure domain to the entries of this one
// in turn. Those of the entries' own domain are home to the entry that they are
// dealt to.
func (g *Group) setEntries(domain, self string, entries []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	order := slices.Sorted(slices.Values(entries))
	place := slices.Index(order, self)
	byDomain := map[string][]*endpoint{}
	for _, end := range g.endpoints {
		end.home, end.dealt = false, false
		byDomain[end.reg.FailureDomain] = append(byDomain[end.reg.FailureDomain], end)
	}
	if place < 0 {
		return
	}
	for where, engines := range byDomain {
		slices.SortFunc(engines, func(left, right *endpoint) int { return cmp.Compare(left.reg.Address, right.reg.Address) })
		for i, end := range engines {
			end.dealt = i%len(order) == place
			end.home = end.dealt && where == domain
		}
	}
}

func (g *Group) readingAt(address string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	tokens := 0
	for _, end := range g.endpoints {
		if end.reg.Address == address {
			tokens += end.reading
		}
	}
	return tokens
}

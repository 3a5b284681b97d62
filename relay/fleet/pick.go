package fleet

import (
	"slices"
	"time"

	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/engine"
	"comfreyrelay.example/relay/rollout"
)

// What choices weigh, in milliseconds of waiting.
const (
	// occupiedCost is what one request in progress weighs: it lengthens a pass
	// little, but a slot that is left is worth something.
	runningCost = 4.0
	// awayCost is what an engine weighs that is home to another entry, which
	// may send there at the same moment.
	notHomeCost = 20.0
	// oldCost is what an engine weighs that still has to load the version
	// wanted: what it runs then will be cut, and goes on elsewhere. A request
	// that was cut once should not be again.
	outdatedCost        = 30.0
	outdatedResumedCost = 90.0
	// soonAgainCost is what such an engine weighs more for what goes on, the sooner its turn to
	// load comes; one that waits for what runs cuts nothing off.
	earlyRolloutCost = 500.0
	// awaySlots and awayUnread are the slots that are left free at such an
	// engine, and the part of the bound for waiting prompts that holds there.
	notHomeReservedSlots   = 1
	notHomePrefillFraction = 0.7
	// farCost is what another failure domain weighs: bytes between domains are
	// paid for and take longer.
	otherDomainCost = 45.0
	// chance spreads entries that see the same state over endpoints that are
	// as good as equal.
	maxJitter = 6.0
	// errorCost is what an endpoint that fails every request weighs.
	errorCost = 100.0
	// silenceCost is what an endpoint weighs at which a plain request has been
	// in progress for many times its usual time.
	unresponsiveCost = 60.0
	// silentAfter is that time.
	unresponsiveAfter = 400 * time.Millisecond
	// soonUnread is the prompt tokens that may wait at an engine whose version
	// ends shortly: about two passes.
	endingMaxPrefill = 1500
	// endReserve is left until a version's end beside the time in which its engines
	// begin what is sent there: for links, processors and clocks.
	endMargin = 500 * time.Millisecond
	// sendersAtOnce is the entries that may send to an engine before each learns of
	// the others' requests.
	concurrentSenders = 3
	// plainCost is what one request in progress at a plain endpoint weighs.
	plainRunningCost = 10.0
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
	// only from entries that its reports reach in time: what stands in a narrow link reaches
	// it after the end. Near the end that is the entry that it is home to alone.
	SoonFloor uint64
	// Ends is the time until engines below SoonFloor may begin nothing any more.
	Ends time.Duration
	// Wanted is the version that every engine should come to; 0 where unknown.
	Wanted uint64
	// Again: the request goes on after another endpoint.
	Again bool
	// Last: no other endpoint may go on with it.
	Last    bool
	Prompt  int // tokens
	Domain  string
	Exclude []Incarnation // endpoints that had the request already
	// Extra is the requests an engine may hold beyond its slots; below 0 it
	// keeps slots free.
	Extra int
	// Unread is the prompt tokens that may wait to be read at an engine, this
	// request's own included; 0 bounds nothing.
	Unread  int
	Entries int // entries that share the endpoints
}

// tried reports whether the endpoint had the request already.
func (n Need) tried(ep *endpoint) bool {
	return slices.ContainsFunc(n.Exclude, ep.incarnation().matches)
}

// serves reports whether an endpoint may get the request, room aside.
func (g *Group) eligible(ep *endpoint, need Need, now time.Time) bool {
	return !need.tried(ep) && ep.acceptsNew(now) && g.hasVersion(ep, need, now)
}

// loaded reports whether an endpoint has loaded what the request needs.
func (g *Group) hasVersion(ep *endpoint, need Need, now time.Time) bool {
	return g.engine == nil || need.Model == "" || ep.version(now, need.Model) >= max(1, need.Floor)
}

// Pick chooses an endpoint for a request and counts the request there until
// the grant is done with.
func (g *Group) Pick(need Need) (*Grant, Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	var best *endpoint
	var bestScore float64
	verdict := Nobody
	agentsTimely := g.mostAgentsTimely(now)
	for _, ep := range g.candidates(need) {
		if !g.eligible(ep, need, now) {
			continue
		}
		occupied := ep.occupancy(now, need.Entries)
		if ep.limit.admitsAt(now).After(now) {
			verdict = Full
			continue
		}
		if g.reservedForOthers(ep, need) {
			verdict = Full
			continue
		}
		if agentsTimely && !ep.hasTimelyReport(now) && len(ep.running) >= ep.maxUnreported() {
			verdict = Full
			continue
		}
		if occupied >= g.capacity(ep, need) || g.connLimitReached(ep) || !g.prefillsInTime(ep, need, now) {
			verdict = Full
			continue
		}
		if score := g.score(ep, need, now, occupied); best == nil || score < bestScore {
			best, bestScore = ep, score
		}
	}
	if best == nil {
		return nil, verdict
	}
	grant := &Grant{
		group: g, endpoint: best, prompt: need.Prompt, final: need.Last,
		incarnation: best.incarnation(), address: best.reg.Address, version: best.version(now, need.Model),
		occupancy: best.occupancy(now, need.Entries), pendingPrefill: best.totalPendingPrefill(now), home: best.reach == deal.Home,
		stateAge: best.stateAge(now), reportDelay: best.state.Delay,
	}
	best.running[grant] = now
	best.limit.take(now, g.probeInterval(best.limit.perSecond))
	if !best.stateAt.IsZero() {
		best.sent = append(best.sent, now)
	}
	if need.Last {
		best.finalAttempts++
	}
	g.addPendingPrefill(best, need.Prompt)
	return grant, Granted
}

// left reports whether an engine of another failure domain is left to others because
// the engines are not dealt yet.
func (g *Group) reservedForOthers(ep *endpoint, need Need) bool {
	return g.engine != nil && !g.assigned && !need.Again && ep.reg.FailureDomain != need.Domain
}

// candidates returns the endpoints that a request may go to. Engines outside of this
// entry's part are left to other entries: all entries away from an engine would see a slot of it
// come free at the same moment and send there at once. What goes on after another engine may go
// to any.
func (g *Group) candidates(need Need) []*endpoint {
	if need.Again {
		return g.sorted
	}
	return g.preferred
}

// agentsTimely reports whether the agents of half of the engines that the entry sends to
// report in time: one that does not is then an exception; otherwise the entry's own links
// are the likely cause.
func (g *Group) mostAgentsTimely(now time.Time) bool {
	if g.engine == nil {
		return false
	}
	timely := 0
	for _, ep := range g.preferred {
		if ep.hasTimelyReport(now) {
			timely++
		}
	}
	return 2*timely >= len(g.preferred) && timely > 0
}

// room returns the requests that may be in progress at an endpoint before one
// more is sent there. An engine that is home to another entry keeps a slot for
// what that one sends at the same moment.
func (g *Group) capacity(ep *endpoint, need Need) int {
	slots := ep.reg.Slots + need.Extra
	if g.engine != nil && ep.reach != deal.Home && !need.Again {
		slots -= notHomeReservedSlots
	}
	return slots
}

// readsSoon reports whether an engine would read the request's prompt in time.
// One that reads nothing gets any.
func (g *Group) prefillsInTime(ep *endpoint, need Need, now time.Time) bool {
	if g.engine == nil || need.Unread <= 0 {
		return true
	}
	pending := ep.totalPendingPrefill(now)
	if ep.version(now, need.Model) < need.SoonFloor {
		return g.startsBeforeVersionEnd(ep, need, now, pending)
	}
	if ep.reach != deal.Home && !need.Again {
		need.Unread = int(notHomePrefillFraction * float64(need.Unread))
	}
	return pending <= 0 || pending+need.Prompt <= need.Unread
}

// beginsSoon reports whether an engine whose version ends shortly would begin the
// request before. Up to three entries send to an engine; one that is not its home
// leaves time for what all of them send at the same moment. While its home alone sent
// there, half of what was asked in the second and a half before an end was refused
// beside engines with free slots.
func (g *Group) startsBeforeVersionEnd(ep *endpoint, need Need, now time.Time, pending int) bool {
	if !ep.hasTimelyReport(now) || pending > 0 && (pending+need.Prompt > endingMaxPrefill || ep.state.Queued > 0) {
		return false
	}
	switch ep.reach {
	case deal.Home:
		return true
	case deal.Near:
		startDelay := engine.FirstEvent(g.engine, ep.state.Running+1, pending+need.Prompt)
		if ep.state.Pace > 1 {
			startDelay = time.Duration(ep.state.Pace * float64(startDelay))
		}
		return need.Ends > concurrentSenders*startDelay+endMargin
	}
	return false
}

// score orders the endpoints that have room by the wait to be expected there;
// the least is best.
func (g *Group) score(ep *endpoint, need Need, now time.Time, occupied int) float64 {
	score := maxJitter*g.random() + errorCost*ep.errorRate
	if ep.reg.FailureDomain != need.Domain {
		score += otherDomainCost
	}
	if g.engine == nil {
		if ep.longestRunning(now) > unresponsiveAfter {
			score += unresponsiveCost
		}
		return score + plainRunningCost*float64(occupied)
	}
	if ep.reach != deal.Home {
		score += notHomeCost
	}
	if need.Wanted > ep.version(now, need.Model) {
		score += outdatedCost
		if need.Again {
			score += resumedCost(ep.rolloutPosition) - outdatedCost
		}
	}
	wait := runningCost*float64(occupied) + g.prefillMillis(ep.totalPendingPrefill(now))
	if ep.hasFreshReport(now) && ep.state.Pace > 1 {
		wait *= ep.state.Pace
	}
	return score + wait
}

// againCost returns what an engine that has to load weighs for what goes on after another one.
func resumedCost(position float64) float64 {
	if rollout.RunsDry(position) {
		return outdatedResumedCost
	}
	return outdatedResumedCost + earlyRolloutCost*(1-position)
}

// readMillis returns the time to read so many prompt tokens.
func (g *Group) prefillMillis(tokens int) float64 {
	if g.engine.ReadPerSecond <= 0 {
		return 0
	}
	return float64(tokens) / g.engine.ReadPerSecond * 1000
}

package fleet

import (
	"slices"
	"time"

	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/engine"
	"comfreyrelay.example/relay/rollout"
)

// Weights of the score, in milliseconds of expected wait.
const (
	// runningCost is the weight of one request in progress: it lengthens a decoding pass only a
	// little, but a free slot has some value.
	runningCost = 4.0
	// notHomeCost is the weight of an engine whose home is another entry: that entry may send there
	// at the same moment.
	notHomeCost = 20.0
	// outdatedCost is the weight of an engine that has yet to load the wanted version: the load
	// will cut off its requests, which then resume elsewhere. outdatedResumedCost replaces it for a
	// request that was cut off once and should not be again.
	outdatedCost        = 30.0
	outdatedResumedCost = 90.0
	// earlyRolloutCost is the additional weight of such an engine for a resumed request, in full if
	// its host is first in the rollout. An engine that waits for its requests to end before it
	// loads cuts none off.
	earlyRolloutCost = 500.0
	// notHomeReservedSlots is the number of slots left free at an engine whose home is another
	// entry, and notHomePrefillFraction the part of the bound on waiting prompt tokens that applies
	// there.
	notHomeReservedSlots   = 1
	notHomePrefillFraction = 0.7
	// otherDomainCost is the weight of another failure domain: traffic between domains is billed
	// and takes longer.
	otherDomainCost = 45.0
	// maxJitter spreads entries that see the same state over endpoints with nearly equal scores.
	maxJitter = 6.0
	// errorCost is the weight of an endpoint that fails every request.
	errorCost = 100.0
	// unresponsiveCost is the weight of a plain endpoint at which a request has been in progress
	// for unresponsiveAfter, many times its usual time.
	unresponsiveCost  = 60.0
	unresponsiveAfter = 400 * time.Millisecond
	// endingMaxPrefill is the number of prompt tokens that may wait at an engine whose version ends
	// shortly: about two passes.
	endingMaxPrefill = 1500
	// endMargin is the time left before a version ends in addition to the time in which its engines
	// start the requests sent there. It covers network, scheduling and clock differences.
	endMargin = 500 * time.Millisecond
	// concurrentSenders is the number of entries that may send to an engine before each learns of
	// the others' requests.
	concurrentSenders = 3
	// plainRunningCost is the weight of one request in progress at a plain endpoint.
	plainRunningCost = 10.0
)

// Verdict is the result of Pick.
type Verdict int

// Results of Pick.
const (
	Granted    Verdict = iota // an endpoint was chosen
	Full                      // endpoints serve the request, but none has capacity
	NoEndpoint                // no endpoint serves the request now
)

// Need describes which endpoint a request needs.
type Need struct {
	Model string // empty: a plain request
	// Floor is the lowest version of the model that may serve the request.
	Floor uint64
	// SoonFloor will be the floor shortly. An engine below it gets only requests that it starts at
	// once, since a waiting request would start on an outdated version, and only from entries that
	// receive its reports in time: a request held up in a slow link would arrive after the end.
	// Near the end only its home entry sends there.
	SoonFloor uint64
	// VersionEndsIn is the time after which engines below SoonFloor must not start any request.
	VersionEndsIn time.Duration
	// Wanted is the version that every engine should reach; 0: unknown.
	Wanted uint64
	// Resumed is set if the request was sent to another endpoint before and now resumes or is
	// retried.
	Resumed bool
	// FinalAttempt is set if no other endpoint may resume the request.
	FinalAttempt bool
	Prompt       int // tokens
	Domain       string
	Exclude      []Incarnation // endpoints that got the request already
	// Extra is the number of requests an engine may hold beyond its slots; a negative value keeps
	// slots free.
	Extra int
	// MaxPendingPrefill is the bound on prompt tokens waiting for prefill at an engine, including this
	// request's; 0: no bound.
	MaxPendingPrefill int
	Entries           int // entries that share the endpoints
}

// tried reports whether the endpoint got the request already.
func (n Need) tried(ep *endpoint) bool {
	return slices.ContainsFunc(n.Exclude, ep.incarnation().matches)
}

// eligible reports whether an endpoint may get the request, apart from its capacity.
func (g *Group) eligible(ep *endpoint, need Need, now time.Time) bool {
	return !need.tried(ep) && ep.acceptsNew(now) && g.hasVersion(ep, need, now)
}

// hasVersion reports whether an endpoint has loaded the model version that the request needs.
func (g *Group) hasVersion(ep *endpoint, need Need, now time.Time) bool {
	return g.engine == nil || need.Model == "" || ep.version(now, need.Model) >= max(1, need.Floor)
}

// Pick chooses an endpoint for a request. The request counts there until Grant.Done is called.
func (g *Group) Pick(need Need) (*Grant, Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	var best *endpoint
	var bestScore float64
	verdict := NoEndpoint
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
		group: g, endpoint: best, prompt: need.Prompt, final: need.FinalAttempt,
		incarnation: best.incarnation(), address: best.reg.Address, version: best.version(now, need.Model),
		occupancy: best.occupancy(now, need.Entries), pendingPrefill: best.totalPendingPrefill(now), home: best.reach == deal.Home,
		stateAge: best.stateAge(now), reportDelay: best.state.Delay,
	}
	best.running[grant] = now
	best.limit.take(now, g.probeInterval(best.limit.perSecond))
	if !best.stateAt.IsZero() {
		best.sent = append(best.sent, now)
	}
	if need.FinalAttempt {
		best.finalAttempts++
	}
	g.addPendingPrefill(best, need.Prompt)
	return grant, Granted
}

// reservedForOthers reports whether an engine of another failure domain must be left to other
// entries because engines are not assigned yet.
func (g *Group) reservedForOthers(ep *endpoint, need Need) bool {
	return g.engine != nil && !g.assigned && !need.Resumed && ep.reg.FailureDomain != need.Domain
}

// candidates returns the endpoints that a request may go to. Engines not assigned to this entry are
// left to others: otherwise all entries would see a slot become free at the same moment and send
// there at once. A resumed request may go to any engine.
func (g *Group) candidates(need Need) []*endpoint {
	if need.Resumed {
		return g.sorted
	}
	return g.preferred
}

// mostAgentsTimely reports whether the agents of at least half of the engines that this entry sends
// to report in time. A late agent is then an exception; otherwise the entry's own links are the
// likely cause.
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

// capacity returns the number of requests in progress at which an endpoint gets no more. An engine
// whose home is another entry keeps a slot free for what that entry sends at the same moment.
func (g *Group) capacity(ep *endpoint, need Need) int {
	slots := ep.reg.Slots + need.Extra
	if g.engine != nil && ep.reach != deal.Home && !need.Resumed {
		slots -= notHomeReservedSlots
	}
	return slots
}

// prefillsInTime reports whether an engine would process the request's prompt in time. An engine
// with no prompt tokens waiting takes any prompt.
func (g *Group) prefillsInTime(ep *endpoint, need Need, now time.Time) bool {
	if g.engine == nil || need.MaxPendingPrefill <= 0 {
		return true
	}
	pending := ep.totalPendingPrefill(now)
	if ep.version(now, need.Model) < need.SoonFloor {
		return g.startsBeforeVersionEnd(ep, need, now, pending)
	}
	if ep.reach != deal.Home && !need.Resumed {
		need.MaxPendingPrefill = int(notHomePrefillFraction * float64(need.MaxPendingPrefill))
	}
	return pending <= 0 || pending+need.Prompt <= need.MaxPendingPrefill
}

// startsBeforeVersionEnd reports whether an engine whose version ends shortly would start the
// request before that. Up to three entries send to an engine; an entry that is not its home leaves
// time for what all of them send at the same moment. When only the home entry sent there, half of
// the requests in the last 1.5 s before the end were refused while engines had free slots.
func (g *Group) startsBeforeVersionEnd(ep *endpoint, need Need, now time.Time, pending int) bool {
	if !ep.hasTimelyReport(now) || pending > 0 && (pending+need.Prompt > endingMaxPrefill || ep.state.Queued > 0) {
		return false
	}
	switch ep.reach {
	case deal.Home:
		return true
	case deal.Near:
		startDelay := engine.FirstEventTime(g.engine, ep.state.Running+1, pending+need.Prompt)
		if ep.state.Slowdown > 1 {
			startDelay = time.Duration(ep.state.Slowdown * float64(startDelay))
		}
		return need.VersionEndsIn > concurrentSenders*startDelay+endMargin
	}
	return false
}

// score returns the expected wait in milliseconds at an endpoint that has capacity, plus penalties.
// The lowest score is best.
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
		if need.Resumed {
			score += resumedCost(ep.rolloutPosition) - outdatedCost
		}
	}
	wait := runningCost*float64(occupied) + g.prefillMillis(ep.totalPendingPrefill(now))
	if ep.hasFreshReport(now) && ep.state.Slowdown > 1 {
		wait *= ep.state.Slowdown
	}
	return score + wait
}

// resumedCost returns the weight of an engine that has yet to load the wanted version, for a
// resumed request.
func resumedCost(position float64) float64 {
	if rollout.LoadsAfterDeadline(position) {
		return outdatedResumedCost
	}
	return outdatedResumedCost + earlyRolloutCost*(1-position)
}

// prefillMillis returns the time in milliseconds to process a number of prompt tokens.
func (g *Group) prefillMillis(tokens int) float64 {
	if g.engine.PromptTokensPerSecond <= 0 {
		return 0
	}
	return float64(tokens) / g.engine.PromptTokensPerSecond * 1000
}

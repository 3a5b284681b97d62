package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is the type of an event, as printed in plans and histories.
type Kind string

// Event kinds.
const (
	killHost       Kind = "killHost"
	killEntry      Kind = "killEntry"
	pauseHost      Kind = "pauseHost"
	pauseEntry     Kind = "pauseEntry"
	leaveHost      Kind = "leaveHost"
	leaveEntry     Kind = "leaveEntry"
	slowEngine     Kind = "slowEngine"
	failFastEngine Kind = "failFastEngine"
	breakEngine    Kind = "breakEngine"
	stallEngine    Kind = "stallEngine"
	refuseLoad     Kind = "refuseLoad"
	dropLoad       Kind = "dropLoad"
	serviceFaults  Kind = "serviceFaults"
	kvDown         Kind = "kvDown"
	kvSlow         Kind = "kvSlow"
	kvLosesReplies Kind = "kvLosesReplies"
	kvWatchSilent  Kind = "kvWatchSilent"
	kvCompact      Kind = "kvCompact"
	originCorrupt  Kind = "originCorrupt"
	originDown     Kind = "originDown"
	listEmpty      Kind = "listEmpty"
	listDown       Kind = "listDown"
	newVersion     Kind = "newVersion"
	formerVersion  Kind = "formerVersion"
	newLimits      Kind = "newLimits"
	twoOperators   Kind = "twoOperators"
	noTarget            = -1
	planSeedStream      = 7 // separates the plan's random numbers from the load's
)

// targetKind is the kind of component that an event affects.
type targetKind int

const (
	targetDeployment targetKind = iota // the platform services or the document
	targetEntry
	targetHost
	targetService
)

// exclusionGroup names a set of events that change the same fault settings.
// Only one event of a group is active at a time, because the end of one resets
// the settings and would end the other too.
type exclusionGroup string

// eventRule defines how often one kind of event is drawn, its target and its
// length.
type eventRule struct {
	kind   Kind
	target targetKind
	weight int
	// minLength and maxLength bound the event's length, inclusively.
	minLength, maxLength time.Duration
	group                exclusionGroup
}

var eventRules = []eventRule{
	{killHost, targetHost, 4, time.Second, 6 * time.Second, ""},
	{killEntry, targetEntry, 3, time.Second, 5 * time.Second, ""},
	{pauseHost, targetHost, 4, time.Second, 7 * time.Second, ""},
	{pauseEntry, targetEntry, 4, time.Second, 7 * time.Second, ""},
	{leaveHost, targetHost, 3, time.Second, 4 * time.Second, ""},
	{leaveEntry, targetEntry, 3, time.Second, 4 * time.Second, ""},
	{slowEngine, targetHost, 2, 2 * time.Second, 8 * time.Second, ""},
	{failFastEngine, targetHost, 2, 2 * time.Second, 8 * time.Second, ""},
	{breakEngine, targetHost, 3, time.Second, 5 * time.Second, ""},
	{stallEngine, targetHost, 2, time.Second, 5 * time.Second, ""},
	{refuseLoad, targetHost, 1, 2 * time.Second, 6 * time.Second, ""},
	{dropLoad, targetHost, 1, 2 * time.Second, 6 * time.Second, ""},
	{serviceFaults, targetService, 3, 2 * time.Second, 8 * time.Second, ""},
	{kvDown, targetDeployment, 3, time.Second, 8 * time.Second, "kv"},
	{kvSlow, targetDeployment, 2, 2 * time.Second, 6 * time.Second, "kv"},
	{kvLosesReplies, targetDeployment, 3, 2 * time.Second, 8 * time.Second, "kv"},
	{kvWatchSilent, targetDeployment, 2, 2 * time.Second, 8 * time.Second, "kv"},
	{kvCompact, targetDeployment, 1, time.Second, time.Second, "kv"},
	{originCorrupt, targetDeployment, 2, 2 * time.Second, 8 * time.Second, "origin"},
	{originDown, targetDeployment, 2, time.Second, 5 * time.Second, "origin"},
	{listEmpty, targetDeployment, 1, 2 * time.Second, 8 * time.Second, "list"},
	{listDown, targetDeployment, 1, 2 * time.Second, 8 * time.Second, "list"},
	{newVersion, targetDeployment, 8, time.Second, time.Second, "document"},
	{formerVersion, targetDeployment, 2, time.Second, time.Second, "document"},
	{newLimits, targetDeployment, 6, time.Second, time.Second, "document"},
	{twoOperators, targetDeployment, 4, time.Second, time.Second, "document"},
}

// Event is one planned fault or document change.
type Event struct {
	At     time.Duration // offset from the start of the run
	Kind   Kind
	Target int // index among entries, hosts or services; noTarget for the deployment
	Length time.Duration
}

// String describes the event in the history of a violation.
func (e Event) String() string {
	if e.Target == noTarget {
		return fmt.Sprintf("%.1fs %s for %.1fs", e.At.Seconds(), e.Kind, e.Length.Seconds())
	}
	return fmt.Sprintf("%.1fs %s %d for %.1fs", e.At.Seconds(), e.Kind, e.Target, e.Length.Seconds())
}

// Sizes holds the number of possible targets of each kind.
type Sizes struct {
	Entries, Hosts, Services int
}

// Limits on the rate of faults, so that the deployment remains able to serve.
const (
	meanInterval = 900 * time.Millisecond
	// recovery is the time a target has to recover before its next event.
	recovery = 3 * time.Second
)

// planner draws random events. busyUntil holds the time until which a target or
// exclusion group accepts no further event.
type planner struct {
	rng       *rand.Rand
	sizes     Sizes
	busyUntil map[string]time.Duration
}

// Plan returns the events of a run; the same arguments give the same events.
func Plan(seed uint64, length time.Duration, sizes Sizes) []Event {
	p := &planner{rng: rand.New(rand.NewPCG(seed, planSeedStream)), sizes: sizes, busyUntil: map[string]time.Duration{}}
	var events []Event
	for at := p.nextInterval(); at < length; at += p.nextInterval() {
		if event, ok := p.drawEvent(at); ok {
			events = append(events, event)
		}
	}
	return events
}

// nextInterval draws the time to the next event, exponentially distributed
// around meanInterval.
func (p *planner) nextInterval() time.Duration {
	return time.Duration(p.rng.ExpFloat64() * float64(meanInterval))
}

// drawEvent draws the event at the given time. It returns false if the target or
// exclusion group is still busy, or if too many targets of that kind are.
func (p *planner) drawEvent(at time.Duration) (Event, bool) {
	rule := p.drawRule()
	length := rule.minLength + time.Duration(p.rng.Int64N(int64(rule.maxLength-rule.minLength)+1))
	event := Event{At: at, Kind: rule.kind, Target: noTarget, Length: length}
	key := string(rule.group)
	if rule.target != targetDeployment {
		event.Target = p.rng.IntN(p.targetCount(rule.target))
		key = fmt.Sprintf("%d-%d", rule.target, event.Target)
	}
	if p.busyUntil[key] > at || p.affectedCount(rule.target, at) >= p.maxAffected(rule.target) {
		return Event{}, false
	}
	p.busyUntil[key] = at + length + recovery
	return event, true
}

// drawRule picks a rule at random, in proportion to the weights.
func (p *planner) drawRule() eventRule {
	totalWeight := 0
	for _, candidate := range eventRules {
		totalWeight += candidate.weight
	}
	remaining := p.rng.IntN(totalWeight)
	for _, candidate := range eventRules {
		if remaining -= candidate.weight; remaining < 0 {
			return candidate
		}
	}
	return eventRules[len(eventRules)-1]
}

// targetCount returns the number of targets of a kind.
func (p *planner) targetCount(of targetKind) int {
	switch of {
	case targetEntry:
		return p.sizes.Entries
	case targetHost:
		return p.sizes.Hosts
	case targetService:
		return p.sizes.Services
	case targetDeployment:
	}
	return 1
}

// maxAffected returns how many targets of a kind may be affected at once: fewer
// than half, but at least one.
func (p *planner) maxAffected(of targetKind) int {
	if of == targetDeployment {
		return len(eventRules)
	}
	return max(1, (p.targetCount(of)-1)/2)
}

// affectedCount returns how many targets of a kind are busy at the given time.
func (p *planner) affectedCount(of targetKind, at time.Duration) int {
	count := 0
	for i := range p.targetCount(of) {
		if p.busyUntil[fmt.Sprintf("%d-%d", of, i)] > at {
			count++
		}
	}
	return count
}

// DefaultPlan returns the events that Run executes.
func DefaultPlan(seed uint64, length time.Duration) []Event {
	return Plan(seed, length, Sizes{Entries: entryCount, Hosts: hostCount, Services: serviceCount})
}

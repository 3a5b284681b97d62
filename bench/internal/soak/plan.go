package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind names one kind of event.
type Kind string

// The kinds of event of a run.
const (
	killHost        Kind = "killHost"
	killEntry       Kind = "killEntry"
	pauseHost       Kind = "pauseHost"
	pauseEntry      Kind = "pauseEntry"
	leaveHost       Kind = "leaveHost"
	leaveEntry      Kind = "leaveEntry"
	slowEngine      Kind = "slowEngine"
	failFastEngine  Kind = "failFastEngine"
	breakEngine     Kind = "breakEngine"
	stallEngine     Kind = "stallEngine"
	refuseLoad      Kind = "refuseLoad"
	dropLoad        Kind = "dropLoad"
	serviceFaults   Kind = "serviceFaults"
	kvDown          Kind = "kvDown"
	kvSlow          Kind = "kvSlow"
	kvLosesReplies  Kind = "kvLosesReplies"
	kvWatchSilent   Kind = "kvWatchSilent"
	kvCompact       Kind = "kvCompact"
	originCorrupt   Kind = "originCorrupt"
	originDown      Kind = "originDown"
	listEmpty       Kind = "listEmpty"
	listDown        Kind = "listDown"
	newVersion      Kind = "newVersion"
	formerVersion   Kind = "formerVersion"
	newLimits       Kind = "newLimits"
	twoOperators    Kind = "twoOperators"
	noTarget             = -1
	firstSeedStream      = 7 // keeps the plan's numbers apart from the load's
)

// target says what an event strikes.
type target int

const (
	theDeployment target = iota // the platform or the document
	anEntry
	aHost
	aService
)

// knob holds events that set the same knobs: one of them lasts at a time,
// because the end of one would end the other too.
type knob string

// rule is how one kind of event is drawn.
type rule struct {
	kind   Kind
	target target
	weight int
	// shortest and longest bound how long it lasts.
	shortest, longest time.Duration
	knob              knob
}

var rules = []rule{
	{killHost, aHost, 4, time.Second, 6 * time.Second, ""},
	{killEntry, anEntry, 3, time.Second, 5 * time.Second, ""},
	{pauseHost, aHost, 4, time.Second, 7 * time.Second, ""},
	{pauseEntry, anEntry, 4, time.Second, 7 * time.Second, ""},
	{leaveHost, aHost, 3, time.Second, 4 * time.Second, ""},
	{leaveEntry, anEntry, 3, time.Second, 4 * time.Second, ""},
	{slowEngine, aHost, 2, 2 * time.Second, 8 * time.Second, ""},
	{failFastEngine, aHost, 2, 2 * time.Second, 8 * time.Second, ""},
	{breakEngine, aHost, 3, time.Second, 5 * time.Second, ""},
	{stallEngine, aHost, 2, time.Second, 5 * time.Second, ""},
	{refuseLoad, aHost, 1, 2 * time.Second, 6 * time.Second, ""},
	{dropLoad, aHost, 1, 2 * time.Second, 6 * time.Second, ""},
	{serviceFaults, aService, 3, 2 * time.Second, 8 * time.Second, ""},
	{kvDown, theDeployment, 3, time.Second, 8 * time.Second, "kv"},
	{kvSlow, theDeployment, 2, 2 * time.Second, 6 * time.Second, "kv"},
	{kvLosesReplies, theDeployment, 3, 2 * time.Second, 8 * time.Second, "kv"},
	{kvWatchSilent, theDeployment, 2, 2 * time.Second, 8 * time.Second, "kv"},
	{kvCompact, theDeployment, 1, time.Second, time.Second, "kv"},
	{originCorrupt, theDeployment, 2, 2 * time.Second, 8 * time.Second, "origin"},
	{originDown, theDeployment, 2, time.Second, 5 * time.Second, "origin"},
	{listEmpty, theDeployment, 1, 2 * time.Second, 8 * time.Second, "list"},
	{listDown, theDeployment, 1, 2 * time.Second, 8 * time.Second, "list"},
	{newVersion, theDeployment, 8, time.Second, time.Second, "document"},
	{formerVersion, theDeployment, 2, time.Second, time.Second, "document"},
	{newLimits, theDeployment, 6, time.Second, time.Second, "document"},
	{twoOperators, theDeployment, 4, time.Second, time.Second, "document"},
}

// Event is one thing that happens to the deployment.
type Event struct {
	At     time.Duration // since the start
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

// Sizes count what events can strike.
type Sizes struct {
	Entries, Hosts, Services int
}

// Bounds of what is struck at a time: the deployment must be able to serve.
const (
	meanGap = 900 * time.Millisecond
	// recovery is what a target gets to come back before it is struck again.
	recovery = 3 * time.Second
)

// planner draws events; busy holds until when a target or knob is taken.
type planner struct {
	random *rand.Rand
	sizes  Sizes
	busy   map[string]time.Duration
}

// Plan returns the events of a run; the same arguments give the same events.
func Plan(seed uint64, length time.Duration, sizes Sizes) []Event {
	p := &planner{random: rand.New(rand.NewPCG(seed, firstSeedStream)), sizes: sizes, busy: map[string]time.Duration{}}
	var events []Event
	for at := p.gap(); at < length; at += p.gap() {
		if event, ok := p.draw(at); ok {
			events = append(events, event)
		}
	}
	return events
}

func (p *planner) gap() time.Duration {
	return time.Duration(p.random.ExpFloat64() * float64(meanGap))
}

// draw returns no event where its target is still struck by another, or too
// many of its kind are.
func (p *planner) draw(at time.Duration) (Event, bool) {
	drawn := p.rule()
	length := drawn.shortest + time.Duration(p.random.Int64N(int64(drawn.longest-drawn.shortest)+1))
	event := Event{At: at, Kind: drawn.kind, Target: noTarget, Length: length}
	name := string(drawn.knob)
	if drawn.target != theDeployment {
		event.Target = p.random.IntN(p.count(drawn.target))
		name = fmt.Sprintf("%d-%d", drawn.target, event.Target)
	}
	if p.busy[name] > at || p.struck(drawn.target, at) >= p.most(drawn.target) {
		return Event{}, false
	}
	p.busy[name] = at + length + recovery
	return event, true
}

func (p *planner) rule() rule {
	sum := 0
	for _, one := range rules {
		sum += one.weight
	}
	at := p.random.IntN(sum)
	for _, one := range rules {
		if at -= one.weight; at < 0 {
			return one
		}
	}
	return rules[len(rules)-1]
}

func (p *planner) count(of target) int {
	switch of {
	case anEntry:
		return p.sizes.Entries
	case aHost:
		return p.sizes.Hosts
	case aService:
		return p.sizes.Services
	case theDeployment:
	}
	return 1
}

// most is how many targets of a kind may be struck at once: under half.
func (p *planner) most(of target) int {
	if of == theDeployment {
		return len(rules)
	}
	return max(1, (p.count(of)-1)/2)
}

func (p *planner) struck(of target, at time.Duration) int {
	count := 0
	for i := range p.count(of) {
		if p.busy[fmt.Sprintf("%d-%d", of, i)] > at {
			count++
		}
	}
	return count
}

// DefaultPlan returns the events that Run lets happen.
func DefaultPlan(seed uint64, length time.Duration) []Event {
	return Plan(seed, length, Sizes{Entries: entryCount, Hosts: hostCount, Services: serviceCount})
}

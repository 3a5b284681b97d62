package fallback

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyrelay.example/relay/placement"
	"comfreyrelay.example/relay/rendezvous"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// Durations in steps of one second.
const (
	fetchSteps    = 20 // fetching and loading a model
	unwantedSteps = 30 // after which agent/internal/orders drops unwanted weights
	lostSteps     = 4  // until a host's home entry reports that it is lost
)

// machine simulates a host and its agent.
type machine struct {
	id       string
	alive    bool
	diedAt   int
	last     *wire.HostReport // last report before it died
	servesAt int              // step in which it began to serve
	want     string           // model to serve; empty if none
	has      string           // model that the engine serves
	fetched  int              // steps spent on want
	unwanted int              // steps since want became empty
	taken    string           // model assigned by the strategy instead of the plan
	core     *Core
	// observed contains this host's latest observation of each other host.
	observed map[string]observation
}

// observation is what one host knows about another.
type observation struct {
	report *wire.HostReport
	at     int
	lost   bool
}

// run simulates a failure domain with its planner and the key-value service.
type run struct {
	rng           *rand.Rand
	step          int
	up            bool // whether the service is available
	upFor         int
	confirmedStep int
	doc           *wire.Document
	plan          *wire.Plan
	machines      map[string]*machine
	order         []string       // sorted host IDs
	absentSteps   map[string]int // steps for which the planner has seen each host absent
	// reportChance is the probability, per step, that a host receives a report
	// of another host.
	reportChance float64
	// strategy sets machine.taken.
	strategy     func(r *run, m *machine)
	switches     int // number of times a host left a model that it served for another
	missing      int // missing replicas, summed over the steps
	maxExcess    int // largest number of replicas beyond the count in a step
	hostsCreated int
	// plannerOff disables the planner.
	plannerOff bool
}

// newRun creates a run and advances it by 60 steps, so that it starts settled.
func newRun(seed uint64, hosts int, counts map[string]int, strategy func(r *run, m *machine)) *run {
	r := &run{
		rng: rand.New(rand.NewPCG(seed, 1)), up: true, doc: &wire.Document{},
		machines: map[string]*machine{}, absentSteps: map[string]int{}, reportChance: 1, strategy: strategy,
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		r.doc.Models = append(r.doc.Models, &wire.Model{
			Name: name, Version: "v1", Replicas: []*wire.Replicas{{FailureDomain: "a", Count: uint32(counts[name])}},
		})
	}
	for range hosts {
		r.add()
	}
	for range 60 {
		r.advance()
	}
	r.switches, r.missing, r.maxExcess = 0, 0, 0
	return r
}

// add starts a host under a new ID.
func (r *run) add() *machine {
	m := &machine{id: fmt.Sprintf("h%03d", r.hostsCreated), alive: true, core: New(DefaultLimits()), observed: map[string]observation{}}
	r.hostsCreated++
	r.machines[m.id] = m
	r.order = append(r.order, m.id)
	return m
}

// kill stops a host, which loses its model.
func (r *run) kill(id string) {
	m := r.machines[id]
	m.last = r.report(m)
	m.alive, m.diedAt = false, r.step
	m.want, m.has, m.taken, m.fetched = "", "", "", 0
}

// restart starts a dead host again under the same ID, without a model.
func (r *run) restart(id string) {
	m := r.machines[id]
	m.alive, m.core, m.observed = true, New(DefaultLimits()), map[string]observation{}
}

// advance simulates one step.
func (r *run) advance() {
	r.step++
	r.upFor++
	if r.up {
		r.confirmedStep = r.step
		if !r.plannerOff {
			r.replan()
		}
	}
	r.exchangeReports()
	for _, id := range r.order {
		if m := r.machines[id]; m.alive {
			m.taken = ""
			if isPlanned(r.plan, id) {
				m.core.Decide(r.input(m))
			} else {
				r.strategy(r, m)
			}
			r.runAgent(m)
		}
	}
	r.measure()
}

// outage sets whether the service is available; up ends the outage.
func (r *run) outage(up bool) { r.up, r.upFor = up, 0 }

func (r *run) now() time.Time { return start.Add(time.Duration(r.step) * time.Second) }

// replan simulates the planner, which counts a host's absence from when it
// became the planner.
func (r *run) replan() {
	if r.upFor <= 1 {
		clear(r.absentSteps)
	}
	var hosts []placement.Host
	for _, id := range r.order {
		m := r.machines[id]
		host := placement.Host{ID: id, FailureDomain: "a", ServingModel: m.has}
		if m.has != "" {
			host.ServingVersion, host.Whole = "v1", []string{"v1"}
		}
		if m.alive {
			delete(r.absentSteps, id)
		} else if r.step-m.diedAt > lostSteps {
			r.absentSteps[id]++
			host.Away = time.Duration(r.absentSteps[id]) * time.Second
		}
		hosts = append(hosts, host)
	}
	next := placement.Next(placement.Input{Document: r.doc, Hosts: hosts, Previous: r.plan, Fence: 1, Limits: placement.DefaultLimits()})
	if next != nil {
		r.plan = next
	}
}

// report returns the host's current report.
func (r *run) report(m *machine) *wire.HostReport {
	report := &wire.HostReport{Node: &wire.Node{Id: m.id, FailureDomain: "a"}}
	if m.has != "" {
		report.Versions = append(report.Versions, &wire.VersionState{Model: m.has, Version: "v1", State: stateServing})
	}
	if m.want != "" && m.want != m.has {
		report.Versions = append(report.Versions, &wire.VersionState{Model: m.want, Version: "v1", State: "fetching"})
	}
	return report
}

// exchangeReports updates each host's observation of each other host with the
// probability reportChance.
func (r *run) exchangeReports() {
	reports := make(map[string]*wire.HostReport, len(r.order))
	for _, id := range r.order {
		reports[id] = r.report(r.machines[id])
	}
	for _, id := range r.order {
		m := r.machines[id]
		for _, other := range r.order {
			if other == id || r.rng.Float64() >= r.reportChance {
				continue
			}
			peer := r.machines[other]
			if peer.alive {
				m.observed[other] = observation{report: reports[other], at: r.step}
			} else if r.step-peer.diedAt > lostSteps {
				m.observed[other] = observation{report: peer.last, at: peer.diedAt, lost: true}
			}
		}
	}
}

// input returns the input of the host's Core.
func (r *run) input(m *machine) Input {
	in := Input{Now: r.now(), Document: r.doc, Plan: r.plan, ConfirmedAt: start.Add(time.Duration(r.confirmedStep) * time.Second), Own: r.report(m)}
	for _, id := range r.order {
		seen, known := m.observed[id]
		if !known {
			continue
		}
		in.Hosts = append(in.Hosts, view.NewHost(seen.report, start.Add(time.Duration(seen.at)*time.Second), false, seen.lost))
	}
	return in
}

// runAgent is a simplified version of the agent's runner.
func (r *run) runAgent(m *machine) {
	want := m.taken
	for _, assignment := range r.plan.GetAssignments() {
		if assignment.GetHost() == m.id {
			want = assignment.GetModel()
		}
	}
	if want != m.want {
		m.want, m.fetched, m.unwanted = want, 0, 0
	}
	switch {
	case want == "":
		if m.unwanted++; m.unwanted >= unwantedSteps {
			m.has = ""
		}
	case want != m.has:
		if m.fetched++; m.fetched < fetchSteps {
			return
		}
		if m.has != "" {
			r.switches++
		}
		m.has, m.servesAt = want, r.step
	}
}

// measure updates the counts of missing and excess replicas.
func (r *run) measure() {
	for _, model := range r.doc.GetModels() {
		count := int(model.GetReplicas()[0].GetCount())
		serving, assigned := 0, 0
		for _, m := range r.machines {
			if m.alive && m.has == model.GetName() {
				serving++
			}
			if m.alive && m.want == model.GetName() {
				assigned++
			}
		}
		r.missing += max(0, count-serving)
		r.maxExcess = max(r.maxExcess, assigned-count)
	}
}

// neverFallback is strategy (a): an unplanned host stays empty.
func neverFallback(*run, *machine) {}

// rendezvousOnly is strategy (b): always a pure function of the document and the
// hosts seen, ignoring the plan.
func rendezvousOnly(r *run, m *machine) {
	free := []string{m.id}
	for id, seen := range m.observed {
		if !seen.lost {
			free = append(free, id)
		}
	}
	slices.Sort(free)
	for _, model := range r.doc.GetModels() {
		top := rendezvous.Top(model.GetName(), free, int(model.GetReplicas()[0].GetCount()))
		if slices.Contains(top, m.id) {
			m.taken = model.GetName()
			return
		}
		free = slices.DeleteFunc(free, func(id string) bool { return slices.Contains(top, id) })
	}
}

// fallbackInOutage is strategy (c): this package.
func fallbackInOutage(r *run, m *machine) {
	m.taken = m.core.Decide(r.input(m)).GetModel()
}

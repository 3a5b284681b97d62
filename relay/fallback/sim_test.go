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

// simHost simulates a host and its agent.
type simHost struct {
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
	core     *Decider
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
	hosts         map[string]*simHost
	order         []string       // sorted host IDs
	absentSteps   map[string]int // steps for which the planner has seen each host absent
	// reportChance is the probability, per step, that a host receives a report
	// of another host.
	reportChance float64
	// strategy sets simHost.taken.
	strategy     func(r *run, h *simHost)
	switches     int // number of times a host left a model that it served for another
	missing      int // missing replicas, summed over the steps
	maxExcess    int // largest number of replicas beyond the count in a step
	hostsCreated int
	// plannerOff disables the planner.
	plannerOff bool
}

// newRun creates a run and advances it by 60 steps, so that it starts settled.
func newRun(seed uint64, hosts int, counts map[string]int, strategy func(r *run, h *simHost)) *run {
	r := &run{
		rng: rand.New(rand.NewPCG(seed, 1)), up: true, doc: &wire.Document{},
		hosts: map[string]*simHost{}, absentSteps: map[string]int{}, reportChance: 1, strategy: strategy,
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
func (r *run) add() *simHost {
	h := &simHost{id: fmt.Sprintf("h%03d", r.hostsCreated), alive: true, core: New(DefaultLimits()), observed: map[string]observation{}}
	r.hostsCreated++
	r.hosts[h.id] = h
	r.order = append(r.order, h.id)
	return h
}

// kill stops a host, which loses its model.
func (r *run) kill(id string) {
	h := r.hosts[id]
	h.last = r.report(h)
	h.alive, h.diedAt = false, r.step
	h.want, h.has, h.taken, h.fetched = "", "", "", 0
}

// restart starts a dead host again under the same ID, without a model.
func (r *run) restart(id string) {
	h := r.hosts[id]
	h.alive, h.core, h.observed = true, New(DefaultLimits()), map[string]observation{}
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
		if h := r.hosts[id]; h.alive {
			h.taken = ""
			if isPlanned(r.plan, id) {
				h.core.Decide(r.input(h))
			} else {
				r.strategy(r, h)
			}
			r.runAgent(h)
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
		h := r.hosts[id]
		host := placement.Host{ID: id, FailureDomain: "a", ServingModel: h.has}
		if h.has != "" {
			host.ServingVersion, host.CompleteVersions = "v1", []string{"v1"}
		}
		if h.alive {
			delete(r.absentSteps, id)
		} else if r.step-h.diedAt > lostSteps {
			r.absentSteps[id]++
			host.UnavailableFor = time.Duration(r.absentSteps[id]) * time.Second
		}
		hosts = append(hosts, host)
	}
	next := placement.Next(placement.Input{Document: r.doc, Hosts: hosts, Previous: r.plan, Fence: 1, Limits: placement.DefaultLimits()})
	if next != nil {
		r.plan = next
	}
}

// report returns the host's current report.
func (r *run) report(h *simHost) *wire.HostReport {
	report := &wire.HostReport{Node: &wire.Node{Id: h.id, FailureDomain: "a"}}
	if h.has != "" {
		report.Versions = append(report.Versions, &wire.VersionState{Model: h.has, Version: "v1", State: stateServing})
	}
	if h.want != "" && h.want != h.has {
		report.Versions = append(report.Versions, &wire.VersionState{Model: h.want, Version: "v1", State: "fetching"})
	}
	return report
}

// exchangeReports updates each host's observation of each other host with the
// probability reportChance.
func (r *run) exchangeReports() {
	reports := make(map[string]*wire.HostReport, len(r.order))
	for _, id := range r.order {
		reports[id] = r.report(r.hosts[id])
	}
	for _, id := range r.order {
		h := r.hosts[id]
		for _, other := range r.order {
			if other == id || r.rng.Float64() >= r.reportChance {
				continue
			}
			peer := r.hosts[other]
			if peer.alive {
				h.observed[other] = observation{report: reports[other], at: r.step}
			} else if r.step-peer.diedAt > lostSteps {
				h.observed[other] = observation{report: peer.last, at: peer.diedAt, lost: true}
			}
		}
	}
}

// input returns the input of the host's Decider.
func (r *run) input(h *simHost) Input {
	in := Input{Now: r.now(), Document: r.doc, Plan: r.plan, ConfirmedAt: start.Add(time.Duration(r.confirmedStep) * time.Second), Own: r.report(h)}
	for _, id := range r.order {
		seen, known := h.observed[id]
		if !known {
			continue
		}
		in.Hosts = append(in.Hosts, view.NewHost(seen.report, start.Add(time.Duration(seen.at)*time.Second), false, seen.lost))
	}
	return in
}

// runAgent is a simplified version of the agent's runner.
func (r *run) runAgent(h *simHost) {
	want := h.taken
	for _, assignment := range r.plan.GetAssignments() {
		if assignment.GetHost() == h.id {
			want = assignment.GetModel()
		}
	}
	if want != h.want {
		h.want, h.fetched, h.unwanted = want, 0, 0
	}
	switch {
	case want == "":
		if h.unwanted++; h.unwanted >= unwantedSteps {
			h.has = ""
		}
	case want != h.has:
		if h.fetched++; h.fetched < fetchSteps {
			return
		}
		if h.has != "" {
			r.switches++
		}
		h.has, h.servesAt = want, r.step
	}
}

// measure updates the counts of missing and excess replicas.
func (r *run) measure() {
	for _, model := range r.doc.GetModels() {
		count := int(model.GetReplicas()[0].GetCount())
		serving, assigned := 0, 0
		for _, h := range r.hosts {
			if h.alive && h.has == model.GetName() {
				serving++
			}
			if h.alive && h.want == model.GetName() {
				assigned++
			}
		}
		r.missing += max(0, count-serving)
		r.maxExcess = max(r.maxExcess, assigned-count)
	}
}

// neverFallback is strategy (a): an unplanned host stays empty.
func neverFallback(*run, *simHost) {}

// rendezvousOnly is strategy (b): always a pure function of the document and the
// hosts seen, ignoring the plan.
func rendezvousOnly(r *run, h *simHost) {
	free := []string{h.id}
	for id, seen := range h.observed {
		if !seen.lost {
			free = append(free, id)
		}
	}
	slices.Sort(free)
	for _, model := range r.doc.GetModels() {
		top := rendezvous.Top(model.GetName(), free, int(model.GetReplicas()[0].GetCount()))
		if slices.Contains(top, h.id) {
			h.taken = model.GetName()
			return
		}
		free = slices.DeleteFunc(free, func(id string) bool { return slices.Contains(top, id) })
	}
}

// fallbackInOutage is strategy (c): this package.
func fallbackInOutage(r *run, h *simHost) {
	h.taken = h.core.Decide(r.input(h)).GetModel()
}

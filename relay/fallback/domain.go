package fallback

import (
	"cmp"
	"slices"
	"strings"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/rendezvous"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// stateServing is wire.VersionState's state of a version that answers.
const stateServing = "serving"

// holder is a host that the plan leaves out and that has, or is about to have,
// a model.
type holder struct {
	id      string
	serving bool
	score   uint64 // rendezvous rank for the model
}

// demand is one model's wish within the failure domain.
type demand struct {
	model *wire.Model
	count int
	// planned counts the hosts of the plan that are there, planServing those of
	// them that serve the model.
	planned, plannedServing int
	// holders are the others, best first.
	holders []holder
	// kept are the holders whose place is theirs.
	kept map[string]bool
}

func (d *demand) vacancies() int { return d.count - d.planned - len(d.kept) }

// domain is the failure domain of this host at one moment.
type domain struct {
	demands []*demand // by model name
	idle    []string  // hosts that the plan leaves out and that have nothing
}

func (c *Core) newDomain(in Input) *domain {
	name := in.Own.GetNode().GetFailureDomain()
	dom := &domain{demands: demandsIn(in.Document, name)}
	hosts := hostsIn(in, name)
	present := map[string]bool{}
	for id := range hosts {
		present[id] = true
	}
	inPlan := map[string]bool{}
	for _, assignment := range in.Plan.GetAssignments() {
		id := assignment.GetHost()
		present[id], inPlan[id] = true, true
		host, known := hosts[id]
		if assignment.GetFailureDomain() == name && !c.isVacant(id, host, known, in.Now) {
			dom.addPlanned(assignment.GetModel(), host)
		}
	}
	for id, host := range hosts {
		if !inPlan[id] && document.IsEngine(in.Document, host.Report()) && !c.isVacant(id, host, true, in.Now) {
			dom.addUnplanned(id, host, c.takenBy(in, id))
		}
	}
	c.pruneAbsences(present)
	for _, want := range dom.demands {
		want.chooseKept()
	}
	return dom
}

func demandsIn(doc *wire.Document, name string) []*demand {
	var demands []*demand
	for _, model := range doc.GetModels() {
		want := &demand{model: model, kept: map[string]bool{}}
		for _, replicas := range model.GetReplicas() {
			if replicas.GetFailureDomain() == name {
				want.count += int(replicas.GetCount())
			}
		}
		if want.count > 0 {
			demands = append(demands, want)
		}
	}
	slices.SortFunc(demands, func(a, b *demand) int { return strings.Compare(a.model.GetName(), b.model.GetName()) })
	return demands
}

// hostsOf returns the hosts of the failure domain by id, this one included.
func hostsIn(in Input, name string) map[string]view.Host {
	hosts := map[string]view.Host{}
	for _, host := range in.Hosts {
		if node := host.Report().GetNode(); node.GetFailureDomain() == name {
			hosts[node.GetId()] = host
		}
	}
	hosts[in.Own.GetNode().GetId()] = view.NewHost(in.Own, in.Now, false, false)
	return hosts
}

func (dom *domain) demand(model string) *demand {
	for _, want := range dom.demands {
		if want.model.GetName() == model {
			return want
		}
	}
	return nil
}

// plan counts a host that the plan gives the model to.
func (dom *domain) addPlanned(model string, host view.Host) {
	want := dom.demand(model)
	if want == nil {
		return
	}
	want.planned++
	if !host.Lost() && !host.Leaving() && hasVersion(host, model, stateServing) {
		want.plannedServing++
	}
}

// heldBy returns the model that the host took, as far as it is not in its
// report: this host's own decision of a moment ago.
func (c *Core) takenBy(in Input, id string) string {
	if id != in.Own.GetNode().GetId() {
		return ""
	}
	return c.takenModel
}

// add counts a host that the plan leaves out.
func (dom *domain) addUnplanned(id string, host view.Host, takenModel string) {
	want, serving := dom.demandFor(host)
	if want == nil {
		want = dom.demand(takenModel)
	}
	switch {
	case want != nil:
		want.holders = append(want.holders, holder{id: id, serving: serving, score: score(want.model, id)})
	case !host.Lost() && !host.Leaving():
		dom.idle = append(dom.idle, id)
	}
}

// has returns what the host is out for: the model that it serves, else the one
// that it fetches or loads.
func (dom *domain) demandFor(host view.Host) (want *demand, serving bool) {
	for _, state := range host.Report().GetVersions() {
		found := dom.demand(state.GetModel())
		if found == nil {
			continue
		}
		if state.GetState() == stateServing {
			return found, true
		}
		want = found
	}
	return want, false
}

func hasVersion(host view.Host, model, state string) bool {
	return slices.ContainsFunc(host.Report().GetVersions(), func(version *wire.VersionState) bool {
		return version.GetModel() == model && version.GetState() == state
	})
}

// score is that of package placement: the planner, back after the outage, then
// prefers the same hosts.
func score(model *wire.Model, host string) uint64 {
	return rendezvous.Score(rendezvous.Seed(model.GetName()), rendezvous.Seed(host))
}

// settle decides which holders keep their place. One that serves goes only
// where enough others serve: a planned host that came back empty is not yet a
// replica. One that does not serve yet goes where enough others will.
func (d *demand) chooseKept() {
	slices.SortFunc(d.holders, func(a, b holder) int {
		if a.serving != b.serving {
			if a.serving {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.id, b.id))
	})
	for _, h := range d.holders {
		others := d.planned
		if h.serving {
			others = d.plannedServing
		}
		if others+len(d.kept) < d.count {
			d.kept[h.id] = true
		}
	}
}

// keeps returns the model whose place the host has already; nil: none.
func (dom *domain) keptModel(id string) *wire.Model {
	for _, want := range dom.demands {
		if want.kept[id] {
			return want.model
		}
	}
	return nil
}

// takes divides the empty places among the idle hosts and returns the host's
// share; nil: none. The model furthest from its count goes first, as in
// package placement.
func (dom *domain) modelForIdleHost(id string) *wire.Model {
	for len(dom.idle) > 0 {
		leastFilled := dom.leastFilled()
		if leastFilled == nil {
			return nil
		}
		best := slices.MaxFunc(dom.idle, func(a, b string) int {
			return cmp.Or(cmp.Compare(score(leastFilled.model, a), score(leastFilled.model, b)), strings.Compare(b, a))
		})
		if best == id {
			return leastFilled.model
		}
		leastFilled.kept[best] = true
		dom.idle = slices.DeleteFunc(dom.idle, func(idle string) bool { return idle == best })
	}
	return nil
}

func (dom *domain) leastFilled() *demand {
	var leastFilled *demand
	for _, want := range dom.demands {
		if want.vacancies() > 0 && (leastFilled == nil || lessFilled(want, leastFilled)) {
			leastFilled = want
		}
	}
	return leastFilled
}

func lessFilled(a, b *demand) bool {
	return (a.count-a.vacancies())*b.count < (b.count-b.vacancies())*a.count
}

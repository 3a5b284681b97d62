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

// stateServing is the value of wire.VersionState.State for a version that
// serves requests.
const stateServing = "serving"

// holder is a host that is not in the plan and that serves, loads or fetches a
// model, or has just decided to.
type holder struct {
	id      string
	serving bool
	score   uint64 // rendezvous rank for the model
}

// demand is the number of replicas that one model needs in the failure domain,
// with the hosts that provide or could provide them.
type demand struct {
	model *wire.Model
	count int
	// planned is the number of hosts that the plan assigns to the model, without
	// those whose slot counts as vacant; plannedServing is how many of them serve
	// it.
	planned, plannedServing int
	// holders are the hosts outside the plan that have the model, best first.
	holders []holder
	// kept contains the hosts outside the plan that fill a replica slot.
	kept map[string]bool
}

// vacancies returns the number of replicas without a host; it is negative if
// there are more hosts than replicas.
func (d *demand) vacancies() int { return d.count - d.planned - len(d.kept) }

// domain is a snapshot of the failure domain of this host.
type domain struct {
	demands []*demand // sorted by model name
	idle    []string  // hosts that are not in the plan and have no model
}

// newDomain builds the snapshot from the document, the plan and the reports,
// and decides which hosts outside the plan keep their replica slot.
func (c *Decider) newDomain(in Input) *domain {
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

// demandsIn returns the demands of the document in the named failure domain,
// sorted by model name.
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

// hostsIn returns the hosts of the failure domain by ID, including this host.
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

// demand returns the demand of the model; nil if it has none here.
func (dom *domain) demand(model string) *demand {
	for _, want := range dom.demands {
		if want.model.GetName() == model {
			return want
		}
	}
	return nil
}

// addPlanned counts a host that the plan assigns to the model.
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

// takenBy returns the model of this host's own last decision, which its report
// may not contain yet, and "" for any other host.
func (c *Decider) takenBy(in Input, id string) string {
	if id != in.Own.GetNode().GetId() {
		return ""
	}
	return c.takenModel
}

// addUnplanned records a host that is not in the plan: as a holder if it has a
// model or took one, else as idle if it is neither lost nor leaving.
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

// demandFor returns the demand of the model that the host serves, or else of
// the one that it fetches or loads.
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

// hasVersion reports whether the host has a version of the model in the state.
func hasVersion(host view.Host, model, state string) bool {
	return slices.ContainsFunc(host.Report().GetVersions(), func(version *wire.VersionState) bool {
		return version.GetModel() == model && version.GetState() == state
	})
}

// score returns the rendezvous score of the host for the model. Package
// placement uses the same score, so that the planner prefers the same hosts
// after the outage.
func score(model *wire.Model, host string) uint64 {
	return rendezvous.Score(rendezvous.Seed(model.GetName()), rendezvous.Seed(host))
}

// chooseKept decides which holders keep their replica slot. A holder that serves
// the model loses its slot only if enough other hosts serve it: a planned host
// that came back empty is not yet a replica. A holder that does not serve yet
// loses its slot if enough other hosts are going to serve.
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

// keptModel returns the model whose replica slot the host keeps; nil if none.
func (dom *domain) keptModel(id string) *wire.Model {
	for _, want := range dom.demands {
		if want.kept[id] {
			return want.model
		}
	}
	return nil
}

// modelForIdleHost assigns the vacant replica slots to the idle hosts and
// returns the model assigned to the given host; nil if none. The model with the
// smallest share of its replicas filled goes first, as in package placement.
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

// leastFilled returns the demand with vacancies that has the smallest share of
// its replicas filled; nil if there are no vacancies.
func (dom *domain) leastFilled() *demand {
	var leastFilled *demand
	for _, want := range dom.demands {
		if want.vacancies() > 0 && (leastFilled == nil || lessFilled(want, leastFilled)) {
			leastFilled = want
		}
	}
	return leastFilled
}

// lessFilled reports whether a has a smaller share of its replicas filled than b.
func lessFilled(a, b *demand) bool {
	return (a.count-a.vacancies())*b.count < (b.count-b.vacancies())*a.count
}

package placement

import (
	"cmp"
	"slices"
	"strings"

	"comfreyrelay.example/relay/wire"
)

// demand is the number of replicas that one model needs in one failure domain,
// with the hosts found for them so far.
type demand struct {
	model *wire.Model
	count int
	// assigned lists the hosts that serve the model in the new plan.
	assigned []*Host
	// unreplaced lists the previous hosts that have been unavailable for too long.
	// They keep the model until another host replaces them, so that a planner
	// partitioned from a region does not remove all replicas there.
	unreplaced []*Host
}

func (d *demand) missing() int { return d.count - len(d.assigned) }

// domain computes the placement within one failure domain.
type domain struct {
	name     string
	limits   Limits
	previous map[string]*wire.Assignment
	hosts    map[string]*Host
	inUse    map[string]bool
	demands  []*demand // by model name
}

func newDomain(in Input, name string, previous map[string]*wire.Assignment) *domain {
	dom := &domain{name: name, limits: in.Limits, previous: previous, hosts: map[string]*Host{}, inUse: map[string]bool{}}
	for i := range in.Hosts {
		if in.Hosts[i].FailureDomain == name {
			dom.hosts[in.Hosts[i].ID] = &in.Hosts[i]
		}
	}
	for _, model := range in.Document.GetModels() {
		if count := replicasIn(model, name); count > 0 {
			dom.demands = append(dom.demands, &demand{model: model, count: count})
		}
	}
	slices.SortFunc(dom.demands, func(a, b *demand) int {
		return strings.Compare(a.model.GetName(), b.model.GetName())
	})
	return dom
}

func replicasIn(model *wire.Model, name string) int {
	count := 0
	for _, replicas := range model.GetReplicas() {
		if replicas.GetFailureDomain() == name {
			count += int(replicas.GetCount())
		}
	}
	return count
}

// assign returns the assignments of this failure domain.
func (dom *domain) assign() []*wire.Assignment {
	for _, want := range dom.demands {
		dom.retainPlacements(want)
	}
	for dom.assignFreeHost() {
	}
	var assignments []*wire.Assignment
	for _, want := range dom.demands {
		retainUnreplaced(want)
		assignments = append(assignments, dom.buildAssignments(want)...)
	}
	return assignments
}

// retainPlacements leaves the model on its previous hosts, up to the replica
// count.
func (dom *domain) retainPlacements(want *demand) {
	var held []*Host
	for id, host := range dom.hosts {
		if dom.previous[id].GetModel() == want.model.GetName() && dom.previous[id].GetFailureDomain() == dom.name {
			held = append(held, host)
		}
	}
	slices.SortFunc(held, func(a, b *Host) int {
		if order := cmp.Compare(dom.availability(a), dom.availability(b)); order != 0 {
			return order
		}
		return compareFor(want.model)(a, b)
	})
	for _, host := range held {
		dom.inUse[host.ID] = true
		switch {
		case dom.availability(host) == hostExpired:
			want.unreplaced = append(want.unreplaced, host)
		case len(want.assigned) < want.count:
			want.assigned = append(want.assigned, host)
		default:
			dom.inUse[host.ID] = false
		}
	}
}

// Availability of a host, best first.
const (
	hostAvailable   = iota
	hostUnavailable // unavailable for less than the limit; may return soon
	hostExpired     // unavailable for at least the limit
)

func (dom *domain) availability(host *Host) int {
	limit := dom.limits.LostAfter
	if host.Leaving {
		limit = dom.limits.LeavingAfter
	}
	switch {
	case host.UnavailableFor <= 0 && !host.Leaving:
		return hostAvailable
	case host.UnavailableFor < limit:
		return hostUnavailable
	default:
		return hostExpired
	}
}

// assignFreeHost gives one free host to the model with the lowest share of its
// replicas and reports whether it found one.
func (dom *domain) assignFreeHost() bool {
	var neediest *demand
	for _, want := range dom.demands {
		if want.missing() > 0 && (neediest == nil || lessReplicated(want, neediest)) {
			neediest = want
		}
	}
	if neediest == nil {
		return false
	}
	host := dom.bestFreeHost(neediest.model)
	if host == nil {
		return false
	}
	dom.inUse[host.ID] = true
	neediest.assigned = append(neediest.assigned, host)
	return true
}

func lessReplicated(a, b *demand) bool {
	return len(a.assigned)*b.count < len(b.assigned)*a.count
}

func (dom *domain) bestFreeHost(model *wire.Model) *Host {
	var best *Host
	better := compareFor(model)
	for id, host := range dom.hosts {
		if dom.inUse[id] || dom.availability(host) != hostAvailable {
			continue
		}
		if best == nil || better(host, best) < 0 {
			best = host
		}
	}
	return best
}

// retainUnreplaced keeps the model on lost hosts for which there was no
// replacement. It skips leaving hosts: their agents finish the requests in
// progress and exit.
func retainUnreplaced(want *demand) {
	for _, host := range want.unreplaced {
		if want.missing() > 0 && !host.Leaving {
			want.assigned = append(want.assigned, host)
		}
	}
}

func (dom *domain) buildAssignments(want *demand) []*wire.Assignment {
	waves := dom.assignWaves(want)
	assignments := make([]*wire.Assignment, 0, len(want.assigned))
	for _, host := range want.assigned {
		assignments = append(assignments, &wire.Assignment{
			Host:          host.ID,
			Model:         want.model.GetName(),
			Version:       want.model.GetVersion(),
			Adapters:      want.model.GetAdapters(),
			FailureDomain: dom.name,
			Wave:          waves[host.ID],
			Role:          RoleBoth,
		})
	}
	return assignments
}

// assignWaves numbers the hosts that change to a new version, so that at most
// maxUnavailable are out of service at once. A host keeps its wave number while
// its version is unchanged: renumbering during a rollout would let two waves
// upgrade at the same time.
func (dom *domain) assignWaves(want *demand) map[string]uint32 {
	waves := map[string]uint32{}
	var upgrading []*Host
	down := 0
	for _, host := range want.assigned {
		held := dom.previous[host.ID]
		sameModel := held.GetModel() == want.model.GetName() && held.GetFailureDomain() == dom.name
		switch {
		case sameModel && held.GetVersion() == want.model.GetVersion():
			waves[host.ID] = held.GetWave()
		case sameModel && host.ServingModel == want.model.GetName() && dom.availability(host) == hostAvailable:
			upgrading = append(upgrading, host)
		default:
			// The host does not serve the model now, so loading takes nothing out
			// of service.
			if sameModel {
				down++
			}
		}
	}
	slices.SortFunc(upgrading, compareFor(want.model))
	limit := max(1, int(want.model.GetMaxUnavailable()))
	first := min(down, limit)
	for i, host := range upgrading {
		waves[host.ID] = uint32((first + i) / limit)
	}
	return waves
}

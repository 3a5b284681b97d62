package placement

import (
	"cmp"
	"slices"
	"strings"

	"comfreyrelay.example/relay/wire"
)

// demand is one model's wish within one failure domain.
type demand struct {
	model *wire.Model
	count int
	// holders serve the model in the new plan.
	holders []*Host
	// waiting held it, are away too long, and keep it until somebody replaces
	// them: a planner cut off from a region must not empty it.
	waiting []*Host
}

func (d *demand) missing() int { return d.count - len(d.holders) }

// domain is the placement of one failure domain.
type domain struct {
	name    string
	limits  Limits
	before  map[string]*wire.Assignment
	hosts   map[string]*Host
	taken   map[string]bool
	demands []*demand // by model name
}

func newDomain(in Input, name string, before map[string]*wire.Assignment) *domain {
	dom := &domain{name: name, limits: in.Limits, before: before, hosts: map[string]*Host{}, taken: map[string]bool{}}
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

// assign returns the failure domain's part of the plan.
func (dom *domain) assign() []*wire.Assignment {
	for _, want := range dom.demands {
		dom.keep(want)
	}
	for dom.fill() {
	}
	var assignments []*wire.Assignment
	for _, want := range dom.demands {
		keepWaiting(want)
		assignments = append(assignments, dom.write(want)...)
	}
	return assignments
}

// keep leaves the model where it was, up to the count wanted.
func (dom *domain) keep(want *demand) {
	var held []*Host
	for id, host := range dom.hosts {
		if dom.before[id].GetModel() == want.model.GetName() && dom.before[id].GetFailureDomain() == dom.name {
			held = append(held, host)
		}
	}
	slices.SortFunc(held, func(a, b *Host) int {
		if order := cmp.Compare(dom.standing(a), dom.standing(b)); order != 0 {
			return order
		}
		return compareFor(want.model)(a, b)
	})
	for _, host := range held {
		dom.taken[host.ID] = true
		switch {
		case dom.standing(host) == standingGone:
			want.waiting = append(want.waiting, host)
		case len(want.holders) < want.count:
			want.holders = append(want.holders, host)
		default:
			dom.taken[host.ID] = false
		}
	}
}

// Standings of a host, best first.
const (
	standingUsable = iota
	standingAway   // away, but perhaps back soon
	standingGone   // away for too long
)

func (dom *domain) standing(host *Host) int {
	limit := dom.limits.LostAfter
	if host.Leaving {
		limit = dom.limits.LeavingAfter
	}
	switch {
	case host.Away <= 0 && !host.Leaving:
		return standingUsable
	case host.Away < limit:
		return standingAway
	default:
		return standingGone
	}
}

// fill gives one free host to the model that is furthest from its count and
// reports whether it could.
func (dom *domain) fill() bool {
	var neediest *demand
	for _, want := range dom.demands {
		if want.missing() > 0 && (neediest == nil || needier(want, neediest)) {
			neediest = want
		}
	}
	if neediest == nil {
		return false
	}
	host := dom.bestFree(neediest.model)
	if host == nil {
		return false
	}
	dom.taken[host.ID] = true
	neediest.holders = append(neediest.holders, host)
	return true
}

func needier(a, b *demand) bool {
	return len(a.holders)*b.count < len(b.holders)*a.count
}

func (dom *domain) bestFree(model *wire.Model) *Host {
	var best *Host
	better := compareFor(model)
	for id, host := range dom.hosts {
		if dom.taken[id] || dom.standing(host) != standingUsable {
			continue
		}
		if best == nil || better(host, best) < 0 {
			best = host
		}
	}
	return best
}

// keepWaiting leaves the model on silent hosts that nobody could replace. A
// host that leaves is not kept: its agent ends what it runs and goes.
func keepWaiting(want *demand) {
	for _, host := range want.waiting {
		if want.missing() > 0 && !host.Leaving {
			want.holders = append(want.holders, host)
		}
	}
}

func (dom *domain) write(want *demand) []*wire.Assignment {
	waves := dom.waves(want)
	assignments := make([]*wire.Assignment, 0, len(want.holders))
	for _, host := range want.holders {
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

// waves numbers the hosts that turn from one version to the next, so that at
// most maxUnavailable are out of service at once. A host keeps its number
// while the version stays: renumbering a roll half done would let two waves
// turn together.
func (dom *domain) waves(want *demand) map[string]uint32 {
	waves := map[string]uint32{}
	var turning []*Host
	down := 0
	for _, host := range want.holders {
		held := dom.before[host.ID]
		sameModel := held.GetModel() == want.model.GetName() && held.GetFailureDomain() == dom.name
		switch {
		case sameModel && held.GetVersion() == want.model.GetVersion():
			waves[host.ID] = held.GetWave()
		case sameModel && host.ServingModel == want.model.GetName() && dom.standing(host) == standingUsable:
			turning = append(turning, host)
		default:
			// It serves nobody yet: its loading takes nothing out of service.
			if sameModel {
				down++
			}
		}
	}
	slices.SortFunc(turning, compareFor(want.model))
	limit := max(1, int(want.model.GetMaxUnavailable()))
	first := min(down, limit)
	for i, host := range turning {
		waves[host.ID] = uint32((first + i) / limit)
	}
	return waves
}

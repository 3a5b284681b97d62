package placement

import (
	"time"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// States of a model version on a host that affect placement.
const (
	stateServing = "serving"
	stateWhole   = "whole"
	stateLoading = "loading"
)

// Observer converts view snapshots to Hosts and tracks how long each host has
// been unavailable. It is not safe for concurrent use.
type Observer struct {
	// unavailableSince is when each host was first seen as leaving, lost or
	// unknown. It is bounded to hosts that are known or in the plan.
	unavailableSince map[string]time.Time
}

// NewObserver returns an Observer without history.
func NewObserver() *Observer { return &Observer{unavailableSince: map[string]time.Time{}} }

// Hosts returns the engine hosts of the view and the planned hosts that the view
// lacks. A process that just started knows few hosts and must not treat the
// others as gone; they count as unavailable from now on.
func (o *Observer) Hosts(snap *view.Snapshot, plan *wire.Plan, now time.Time) []Host {
	hosts := make([]Host, 0, len(snap.Hosts))
	known := make(map[string]bool, len(snap.Hosts))
	for _, host := range snap.Hosts {
		id := host.Report().GetNode().GetId()
		known[id] = true
		if document.IsEngine(snap.Document, host.Report()) {
			hosts = append(hosts, newHost(host, o.unavailableFor(id, host.Leaving() || host.Lost(), now)))
		}
	}
	for _, assignment := range plan.GetAssignments() {
		if id := assignment.GetHost(); !known[id] {
			hosts = append(hosts, Host{ID: id, FailureDomain: assignment.GetFailureDomain(), UnavailableFor: o.unavailableFor(id, true, now)})
		}
	}
	o.prune(plan, known)
	return hosts
}

// unavailableFor returns how long this Observer has seen the host unavailable. It
// is 0 for an available host and at least 1 ns for any other.
func (o *Observer) unavailableFor(id string, unavailable bool, now time.Time) time.Duration {
	if !unavailable {
		delete(o.unavailableSince, id)
		return 0
	}
	began, known := o.unavailableSince[id]
	if !known {
		o.unavailableSince[id] = now
		return 1
	}
	return max(1, now.Sub(began))
}

func (o *Observer) prune(plan *wire.Plan, known map[string]bool) {
	planned := byHost(plan)
	for id := range o.unavailableSince {
		if !known[id] && planned[id] == nil {
			delete(o.unavailableSince, id)
		}
	}
}

func newHost(host view.Host, away time.Duration) Host {
	report := host.Report()
	result := Host{
		ID:             report.GetNode().GetId(),
		FailureDomain:  report.GetNode().GetFailureDomain(),
		Leaving:        host.Leaving(),
		UnavailableFor: away,
	}
	for _, state := range report.GetVersions() {
		switch state.GetState() {
		case stateServing:
			result.ServingModel, result.ServingVersion = state.GetModel(), state.GetVersion()
			result.CompleteVersions = append(result.CompleteVersions, state.GetVersion())
		case stateWhole, stateLoading:
			result.CompleteVersions = append(result.CompleteVersions, state.GetVersion())
		}
	}
	return result
}

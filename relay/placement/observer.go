package placement

import (
	"time"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// States of a version on a host that placement looks at.
const (
	stateServing = "serving"
	stateWhole   = "whole"
	stateLoading = "loading"
)

// Observer turns views into Hosts: it remembers since when each host has been
// out of use. It is not safe for concurrent use.
type Observer struct {
	// since is when each host that is leaving, lost or unheard was first seen
	// so; bounded to hosts that exist or are in the plan.
	unavailableSince map[string]time.Time
}

// NewObserver returns an Observer that has seen nothing.
func NewObserver() *Observer { return &Observer{unavailableSince: map[string]time.Time{}} }

// Hosts returns the engine hosts of the view, with those of the plan that
// nobody has learned of: a process that just started knows few, and must not take
// the others for gone.
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
			hosts = append(hosts, Host{ID: id, FailureDomain: assignment.GetFailureDomain(), Away: o.unavailableFor(id, true, now)})
		}
	}
	o.prune(plan, known)
	return hosts
}

// away returns how long the host has been out of use, as far as seen here; more
// than 0 from the first moment on.
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
		ID:            report.GetNode().GetId(),
		FailureDomain: report.GetNode().GetFailureDomain(),
		Leaving:       host.Leaving(),
		Away:          away,
	}
	for _, state := range report.GetVersions() {
		switch state.GetState() {
		case stateServing:
			result.ServingModel, result.ServingVersion = state.GetModel(), state.GetVersion()
			result.Whole = append(result.Whole, state.GetVersion())
		case stateWhole, stateLoading:
			result.Whole = append(result.Whole, state.GetVersion())
		}
	}
	return result
}

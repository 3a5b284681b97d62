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
	since map[string]time.Time
}

// NewObserver returns an Observer that has seen nothing.
func NewObserver() *Observer { return &Observer{since: map[string]time.Time{}} }

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
			hosts = append(hosts, observed(host, o.away(id, host.Leaving() || host.Lost(), now)))
		}
	}
	for _, assignment := range plan.GetAssignments() {
		if id := assignment.GetHost(); !known[id] {
			hosts = append(hosts, Host{ID: id, FailureDomain: assignment.GetFailureDomain(), Away: o.away(id, true, now)})
		}
	}
	o.forget(plan, known)
	return hosts
}

// away returns how long the host has been out of use, as far as seen here; more
// than 0 from the first moment on.
func (o *Observer) away(id string, out bool, now time.Time) time.Duration {
	if !out {
		delete(o.since, id)
		return 0
	}
	began, known := o.since[id]
	if !known {
		o.since[id] = now
		return 1
	}
	return max(1, now.Sub(began))
}

func (o *Observer) forget(plan *wire.Plan, known map[string]bool) {
	planned := byHost(plan)
	for id := range o.since {
		if !known[id] && planned[id] == nil {
			delete(o.since, id)
		}
	}
}

func observed(host view.Host, away time.Duration) Host {
	report := host.Report()
	placed := Host{
		ID:            report.GetNode().GetId(),
		FailureDomain: report.GetNode().GetFailureDomain(),
		Leaving:       host.Leaving(),
		Away:          away,
	}
	for _, state := range report.GetVersions() {
		switch state.GetState() {
		case stateServing:
			placed.ServingModel, placed.ServingVersion = state.GetModel(), state.GetVersion()
			placed.Whole = append(placed.Whole, state.GetVersion())
		case stateWhole, stateLoading:
			placed.Whole = append(placed.Whole, state.GetVersion())
		}
	}
	return placed
}

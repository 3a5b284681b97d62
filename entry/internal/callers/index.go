package callers

import (
	"time"

	"comfreyrelay.example/relay/directory"
	"comfreyrelay.example/relay/route"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// indexInterval is the shortest time between two rebuilds of the index when only
// reports changed. A new document or plan causes a rebuild at once.
const indexInterval = 10 * time.Millisecond

// Prefixes of lane names. A lane is the dispatcher's queue and set of hosts for
// one model or service.
const (
	modelLane   = "model/"
	serviceLane = "service/"
)

// stateServing is the state of a version that a host serves.
const stateServing = "serving"

// index holds one snapshot of the view, prepared for fast lookups while requests
// are handled. It is immutable.
type index struct {
	snapshot        *view.Snapshot
	deployment      *deployment
	builtAt         time.Time
	allowedVersions map[string][]string   // versions that may serve, by model
	live            []*wire.Node          // entries that are not lost, including draining ones
	byIncarnation   map[string]*wire.Node // all entries by incarnation
	entries         []directory.Entry     // entries that callers may be directed to
	reports         []*wire.EntryReport   // reports of the entries that are not lost
}

// index returns the current index. If the index is outdated, it first rebuilds it
// and updates the dispatcher's lanes, unless another goroutine is doing so.
func (s *Server) index() *index {
	snapshot, _ := s.cfg.View.Load()
	current := s.current.Load()
	if current != nil && !s.outdated(current, snapshot) {
		return current
	}
	if current == nil {
		s.rebuildMu.Lock()
	} else if !s.rebuildMu.TryLock() {
		return current // another goroutine is rebuilding it
	}
	defer s.rebuildMu.Unlock()
	current = s.current.Load()
	if current != nil && current.snapshot == snapshot {
		return current
	}
	next := s.buildIndex(current, snapshot)
	s.current.Store(next)
	s.updateLanes(next)
	return next
}

// outdated reports whether the index must be rebuilt for the snapshot.
func (s *Server) outdated(current *index, snapshot *view.Snapshot) bool {
	if current.snapshot == snapshot {
		return false
	}
	sameInputs := current.snapshot.Document == snapshot.Document && current.snapshot.Plan == snapshot.Plan
	return !sameInputs || s.cfg.Clock.Since(current.builtAt) >= indexInterval
}

// buildIndex makes the index of a snapshot. It reuses what was derived from the
// document if that has not changed. The caller holds rebuildMu.
func (s *Server) buildIndex(previous *index, snapshot *view.Snapshot) *index {
	next := &index{
		snapshot:        snapshot,
		builtAt:         s.cfg.Clock.Now(),
		allowedVersions: make(map[string][]string),
		byIncarnation:   make(map[string]*wire.Node),
	}
	if previous != nil && previous.snapshot.Document == snapshot.Document {
		next.deployment = previous.deployment
	} else {
		next.deployment = newDeployment(snapshot.Document, &s.customers)
	}
	next.addEntries(snapshot.Entries)
	for name, model := range next.deployment.models {
		next.allowedVersions[name] = s.allowedVersions(model, snapshot)
	}
	return next
}

// addEntries fills the fields that describe the entries.
func (x *index) addEntries(peers []view.Peer) {
	for _, peer := range peers {
		report := peer.Report()
		node := report.GetNode()
		x.byIncarnation[node.GetIncarnation()] = node
		if peer.Lost() {
			continue
		}
		x.live = append(x.live, node)
		x.reports = append(x.reports, report)
		if peer.Leaving() || report.GetDraining() {
			continue
		}
		x.entries = append(x.entries, directory.Entry{
			ID:            node.GetId(),
			Incarnation:   node.GetIncarnation(),
			Address:       node.GetCallersAddress(),
			Region:        node.GetRegion(),
			FailureDomain: node.GetFailureDomain(),
			InFlight:      int(report.GetInFlight()),
		})
	}
}

// allowedVersions returns the versions that may serve the model now. The caller
// holds rebuildMu.
func (s *Server) allowedVersions(model *wire.Model, snapshot *view.Snapshot) []string {
	shift := s.shifts[model.GetName()]
	if shift == nil {
		shift = route.NewShift()
		s.shifts[model.GetName()] = shift
	}
	serving := make(map[string]string)   // version served, by host
	unavailable := make(map[string]bool) // lost or leaving hosts, which a rollout doesn't wait for
	for _, host := range snapshot.Hosts {
		id := host.Report().GetNode().GetId()
		if host.Lost() || host.Leaving() {
			unavailable[id] = true
		}
		if state := servingState(host, model.GetName()); state != nil {
			serving[id] = state.GetVersion()
		}
	}
	planned := 0
	ready := 0
	for _, assignment := range snapshot.Plan.GetAssignments() {
		if assignment.GetModel() != model.GetName() || assignment.GetVersion() != model.GetVersion() {
			continue
		}
		if unavailable[assignment.GetHost()] {
			continue
		}
		planned++
		if serving[assignment.GetHost()] == model.GetVersion() {
			ready++
		}
	}
	return shift.Allowed(route.Rollout{
		Target:             model.GetVersion(),
		WaitForAllReplicas: model.GetShift() == "whenWhole",
		Serving:            serving,
		Complete:           planned > 0 && ready == planned,
	})
}

// servingState returns the state of the version of the model that the host
// serves. It returns nil if the host serves none, or may not get requests because
// it is lost or leaving.
func servingState(host view.Host, model string) *wire.VersionState {
	if host.Leaving() || host.Lost() || host.Report().GetLeaving() {
		return nil
	}
	for _, state := range host.Report().GetVersions() {
		if state.GetModel() == model && state.GetState() == stateServing {
			return state
		}
	}
	return nil
}

// updateLanes sets the hosts of every lane in the dispatcher. A lane whose model
// or service was removed from the document gets no hosts. The caller holds
// rebuildMu.
func (s *Server) updateLanes(next *index) {
	lanes := make(map[string]bool)
	entries := len(next.entries)
	for name, model := range next.deployment.models {
		lanes[modelLane+name] = true
		s.dispatcher.Update(modelLane+name, modelHosts(next.snapshot, model), entries)
	}
	for name := range next.deployment.services {
		lanes[serviceLane+name] = true
		s.dispatcher.Update(serviceLane+name, serviceHosts(next.snapshot, name), entries)
	}
	for name := range s.lanes {
		if !lanes[name] {
			s.dispatcher.Update(name, nil, entries)
		}
	}
	s.lanes = lanes
}

// modelHosts returns the hosts that serve the model, with their versions and
// adapters.
func modelHosts(snapshot *view.Snapshot, model *wire.Model) []route.Host {
	var hosts []route.Host
	for _, host := range snapshot.Hosts {
		state := servingState(host, model.GetName())
		if state == nil {
			continue
		}
		serving := routeHost(host)
		serving.Version = state.GetVersion()
		for _, adapter := range state.GetAdapters() {
			serving.Adapters = append(serving.Adapters, route.Adapter{Name: adapter.GetName(), Version: adapter.GetVersion()})
		}
		hosts = append(hosts, serving)
	}
	dropReplacedAdapters(hosts, model)
	return hosts
}

// dropReplacedAdapters removes the adapter versions that the document has
// replaced, on hosts that serve the document's version of the model. An adapter is
// dropped only once some host serves its replacement.
func dropReplacedAdapters(hosts []route.Host, model *wire.Model) {
	for _, intended := range model.GetAdapters() {
		want := route.Adapter{Name: intended.GetName(), Version: intended.GetVersion()}
		if !anyServes(hosts, want) {
			continue
		}
		for i := range hosts {
			if hosts[i].Version == model.GetVersion() {
				hosts[i].Adapters = withoutOtherVersions(hosts[i].Adapters, want)
			}
		}
	}
}

// anyServes reports whether any of the hosts serves the adapter.
func anyServes(hosts []route.Host, want route.Adapter) bool {
	for _, host := range hosts {
		for _, adapter := range host.Adapters {
			if adapter == want {
				return true
			}
		}
	}
	return false
}

// withoutOtherVersions returns the adapters without those that have the name of
// want but another version.
func withoutOtherVersions(adapters []route.Adapter, want route.Adapter) []route.Adapter {
	var kept []route.Adapter
	for _, adapter := range adapters {
		if adapter.Name != want.Name || adapter == want {
			kept = append(kept, adapter)
		}
	}
	return kept
}

// serviceHosts returns the hosts that serve the plain service.
func serviceHosts(snapshot *view.Snapshot, name string) []route.Host {
	var hosts []route.Host
	for _, host := range snapshot.Hosts {
		if host.Leaving() || host.Lost() || host.Report().GetLeaving() || host.Report().GetService() != name {
			continue
		}
		hosts = append(hosts, routeHost(host))
	}
	return hosts
}

// routeHost converts a host of the view to the form that routing uses.
func routeHost(host view.Host) route.Host {
	report := host.Report()
	node := report.GetNode()
	return route.Host{
		ID:            node.GetId(),
		Incarnation:   node.GetIncarnation(),
		Address:       node.GetControlAddress(),
		Region:        node.GetRegion(),
		FailureDomain: node.GetFailureDomain(),
		Running:       int(report.GetRunning()),
		Queued:        int(report.GetQueued()),
		Slots:         int(report.GetSlots()),
		Sequence:      report.GetSequence(),
		SeenAt:        host.SeenAt(),
		TokenGap:      time.Duration(report.GetTokenGapMillis() * float64(time.Millisecond)),
		Prefixes:      report.GetPrefixes(),
	}
}

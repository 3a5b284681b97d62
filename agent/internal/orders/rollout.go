package orders

import (
	"fmt"
	"slices"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// States of a version in wire.VersionState. "whole" means that the host has all
// chunks of the version but is not loading, serving or draining it.
const (
	stateAbsent   = "absent"
	stateFetching = "fetching"
	stateWhole    = "whole"
	stateLoading  = "loading"
	stateServing  = "serving"
	stateDraining = "draining"
	stateFailed   = "failed"
)

// SwitchInputs holds what MaySwitch depends on.
type SwitchInputs struct {
	Plan *wire.Plan
	// Self is this host's assignment.
	Self *wire.Assignment
	// Hosts are the latest reports of the hosts in the failure domain.
	Hosts []view.Host
	// MaxUnavailable limits the hosts of the failure domain that are out of
	// service at once for the switch; 0 means 1.
	MaxUnavailable int
	// RequireComplete lets no host switch before all of them have the complete
	// version; it is set for the document's shift "whenWhole".
	RequireComplete bool
	// TreatAbsentAsLost is set once this process has received reports for so
	// long that a host without any report counts as lost.
	TreatAbsentAsLost bool
}

// MaySwitch reports whether the rollout lets this host stop serving its old
// version now, or why not. A host switches only after those of earlier waves in
// its failure domain, and at most MaxUnavailable hosts switch at once. Hosts that
// are lost or leaving are not waited for.
func MaySwitch(in SwitchInputs) (may bool, holdUp string) {
	ahead := 0
	for _, other := range in.Plan.GetAssignments() {
		if !sameRollout(in.Self, other) || other.GetHost() == in.Self.GetHost() {
			continue
		}
		host, reported := findHost(in.Hosts, other.GetHost())
		if lostOrLeaving(host, reported, in.TreatAbsentAsLost) || servesAssigned(host, other) {
			continue
		}
		if other.GetWave() < in.Self.GetWave() {
			return false, fmt.Sprintf("waiting for host %s of wave %d", other.GetHost(), other.GetWave())
		}
		if in.RequireComplete && !hasAllWeights(host, other) {
			return false, fmt.Sprintf("waiting until host %s has the complete version", other.GetHost())
		}
		if switchesBefore(host, other, in.Self) {
			ahead++
		}
	}
	if allowed := max(in.MaxUnavailable, 1); ahead >= allowed {
		return false, fmt.Sprintf("waiting for other hosts that switch first: %d", ahead)
	}
	return true, ""
}

// sameRollout reports whether both assignments switch to the same version in the
// same failure domain.
func sameRollout(self, other *wire.Assignment) bool {
	return other.GetModel() == self.GetModel() &&
		other.GetVersion() == self.GetVersion() &&
		other.GetFailureDomain() == self.GetFailureDomain()
}

// findHost returns the host with the given id.
func findHost(hosts []view.Host, id string) (view.Host, bool) {
	index := slices.IndexFunc(hosts, func(host view.Host) bool {
		return host.Report().GetNode().GetId() == id
	})
	if index < 0 {
		return view.Host{}, false
	}
	return hosts[index], true
}

// lostOrLeaving reports whether the host is lost or leaving. For a host without a
// report it returns treatAbsentAsLost.
func lostOrLeaving(host view.Host, reported, treatAbsentAsLost bool) bool {
	if !reported {
		return treatAbsentAsLost
	}
	return host.Lost() || host.Leaving()
}

// switchesBefore reports whether the other host switches before this one. Hosts
// that are already switching come first, whatever their wave; the others of the
// same wave follow by id. This fixed order keeps two hosts that decide on reports
// of different age from both switching. A host that serves no version of the
// model does not count, because a first load takes nothing out of service.
func switchesBefore(host view.Host, other, self *wire.Assignment) bool {
	if isSwitching(host, other) {
		return true
	}
	if other.GetWave() != self.GetWave() {
		return false
	}
	return servesModel(host, other.GetModel()) && other.GetHost() < self.GetHost()
}

// servesAssigned reports whether the host serves the assigned version with exactly
// the assigned adapters.
func servesAssigned(host view.Host, assignment *wire.Assignment) bool {
	for _, state := range host.Report().GetVersions() {
		if state.GetVersion() == assignment.GetVersion() && state.GetModel() == assignment.GetModel() &&
			state.GetState() == stateServing && sameAdapters(state.GetAdapters(), assignment.GetAdapters()) {
			return true
		}
	}
	return false
}

// hasAllWeights reports whether the host has all chunks of the assigned version,
// whether in use or not.
func hasAllWeights(host view.Host, assignment *wire.Assignment) bool {
	for _, state := range host.Report().GetVersions() {
		if state.GetVersion() != assignment.GetVersion() {
			continue
		}
		switch state.GetState() {
		case stateWhole, stateLoading, stateServing, stateDraining:
			return true
		}
	}
	return false
}

// isSwitching reports whether the host is draining or loading a version of the
// assigned model.
func isSwitching(host view.Host, assignment *wire.Assignment) bool {
	for _, state := range host.Report().GetVersions() {
		if state.GetModel() != assignment.GetModel() {
			continue
		}
		if state.GetState() == stateLoading || state.GetState() == stateDraining {
			return true
		}
	}
	return false
}

// servesModel reports whether the host serves any version of the model.
func servesModel(host view.Host, model string) bool {
	for _, state := range host.Report().GetVersions() {
		if state.GetModel() == model && state.GetState() == stateServing {
			return true
		}
	}
	return false
}

// sameAdapters reports whether both lists have the same names and versions, in any
// order.
func sameAdapters(have, want []*wire.Adapter) bool {
	if len(have) != len(want) {
		return false
	}
	for _, adapter := range want {
		match := func(other *wire.Adapter) bool {
			return other.GetName() == adapter.GetName() && other.GetVersion() == adapter.GetVersion()
		}
		if !slices.ContainsFunc(have, match) {
			return false
		}
	}
	return true
}

package orders

import (
	"fmt"
	"slices"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// States of a version in wire.VersionState.
const (
	stateAbsent   = "absent"
	stateFetching = "fetching"
	stateWhole    = "whole"
	stateLoading  = "loading"
	stateServing  = "serving"
	stateDraining = "draining"
	stateFailed   = "failed"
)

// SwitchInputs is what the decision to leave an old version depends on.
type SwitchInputs struct {
	Plan *wire.Plan
	// Self is this host's assignment in the plan.
	Self *wire.Assignment
	// Hosts are the newest reports of the failure domain.
	Hosts []view.Host
	// MaxUnavailable bounds the hosts out at once; 0 stands for 1.
	MaxUnavailable int
	// RequireComplete: no host turns before the version is whole on all.
	RequireComplete bool
	// TreatAbsentAsLost: this process has listened for long enough to take
	// a host without any report for lost.
	TreatAbsentAsLost bool
}

// MaySwitch reports whether this host may stop serving the old version now, or
// why not.
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
			return false, fmt.Sprintf("waits for host %s of wave %d", other.GetHost(), other.GetWave())
		}
		if in.RequireComplete && !hasAllWeights(host, other) {
			return false, fmt.Sprintf("waits until the version is whole on host %s", other.GetHost())
		}
		if switchesBefore(host, other, in.Self) {
			ahead++
		}
	}
	if allowed := max(in.MaxUnavailable, 1); ahead >= allowed {
		return false, fmt.Sprintf("waits because %d hosts are out at once already", ahead)
	}
	return true, ""
}

// sameRollout reports whether the other host turns to the same version in the same
// failure domain.
func sameRollout(self, other *wire.Assignment) bool {
	return other.GetModel() == self.GetModel() &&
		other.GetVersion() == self.GetVersion() &&
		other.GetFailureDomain() == self.GetFailureDomain()
}

func findHost(hosts []view.Host, id string) (view.Host, bool) {
	index := slices.IndexFunc(hosts, func(host view.Host) bool {
		return host.Report().GetNode().GetId() == id
	})
	if index < 0 {
		return view.Host{}, false
	}
	return hosts[index], true
}

func lostOrLeaving(host view.Host, reported, treatAbsentAsLost bool) bool {
	if !reported {
		return treatAbsentAsLost
	}
	return host.Lost() || host.Leaving()
}

// switchesBefore ranks the hosts of one wave that are still to turn, so that two
// that decide on reports of different age do not both go: those that are out
// already, whatever their wave, then by id. Hosts that serve nothing of the
// model are not out by turning.
func switchesBefore(host view.Host, other, self *wire.Assignment) bool {
	if isSwitching(host, other) {
		return true
	}
	if other.GetWave() != self.GetWave() {
		return false
	}
	return servesModel(host, other.GetModel()) && other.GetHost() < self.GetHost()
}

func servesAssigned(host view.Host, assignment *wire.Assignment) bool {
	for _, state := range host.Report().GetVersions() {
		if state.GetVersion() == assignment.GetVersion() && state.GetModel() == assignment.GetModel() &&
			state.GetState() == stateServing && sameAdapters(state.GetAdapters(), assignment.GetAdapters()) {
			return true
		}
	}
	return false
}

// hasAllWeights reports whether the host has all bytes of the version, in use or not.
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

func servesModel(host view.Host, model string) bool {
	for _, state := range host.Report().GetVersions() {
		if state.GetModel() == model && state.GetState() == stateServing {
			return true
		}
	}
	return false
}

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

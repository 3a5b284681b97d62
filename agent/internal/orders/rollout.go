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

// Waves is what the decision to leave an old version depends on.
type Waves struct {
	Plan *wire.Plan
	// Self is this host's assignment in the plan.
	Self *wire.Assignment
	// Hosts are the newest reports of the failure domain.
	Hosts []view.Host
	// MaxUnavailable bounds the hosts out at once; 0 stands for 1.
	MaxUnavailable int
	// WhenWhole: no host turns before the version is whole on all.
	WhenWhole bool
	// AbsentLost: this process has listened for long enough to take
	// a host without any report for lost.
	AbsentLost bool
}

// MaySwitch reports whether this host may stop serving the old version now, or
// why not.
func MaySwitch(in Waves) (may bool, holdUp string) {
	ahead := 0
	for _, other := range in.Plan.GetAssignments() {
		if !sameRoll(in.Self, other) || other.GetHost() == in.Self.GetHost() {
			continue
		}
		host, known := find(in.Hosts, other.GetHost())
		if gone(host, known, in.AbsentLost) || serving(host, other) {
			continue
		}
		if other.GetWave() < in.Self.GetWave() {
			return false, fmt.Sprintf("waits for host %s of wave %d", other.GetHost(), other.GetWave())
		}
		if in.WhenWhole && !whole(host, other) {
			return false, fmt.Sprintf("waits until the version is whole on host %s", other.GetHost())
		}
		if goesBefore(host, other, in.Self) {
			ahead++
		}
	}
	if allowed := max(in.MaxUnavailable, 1); ahead >= allowed {
		return false, fmt.Sprintf("waits because %d hosts are out at once already", ahead)
	}
	return true, ""
}

// sameRoll reports whether the other host turns to the same version in the same
// failure domain.
func sameRoll(self, other *wire.Assignment) bool {
	return other.GetModel() == self.GetModel() &&
		other.GetVersion() == self.GetVersion() &&
		other.GetFailureDomain() == self.GetFailureDomain()
}

func find(hosts []view.Host, id string) (view.Host, bool) {
	at := slices.IndexFunc(hosts, func(host view.Host) bool {
		return host.Report().GetNode().GetId() == id
	})
	if at < 0 {
		return view.Host{}, false
	}
	return hosts[at], true
}

func gone(host view.Host, known, absentLost bool) bool {
	if !known {
		return absentLost
	}
	return host.Lost() || host.Leaving()
}

// goesBefore ranks the hosts of one wave that are still to turn, so that two
// that decide on reports of different age do not both go: those that are out
// already, whatever their wave, then by id. Hosts that serve nothing of the
// model are not out by turning.
func goesBefore(host view.Host, other, self *wire.Assignment) bool {
	if isOut(host, other) {
		return true
	}
	if other.GetWave() != self.GetWave() {
		return false
	}
	return servesModel(host, other.GetModel()) && other.GetHost() < self.GetHost()
}

func serving(host view.Host, want *wire.Assignment) bool {
	for _, state := range host.Report().GetVersions() {
		if state.GetVersion() == want.GetVersion() && state.GetModel() == want.GetModel() &&
			state.GetState() == stateServing && sameAdapters(state.GetAdapters(), want.GetAdapters()) {
			return true
		}
	}
	return false
}

// whole reports whether the host has all bytes of the version, in use or not.
func whole(host view.Host, want *wire.Assignment) bool {
	for _, state := range host.Report().GetVersions() {
		if state.GetVersion() != want.GetVersion() {
			continue
		}
		switch state.GetState() {
		case stateWhole, stateLoading, stateServing, stateDraining:
			return true
		}
	}
	return false
}

func isOut(host view.Host, want *wire.Assignment) bool {
	for _, state := range host.Report().GetVersions() {
		if state.GetModel() != want.GetModel() {
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

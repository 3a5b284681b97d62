package onsite

import (
	"cmp"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/wire"
)

const (
	// guidanceInterval is how often unchanged guidance is sent to an agent again.
	guidanceInterval = 10 * time.Second
	// minHostListInterval is the minimum time between two messages to an agent in which only the
	// list of hosts changed, so that hosts that register together are sent in one list.
	minHostListInterval = 400 * time.Millisecond
)

// guidanceSnapshot is the guidance for agents as of one plan.
type guidanceSnapshot struct {
	guidance *wire.Guidance // without ages; read-only
	// urgentDigest covers the content that must be sent at once, digest all of it. Ages and
	// revisions are in neither, since a change of these alone is not sent.
	urgentDigest, digest uint64
}

// digestOrZero returns the digest, or 0 for a nil snapshot.
func (b *guidanceSnapshot) digestOrZero() uint64 {
	if b == nil {
		return 0
	}
	return b.digest
}

// delayUntilUpdate returns how long a host that received b the given time ago can wait for
// newest. Zero or less means that newest is due.
func (b *guidanceSnapshot) delayUntilUpdate(newest *guidanceSnapshot, age time.Duration) time.Duration {
	switch {
	case b == nil || b.urgentDigest != newest.urgentDigest:
		return 0
	case b.digest != newest.digest:
		return minHostListInterval - age
	}
	return guidanceInterval - age
}

// withCurrentAges returns a copy of the guidance with the current age of each wanted version.
func (b *guidanceSnapshot) withCurrentAges(f *feedManager) *wire.Guidance {
	guidance := proto.CloneOf(b.guidance)
	for _, weights := range guidance.GetWanted() {
		if want, ok := f.state.WantedOf(weights.GetModel()); ok && want.Version == weights.GetVersion() {
			weights.AgeMillis = uint32(f.clock.Since(want.Since).Milliseconds())
		}
	}
	return guidance
}

// buildGuidance builds the guidance for agents from the current state.
func (f *feedManager) buildGuidance(engines []fleet.Engine) *guidanceSnapshot {
	guidance := &wire.Guidance{Revision: f.state.Revision()}
	if cat := f.state.Catalog(); cat != nil {
		f.addWantedWeights(guidance, cat)
	}
	snapshot := &guidanceSnapshot{guidance: guidance}
	snapshot.urgentDigest = guidanceDigest(guidance)
	guidance.Hosts = f.hostGroups(engines)
	snapshot.digest = guidanceDigest(guidance)
	return snapshot
}

// addWantedWeights adds the origin and the wanted version of every model that engines load.
func (f *feedManager) addWantedWeights(guidance *wire.Guidance, cat *catalog.Catalog) {
	if origin, rate := cat.Origin(); origin != "" {
		guidance.OriginUrl, guidance.OriginRate = "http://"+origin, rate
	}
	loaded := f.state.Fleet().Models()
	cat.Services(func(svc *catalog.Service) {
		if svc.Engine == nil {
			return
		}
		for _, model := range slices.Sorted(maps.Keys(svc.Engine.Loads)) {
			load := svc.Engine.Loads[model]
			guidance.Wanted = append(guidance.Wanted, f.wantedWeights(svc, model, loaded[model], load, cat.Resumable(svc.Name)))
		}
	})
}

// wantedWeights returns the declared version of a model's weights, or the version that most engines have
// loaded if none is declared.
func (f *feedManager) wantedWeights(svc *catalog.Service, model string, loaded uint64, load time.Duration, cutover bool) *wire.WantedWeights {
	weights := &wire.WantedWeights{
		Model: model, Version: max(1, loaded), LoadSeconds: load.Seconds(),
		Chunks: uint32(svc.Engine.Chunks), ChunkBytes: uint32(svc.Engine.ChunkBytes), Cutover: cutover,
	}
	if declared, ok := f.state.WantedOf(model); ok {
		weights.Version, weights.Fence = declared.Version, declared.Revision
	}
	return weights
}

// hostGroups returns the hosts that should hold weights, grouped by failure domain. It omits
// hosts that are leaving, because other hosts would wait for the chunks assigned to them, and
// hosts without an IPv4 address, which no platform uses.
func (f *feedManager) hostGroups(engines []fleet.Engine) []*wire.HostGroup {
	groups := map[string]*wire.HostGroup{}
	sorted := slices.SortedFunc(slices.Values(engines), func(left, right fleet.Engine) int { return cmp.Compare(left.Address, right.Address) })
	for _, eng := range sorted {
		if eng.Leaving {
			continue
		}
		address, err := netip.ParseAddrPort(eng.Address)
		if err != nil || !address.Addr().Is4() {
			f.log.Warn("the engine's address is not a valid IPv4 address and port, omitting its host from the host list", "address", eng.Address, "error", err)
			continue
		}
		group := groups[eng.FailureDomain]
		if group == nil {
			group = &wire.HostGroup{Region: f.regionOf(eng.FailureDomain), FailureDomain: eng.FailureDomain, AgentPort: f.agentPort}
			groups[eng.FailureDomain] = group
		}
		ip := address.Addr().As4()
		group.Ip = append(group.Ip, binary.BigEndian.Uint32(ip[:]))
		group.Port = append(group.Port, uint32(address.Port()))
	}
	var list []*wire.HostGroup
	for _, domain := range slices.Sorted(maps.Keys(groups)) {
		list = append(list, groups[domain])
	}
	return list
}

// guidanceDigest returns a hash of the guidance without its revision.
func guidanceDigest(guidance *wire.Guidance) uint64 {
	content := &wire.Guidance{
		Wanted: guidance.GetWanted(), Hosts: guidance.GetHosts(), OriginUrl: guidance.GetOriginUrl(), OriginRate: guidance.GetOriginRate(),
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}

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
	// guideInterval is how often an agent receives again what did not change.
	guidanceInterval = 10 * time.Second
	// hostsGap is the least time between two lists of hosts to one agent where nothing else is
	// new, so that one list holds the hosts that register together.
	minHostListInterval = 400 * time.Millisecond
)

// brief is what hosts are to know, as one plan found it.
type guidanceSnapshot struct {
	guidance *wire.Guidance // without ages; never changed
	// wanted sums up what must be sent at once, digest all of it: ages and revisions
	// alone are nothing new.
	urgentDigest, digest uint64
}

func (b *guidanceSnapshot) digestOrZero() uint64 {
	if b == nil {
		return 0
	}
	return b.digest
}

// stays returns for how long a host that received this brief so long ago need not
// receive a newer one.
func (b *guidanceSnapshot) delayUntilUpdate(newest *guidanceSnapshot, age time.Duration) time.Duration {
	switch {
	case b == nil || b.urgentDigest != newest.urgentDigest:
		return 0
	case b.digest != newest.digest:
		return minHostListInterval - age
	}
	return guidanceInterval - age
}

// message returns the brief with the ages of this moment.
func (b *guidanceSnapshot) withCurrentAges(f *feedManager) *wire.Guidance {
	guidance := proto.CloneOf(b.guidance)
	for _, weights := range guidance.GetWanted() {
		if want, ok := f.state.WantedOf(weights.GetModel()); ok && want.Version == weights.GetVersion() {
			weights.AgeMillis = uint32(f.clock.Since(want.Since).Milliseconds())
		}
	}
	return guidance
}

// brief puts together what hosts are to know now.
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

// wanted is the version declared, or the newest that an engine has where none
// was declared.
func (f *feedManager) wantedWeights(svc *catalog.Service, model string, newestLoaded uint64, load time.Duration, cutover bool) *wire.WantedWeights {
	weights := &wire.WantedWeights{
		Model: model, Version: max(1, newestLoaded), LoadSeconds: load.Seconds(),
		Chunks: uint32(svc.Engine.Chunks), ChunkBytes: uint32(svc.Engine.ChunkBytes), Cutover: cutover,
	}
	if declared, ok := f.state.WantedOf(model); ok && declared.Version >= weights.Version {
		weights.Version, weights.Fence = declared.Version, declared.Revision
	}
	return weights
}

// hosts lists the hosts by failure domain that are to hold weights. One that leaves is
// left out: chunks that were its turn to draw would wait for it. So is one whose address
// is no IPv4 address: platforms give no others.
func (f *feedManager) hostGroups(engines []fleet.Engine) []*wire.HostGroup {
	groups := map[string]*wire.HostGroup{}
	sorted := slices.SortedFunc(slices.Values(engines), func(left, right fleet.Engine) int { return cmp.Compare(left.Address, right.Address) })
	for _, eng := range sorted {
		if eng.Leaving {
			continue
		}
		address, err := netip.ParseAddrPort(eng.Address)
		if err != nil || !address.Addr().Is4() {
			f.log.Warn("an engine's address can't be sent to other hosts", "address", eng.Address, "error", err)
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

// digestOf sums up guidance but for its revision.
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

package control

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// shardCount is the number of shards, each with its own lock.
const shardCount = 16

// memberShard holds the members whose ids hash to it.
type memberShard struct {
	mu    sync.Mutex
	table *membership.Table
}

// Members is the table of known hosts and entries, sharded by id. It is safe for
// concurrent use.
type Members struct {
	self   string
	shards [shardCount]memberShard
}

// NewMembers returns an empty table; self is this entry's id.
func NewMembers(self string) *Members {
	members := &Members{self: self}
	for i := range members.shards {
		members.shards[i].table = membership.New(membership.DefaultLimits())
	}
	return members
}

// shard returns the shard that holds the id.
func (m *Members) shard(id string) *memberShard {
	return &m.shards[xxhash.Sum64String(id)%shardCount]
}

// with runs f on the shard's table while holding its lock.
func (s *memberShard) with(f func(*membership.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.table)
}

// each runs f on the table of each shard, one after another.
func (m *Members) each(f func(*membership.Table)) {
	for i := range m.shards {
		m.shards[i].with(f)
	}
}

// ObserveHost applies a host's report and reports whether it was newer than the stored one.
func (m *Members) ObserveHost(report *wire.HostReport, now time.Time) (newer bool) {
	m.shard(report.GetNode().GetId()).with(func(t *membership.Table) { newer = t.ObserveHost(report, now) })
	return newer
}

// Complete merges a partial report with the stored one; ok is false if the whole
// report must be requested.
func (m *Members) Complete(report *wire.HostReport) (whole *wire.HostReport, ok bool) {
	m.shard(report.GetNode().GetId()).with(func(t *membership.Table) { whole, ok = t.Complete(report) })
	return whole, ok
}

// CompleteEntry adds the stored description of the entry to its report; ok is
// false if the description must be requested.
func (m *Members) CompleteEntry(report *wire.EntryReport) (whole *wire.EntryReport, ok bool) {
	m.shard(report.GetNode().GetId()).with(func(t *membership.Table) { whole, ok = t.CompleteEntry(report) })
	return whole, ok
}

// Describe returns the full description of a message's sender; false if the
// message omits the description and none is stored.
func (m *Members) Describe(from *wire.Node) (*wire.Node, bool) {
	if !membership.IsNameOnly(from) {
		return from, true
	}
	var held *wire.Node
	m.shard(from.GetId()).with(func(t *membership.Table) { held = t.Node(from.GetId(), from.GetIncarnation()) })
	return held, held != nil && held.GetRole() == from.GetRole()
}

// ObserveEntry applies an entry's report and reports whether it was newer than the stored one.
func (m *Members) ObserveEntry(report *wire.EntryReport, now time.Time) (newer bool) {
	m.shard(report.GetNode().GetId()).with(func(t *membership.Table) { newer = t.ObserveEntry(report, now) })
	return newer
}

// Touch records the time of a call from the node, whether or not it has a report.
func (m *Members) Touch(node *wire.Node, now time.Time) {
	m.shard(node.GetId()).with(func(t *membership.Table) { t.Touch(node.GetId(), node.GetIncarnation(), now) })
}

// ObserveList applies the platform's host list. An empty list is ignored.
func (m *Members) ObserveList(list []membership.Listed, now time.Time) {
	if len(list) == 0 {
		return
	}
	byShard := map[*memberShard][]membership.Listed{}
	for _, listed := range list {
		shard := m.shard(listed.Node.GetId())
		byShard[shard] = append(byShard[shard], listed)
	}
	for i := range m.shards {
		shard := &m.shards[i]
		shard.with(func(t *membership.Table) { t.ObserveList(byShard[shard], len(list), now) })
	}
}

// Adjust shifts the times at which members were last seen, after this process was
// paused for the given time.
func (m *Members) Adjust(jump time.Duration) {
	m.each(func(t *membership.Table) { t.ShiftLastSeen(jump) })
}

// Forget removes the members that have long been silent and are not listed.
func (m *Members) Forget(now time.Time) {
	m.each(func(t *membership.Table) { t.Forget(now) })
}

// Knows reports whether the host or entry is known.
func (m *Members) Knows(id string) (known bool) {
	m.shard(id).with(func(t *membership.Table) { known = t.Knows(id) })
	return known
}

// Len returns the number of known members.
func (m *Members) Len() int {
	count := 0
	m.each(func(t *membership.Table) { count += t.Len() })
	return count
}

// Entries returns the known entries, sorted by id.
func (m *Members) Entries(now time.Time) []view.Peer {
	count := 0
	m.each(func(t *membership.Table) { count += t.EntryCount() })
	entries := make([]view.Peer, 0, count)
	m.each(func(t *membership.Table) { entries = append(entries, t.Entries(now, count)...) })
	membership.SortEntries(entries)
	return entries
}

// Hosts returns the known hosts, sorted by id. entries must be the result of
// Entries for the same time.
func (m *Members) Hosts(now time.Time, drains *wire.DrainMarks, entries []view.Peer) []view.Host {
	out := membership.ExternalState{Self: m.self, HostCount: m.Len(), Drained: map[string]bool{}, LostEntries: map[string]bool{}}
	for _, id := range drains.GetHosts() {
		out.Drained[id] = true
	}
	for _, entry := range entries {
		if entry.Lost() {
			out.LostEntries[entry.Report().GetNode().GetId()] = true
		}
	}
	hosts := make([]view.Host, 0, out.HostCount)
	m.each(func(t *membership.Table) { hosts = append(hosts, t.Hosts(now, out)...) })
	membership.SortHosts(hosts)
	return hosts
}

// Reachable returns the entries that can be called.
func (m *Members) Reachable(now time.Time) []*wire.Node {
	var nodes []*wire.Node
	m.each(func(t *membership.Table) { nodes = append(nodes, t.Reachable(now)...) })
	return nodes
}

// EnginesByDomain returns the number of listed engine hosts per failure domain.
func (m *Members) EnginesByDomain() map[string]int {
	count := map[string]int{}
	m.each(func(t *membership.Table) { t.ListedEngines(count) })
	return count
}

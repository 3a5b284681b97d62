// Package membership decides which hosts and entries exist and may get work. It
// combines three sources of different reliability: the hosts' own reports, the
// platform's list, which lags, and the operators' drain marks.
package membership

import (
	"slices"
	"strings"
	"time"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// States of a host in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Roles of a node.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// Limits are the periods of silence after which members count as lost.
type Limits struct {
	// LostAfter is the silence after which a host that reports to this process
	// counts as lost.
	LostAfter time.Duration
	// RemoteLostAfter and RemoteLostPerHost bound the silence of a host that
	// reports to another entry. Entries forward unchanged reports rarely, and
	// the more rarely the more hosts there are.
	RemoteLostAfter, RemoteLostPerHost time.Duration
	// EntryLostAfter and EntryLostPerEntry bound the silence of an entry. In a
	// large deployment entries learn of each other indirectly and less often.
	EntryLostAfter, EntryLostPerEntry time.Duration
	// ForgetAfter is the silence after which a member that the platform's list
	// lacks is removed; it bounds the size of the table.
	ForgetAfter time.Duration
}

// DefaultLimits returns limits for one report a second, of which two may be lost.
func DefaultLimits() Limits {
	return Limits{
		LostAfter:         4 * time.Second,
		RemoteLostAfter:   60 * time.Second,
		RemoteLostPerHost: 300 * time.Millisecond,

		EntryLostAfter:    7 * time.Second,
		EntryLostPerEntry: 150 * time.Millisecond,

		ForgetAfter: 30 * time.Minute,
	}
}

// Listed is one entry of the platform's list.
type Listed struct {
	Node    *wire.Node // without incarnation
	State   string
	Service string // empty for engine hosts and entries
}

// member holds the latest information on one host or entry.
type member struct {
	report *wire.HostReport  // nil for entries and for hosts that never reported
	entry  *wire.EntryReport // nil for hosts and for entries that never reported
	seenAt time.Time         // zero if never seen
	listed *Listed           // nil if the newest list lacks it
}

// Table holds the members. It is not safe for concurrent use: programs keep one
// table for each shard and guard it by the shard's lock.
type Table struct {
	limits  Limits
	members map[string]*member
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{limits: limits, members: map[string]*member{}}
}

// Len returns the number of members.
func (t *Table) Len() int { return len(t.members) }

// EntryCount returns the number of entries that have reported.
func (t *Table) EntryCount() int {
	count := 0
	for _, stored := range t.members {
		if stored.entry != nil {
			count++
		}
	}
	return count
}

func (t *Table) memberFor(id string) *member {
	found := t.members[id]
	if found == nil {
		found = &member{}
		t.members[id] = found
	}
	return found
}

// Newer reports whether a report with the incarnation and sequence replaces the
// stored one. Incarnations are UUIDv7 strings, so that the incarnation of a
// restarted process sorts after the previous one.
func Newer(incarnation string, sequence uint64, storedIncarnation string, storedSequence uint64) bool {
	if incarnation != storedIncarnation {
		return incarnation > storedIncarnation
	}
	return sequence > storedSequence
}

// ObserveHost stores a host's whole report and returns whether it was newer than
// the stored one. It ignores amendments; see Complete.
func (t *Table) ObserveHost(report *wire.HostReport, now time.Time) bool {
	id := report.GetNode().GetId()
	if id == "" || report.GetNode().GetIncarnation() == "" || IsAmendment(report) {
		return false
	}
	stored := t.memberFor(id)
	if stored.report != nil && !replaces(report, stored.report) {
		return false
	}
	stored.report = report
	stored.seenAt = laterTime(stored.seenAt, reportTime(report.GetAgeMillis(), now))
	return true
}

// replaces reports whether a report supersedes the stored one. The report that a
// host is lost comes from its home entry and has the last sequence number that the
// host used.
func replaces(report, stored *wire.HostReport) bool {
	incarnation, storedIncarnation := report.GetNode().GetIncarnation(), stored.GetNode().GetIncarnation()
	if incarnation == storedIncarnation && report.GetSequence() == stored.GetSequence() {
		return report.GetLost() && !stored.GetLost()
	}
	return Newer(incarnation, report.GetSequence(), storedIncarnation, stored.GetSequence())
}

// Touch records that the host's process was seen without a report, when a call
// from it ended here.
func (t *Table) Touch(id, incarnation string, now time.Time) {
	stored := t.members[id]
	if stored != nil && stored.report != nil && stored.report.GetNode().GetIncarnation() == incarnation {
		stored.seenAt = laterTime(stored.seenAt, now)
	}
}

// ObserveEntry stores an entry's report and returns whether it was newer than the
// stored one. Reports without description go through CompleteEntry first.
func (t *Table) ObserveEntry(report *wire.EntryReport, now time.Time) bool {
	id := report.GetNode().GetId()
	if id == "" || report.GetNode().GetIncarnation() == "" {
		return false
	}
	stored := t.memberFor(id)
	if stored.entry != nil && !Newer(report.GetNode().GetIncarnation(), report.GetSequence(),
		stored.entry.GetNode().GetIncarnation(), stored.entry.GetSequence()) {
		return false
	}
	stored.entry = report
	stored.seenAt = laterTime(stored.seenAt, reportTime(report.GetAgeMillis(), now))
	return true
}

// laterTime returns the later of both times, so that a member does not look silent
// when the clock jumps back.
func laterTime(stored, seen time.Time) time.Time {
	if seen.Before(stored) {
		return stored
	}
	return seen
}

func reportTime(ageMillis uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}

// ObserveList stores the platform's list, or the table's share of it. Absence from
// the list alone makes no host unusable. total is the length of the whole list: an
// empty list means an outage of the list, not of the deployment, and is ignored.
func (t *Table) ObserveList(list []Listed, total int, now time.Time) {
	if total == 0 {
		return
	}
	for _, stored := range t.members {
		stored.listed = nil
	}
	for i := range list {
		if id := list[i].Node.GetId(); id != "" {
			t.memberFor(id).listed = &list[i]
		}
	}
	t.Forget(now)
}

// ShiftLastSeen shifts all last-seen times after this process was paused or its clock
// jumped. Otherwise the process would treat the whole deployment as silent and
// route to no host until the hosts have reported again.
func (t *Table) ShiftLastSeen(jump time.Duration) {
	for _, stored := range t.members {
		if !stored.seenAt.IsZero() {
			stored.seenAt = stored.seenAt.Add(jump)
		}
	}
}

// Knows reports whether the table has the host or entry.
func (t *Table) Knows(id string) bool { return t.members[id] != nil }

// Forget removes the members that have been silent for longer than ForgetAfter and
// that the newest list lacks. This bounds the size of the table.
func (t *Table) Forget(now time.Time) {
	for id, stored := range t.members {
		if stored.listed == nil && now.Sub(stored.seenAt) > t.limits.ForgetAfter {
			delete(t.members, id)
		}
	}
}

// ExternalState holds the inputs from outside the table that the state of hosts depends on.
type ExternalState struct {
	// Self is the id of this entry.
	Self string
	// Drained holds the ids of hosts that operators drain.
	Drained map[string]bool
	// LostEntries holds the ids of entries that are lost.
	LostEntries map[string]bool
	// HostCount is the number of hosts in all shards.
	HostCount int
}

// isHostLost reports whether a host counts as lost. For a host that reports to
// another entry, its home entry, long silence is normal. There it relies on that
// entry's report of the loss, or applies LostAfter once that entry itself is lost.
func (t *Table) isHostLost(stored *member, now time.Time, out ExternalState) bool {
	silence := now.Sub(stored.seenAt)
	home := stored.report.GetHome()
	switch {
	case stored.report.GetLost():
		return true
	case home == "" || home == out.Self || out.LostEntries[home]:
		return silence > t.limits.LostAfter
	}
	return silence > t.limits.RemoteLostAfter+time.Duration(out.HostCount)*t.limits.RemoteLostPerHost
}

func (t *Table) isEntryLost(stored *member, now time.Time, entryCount int) bool {
	if stored.seenAt.IsZero() {
		return true
	}
	return now.Sub(stored.seenAt) > t.limits.EntryLostAfter+time.Duration(entryCount)*t.limits.EntryLostPerEntry
}

// leaving combines the three sources, each of which stops new work. Of a host's own
// reports only the newest counts, so that a host that withdraws its leave or
// restarts is usable again at once.
func leaving(stored *member, reportedLeaving, drained bool) bool {
	return reportedLeaving || drained || (stored.listed != nil && stored.listed.State == StateLeaving)
}

// Hosts returns the hosts that reported at least once, in unspecified order.
func (t *Table) Hosts(now time.Time, out ExternalState) []view.Host {
	hosts := make([]view.Host, 0, len(t.members))
	for id, stored := range t.members {
		if stored.report == nil {
			continue
		}
		isLeaving := leaving(stored, stored.report.GetLeaving(), out.Drained[id])
		hosts = append(hosts, view.NewHost(stored.report, stored.seenAt, isLeaving, t.isHostLost(stored, now, out)))
	}
	return hosts
}

// Entries returns the entries that reported at least once, in unspecified order.
// entryCount is the number of entries in all shards.
func (t *Table) Entries(now time.Time, entryCount int) []view.Peer {
	var entries []view.Peer
	for _, stored := range t.members {
		if stored.entry == nil {
			continue
		}
		isLeaving := leaving(stored, stored.entry.GetDraining(), false)
		entries = append(entries, view.NewPeer(stored.entry, stored.seenAt, isLeaving, t.isEntryLost(stored, now, entryCount)))
	}
	return entries
}

// SortHosts sorts hosts by id.
func SortHosts(hosts []view.Host) {
	slices.SortFunc(hosts, func(a, b view.Host) int {
		return strings.Compare(a.Report().GetNode().GetId(), b.Report().GetNode().GetId())
	})
}

// SortEntries sorts entries by id.
func SortEntries(entries []view.Peer) {
	slices.SortFunc(entries, func(a, b view.Peer) int {
		return strings.Compare(a.Report().GetNode().GetId(), b.Report().GetNode().GetId())
	})
}

// Reachable returns the entries to call, whether they reported or are only listed,
// in unspecified order. An entry starts with the platform's list and learns of the
// other entries from the first one that answers.
func (t *Table) Reachable(now time.Time) []*wire.Node {
	var nodes []*wire.Node
	for _, stored := range t.members {
		if node := dialTarget(stored); node != nil && !t.isExpired(stored, now) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func dialTarget(stored *member) *wire.Node {
	if stored.entry != nil {
		return stored.entry.GetNode()
	}
	if stored.listed != nil && stored.listed.Node.GetRole() == roleEntry {
		return stored.listed.Node
	}
	return nil
}

// isExpired reports whether an entry is not listed and has been silent for longer
// than RemoteLostAfter.
func (t *Table) isExpired(stored *member, now time.Time) bool {
	return stored.entry != nil && stored.listed == nil && now.Sub(stored.seenAt) > t.limits.RemoteLostAfter
}

// ListedEngines adds the number of engine hosts that reported or that the platform
// lists to count, by failure domain.
func (t *Table) ListedEngines(count map[string]int) {
	for _, stored := range t.members {
		switch {
		case stored.report != nil:
			if stored.report.GetService() == "" {
				count[stored.report.GetNode().GetFailureDomain()]++
			}
		case stored.listed != nil && stored.listed.Node.GetRole() == roleAgent && stored.listed.Service == "":
			count[stored.listed.Node.GetFailureDomain()]++
		}
	}
}

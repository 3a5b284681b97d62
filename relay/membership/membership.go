// Package membership decides which hosts and entries exist and may get work,
// from three sources of unlike quality: the hosts' own reports, the platform's
// lagging list and the operators' drain marks.
package membership

import (
	"slices"
	"strings"
	"time"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// States that the platform's list gives a host.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Roles of a node.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// Limits are the times that the decisions use.
type Limits struct {
	// LostAfter is the silence after which a host is not relied on, where it
	// reports to this process.
	LostAfter time.Duration
	// FarLostAfter and FarLostPerHost bound the silence about a host that
	// reports to another entry: its unchanged reports are passed on rarely, the
	// more so the more hosts there are.
	RemoteLostAfter, RemoteLostPerHost time.Duration
	// EntryLostAfter and EntryLostPerEntry bound the silence about an entry;
	// many entries learn of each other through others, and less often.
	EntryLostAfter, EntryLostPerEntry time.Duration
	// ForgetAfter is the silence after which a host that the platform's list
	// lacks is forgotten; it bounds the table.
	ForgetAfter time.Duration
}

// DefaultLimits suit reports once a second: two may go missing.
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

// Listed is one line of the platform's list.
type Listed struct {
	Node    *wire.Node // without incarnation
	State   string
	Service string // empty for engine hosts and entries
}

// member is what is known of one host or entry.
type member struct {
	report *wire.HostReport  // nil for entries and for hosts never seen
	entry  *wire.EntryReport // nil for hosts and for entries never seen
	seenAt time.Time         // zero: never seen
	listed *Listed           // nil: the newest list lacks it
}

// Table holds the members. It is not safe for concurrent use: programs keep
// one for each shard, under the shard's lock.
type Table struct {
	limits  Limits
	members map[string]*member
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{limits: limits, members: map[string]*member{}}
}

// Len returns how many members are known.
func (t *Table) Len() int { return len(t.members) }

// EntryCount returns how many entries are known.
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

// Newer reports whether a report of (incarnation, sequence) replaces the held
// one. Incarnations are UUIDv7 texts: a restarted process sorts behind the one
// it replaces.
func Newer(incarnation string, sequence uint64, storedIncarnation string, storedSequence uint64) bool {
	if incarnation != storedIncarnation {
		return incarnation > storedIncarnation
	}
	return sequence > storedSequence
}

// ObserveHost takes a host's whole report and returns whether it was news; see
// Complete for an amendment.
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

// replaces reports whether a report is news. The report that a host is lost comes
// from its home entry and bears the last sequence number that the host used.
func replaces(report, stored *wire.HostReport) bool {
	incarnation, storedIncarnation := report.GetNode().GetIncarnation(), stored.GetNode().GetIncarnation()
	if incarnation == storedIncarnation && report.GetSequence() == stored.GetSequence() {
		return report.GetLost() && !stored.GetLost()
	}
	return Newer(incarnation, report.GetSequence(), storedIncarnation, stored.GetSequence())
}

// Touch notes that the host's process was seen, without a report: a call of
// it ended here.
func (t *Table) Touch(id, incarnation string, now time.Time) {
	stored := t.members[id]
	if stored != nil && stored.report != nil && stored.report.GetNode().GetIncarnation() == incarnation {
		stored.seenAt = laterTime(stored.seenAt, now)
	}
}

// ObserveEntry takes an entry's report and returns whether it was news; see
// CompleteEntry for one without description.
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

// later keeps a clock that jumped back from making a member look silent.
func laterTime(stored, seen time.Time) time.Time {
	if seen.Before(stored) {
		return stored
	}
	return seen
}

func reportTime(ageMillis uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}

// ObserveList takes the platform's list, or the table's share of it; absence alone
// changes no host's use. total is the length of the whole list: an empty one is
// an outage of the list, not of the deployment, and changes nothing.
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

// Adjust moves the times last seen after this process itself stood still
// (paused, or its clock jumped): otherwise it would wake, find the whole deployment
// silent and route to nobody until every host has reported again.
func (t *Table) Adjust(jump time.Duration) {
	for _, stored := range t.members {
		if !stored.seenAt.IsZero() {
			stored.seenAt = stored.seenAt.Add(jump)
		}
	}
}

// Knows reports whether the host or entry is known.
func (t *Table) Knows(id string) bool { return t.members[id] != nil }

// Forget drops the members that were silent for long and that the newest list
// lacks; it bounds the table.
func (t *Table) Forget(now time.Time) {
	for id, stored := range t.members {
		if stored.listed == nil && now.Sub(stored.seenAt) > t.limits.ForgetAfter {
			delete(t.members, id)
		}
	}
}

// Outlook is what the judgement of hosts needs from outside the table.
type Outlook struct {
	// Self is the id of the entry that judges.
	Self string
	// Drained are the hosts that operators took out.
	Drained map[string]bool
	// LostEntries are the ids of entries that fell silent.
	LostEntries map[string]bool
	// HostCount is the number of hosts in all shards.
	HostCount int
}

// lostHost trusts the home entry of a far host: its report or its own loss counts
// for more than silence about the host, which is the rule there.
func (t *Table) isHostLost(stored *member, now time.Time, out Outlook) bool {
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

// leaving joins the three sources: any one of them stops new work. A host's
// own newest report counts, so that one that was taken back, or restarted, is
// back at once.
func leaving(stored *member, reportedLeaving, drained bool) bool {
	return reportedLeaving || drained || (stored.listed != nil && stored.listed.State == StateLeaving)
}

// Hosts returns the hosts that reported at least once, in no order.
func (t *Table) Hosts(now time.Time, out Outlook) []view.Host {
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

// Entries returns the entries that reported at least once, in no order.
// entryCount is the number in all shards.
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

// SortHosts sorts by id.
func SortHosts(hosts []view.Host) {
	slices.SortFunc(hosts, func(a, b view.Host) int {
		return strings.Compare(a.Report().GetNode().GetId(), b.Report().GetNode().GetId())
	})
}

// SortEntries sorts by id.
func SortEntries(entries []view.Peer) {
	slices.SortFunc(entries, func(a, b view.Peer) int {
		return strings.Compare(a.Report().GetNode().GetId(), b.Report().GetNode().GetId())
	})
}

// Reachable returns the entries worth calling, seen or only listed, in no
// order: an entry starts with the platform's list and learns the rest from the
// first that answers.
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

// gone leaves out an entry that fell silent long ago and is not listed.
func (t *Table) isExpired(stored *member, now time.Time) bool {
	return stored.entry != nil && stored.listed == nil && now.Sub(stored.seenAt) > t.limits.RemoteLostAfter
}

// ListedEngines counts, by failure domain, the engine hosts that the platform
// lists or that reported, into the map given.
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

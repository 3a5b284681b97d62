package membership

import (
	"strings"

	"comfreyrelay.example/relay/wire"
)

// shortIncarnationLength is the number of trailing characters that identify an
// incarnation to receivers that know the host. In a UUIDv7 these characters are
// 32 random bits.
const shortIncarnationLength = 8

func shortIncarnation(incarnation string) string {
	return incarnation[max(0, len(incarnation)-shortIncarnationLength):]
}

// sameIncarnation reports whether a stored incarnation equals the reported one,
// which may be complete or shortened.
func sameIncarnation(stored, reported string) bool {
	return reported != "" && (stored == reported || len(reported) >= shortIncarnationLength && strings.HasSuffix(stored, reported))
}

// Amend returns an amendment: the fields of a report that change from second to
// second, relative to the whole report with sequence base. The receiver may also
// apply it to a later whole report from another sender, because no other field
// changed between the two.
func Amend(report *wire.HostReport, base uint64) *wire.HostReport {
	node := report.GetNode()
	return &wire.HostReport{
		Node:     &wire.Node{Id: node.GetId(), Incarnation: shortIncarnation(node.GetIncarnation())},
		Sequence: report.GetSequence(), BaseSequence: base,
		Running: report.GetRunning(), Queued: report.GetQueued(),
		TokensPerSecond: report.GetTokensPerSecond(), TokenGapMillis: report.GetTokenGapMillis(),
		Leaving: report.GetLeaving(), Lost: report.GetLost(), Home: report.GetHome(), AgeMillis: report.GetAgeMillis(),
		Revision: report.GetRevision(), PlanRevision: report.GetPlanRevision(),
	}
}

// IsAmendment reports whether a report holds only the fields that Amend keeps. A
// completed report has a base sequence too, but also the host's description.
func IsAmendment(report *wire.HostReport) bool {
	return report.GetBaseSequence() > 0 && report.GetNode().GetRole() == ""
}

// WholeSequence returns the sequence of the whole report on which a stored report
// is based.
func WholeSequence(stored *wire.HostReport) uint64 {
	if base := stored.GetBaseSequence(); base > 0 {
		return base
	}
	return stored.GetSequence()
}

// Complete merges an amendment with the stored report of the host. It returns false
// if the stored report is too old or of another incarnation; the caller must then
// request the whole report.
func (t *Table) Complete(report *wire.HostReport) (*wire.HostReport, bool) {
	if !IsAmendment(report) {
		return report, true
	}
	member := t.members[report.GetNode().GetId()]
	if member == nil || member.report == nil {
		return nil, false
	}
	stored := member.report
	if !sameIncarnation(stored.GetNode().GetIncarnation(), report.GetNode().GetIncarnation()) || WholeSequence(stored) < report.GetBaseSequence() {
		return nil, false
	}
	return complete(stored, report), true
}

func complete(stored, amendment *wire.HostReport) *wire.HostReport {
	home := amendment.GetHome()
	if home == "" {
		home = stored.GetHome()
	}
	return &wire.HostReport{
		Node: stored.GetNode(), Versions: stored.GetVersions(), Endpoint: stored.GetEndpoint(), Service: stored.GetService(),
		EngineRole: stored.GetEngineRole(), Slots: stored.GetSlots(), OriginBytes: stored.GetOriginBytes(),
		PeerBytes: stored.GetPeerBytes(), SentBytes: stored.GetSentBytes(), Prefixes: stored.GetPrefixes(), Fence: stored.GetFence(),
		BaseSequence: WholeSequence(stored),

		Sequence: amendment.GetSequence(), Running: amendment.GetRunning(), Queued: amendment.GetQueued(),
		TokensPerSecond: amendment.GetTokensPerSecond(), TokenGapMillis: amendment.GetTokenGapMillis(),
		Leaving: amendment.GetLeaving(), Lost: amendment.GetLost(), Home: home, AgeMillis: amendment.GetAgeMillis(),
		Revision: amendment.GetRevision(), PlanRevision: amendment.GetPlanRevision(),
	}
}

// CompleteEntry returns an entry's report with the entry's description. It returns
// false if the report lacks the description and the table does not have it.
func (t *Table) CompleteEntry(report *wire.EntryReport) (*wire.EntryReport, bool) {
	partial := report.GetNode()
	if !IsNameOnly(partial) {
		return report, true
	}
	node := t.Node(partial.GetId(), partial.GetIncarnation())
	if node == nil || node.GetRole() != partial.GetRole() {
		return nil, false
	}
	return &wire.EntryReport{
		Node: node, Sequence: report.GetSequence(), Draining: report.GetDraining(), InFlight: report.GetInFlight(),
		RequestsPerSecond: report.GetRequestsPerSecond(), AgeMillis: report.GetAgeMillis(), Demand: report.GetDemand(),
		Revision: report.GetRevision(), PlanRevision: report.GetPlanRevision(), HomeRevision: report.GetHomeRevision(),
	}, true
}

// Node returns the description of the process with the id and incarnation, or nil
// if it is unknown, so that messages need not repeat the description.
func (t *Table) Node(id, incarnation string) *wire.Node {
	stored := t.members[id]
	if stored == nil {
		return nil
	}
	for _, node := range []*wire.Node{stored.entry.GetNode(), stored.report.GetNode()} {
		if sameIncarnation(node.GetIncarnation(), incarnation) {
			return node
		}
	}
	return nil
}

// NameOnly returns the part of a node that identifies it to receivers that have its
// description.
func NameOnly(node *wire.Node) *wire.Node {
	return &wire.Node{Id: node.GetId(), Incarnation: shortIncarnation(node.GetIncarnation()), Role: node.GetRole()}
}

// IsNameOnly reports whether the node lacks its description.
func IsNameOnly(node *wire.Node) bool {
	return node.GetControlAddress() == "" && node.GetRegion() == "" && node.GetFailureDomain() == ""
}

package membership

import (
	"strings"

	"comfreyrelay.example/relay/wire"
)

// shortLength is how many of an incarnation's last characters name it to those
// who know the host: of a UUIDv7 they are random, 32 bits.
const shortIncarnationLength = 8

func shortIncarnation(incarnation string) string {
	return incarnation[max(0, len(incarnation)-shortIncarnationLength):]
}

// sameIncarnation compares a held incarnation with a whole or a short one.
func sameIncarnation(stored, reported string) bool {
	return reported != "" && (stored == reported || len(reported) >= shortIncarnationLength && strings.HasSuffix(stored, reported))
}

// Amend returns what of a report changes from second to second, as an amendment
// of the whole report with the base sequence. The receiver may hold a later one
// as well, from another sender: between the two nothing else changed.
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

// IsAmendment reports whether a report lacks what the whole one says. A
// completed one bears the base too, and the host's description.
func IsAmendment(report *wire.HostReport) bool {
	return report.GetBaseSequence() > 0 && report.GetNode().GetRole() == ""
}

// WholeSequence returns the sequence of the newest whole report that a held one
// was made of.
func WholeSequence(stored *wire.HostReport) uint64 {
	if base := stored.GetBaseSequence(); base > 0 {
		return base
	}
	return stored.GetSequence()
}

// Complete returns a report made whole from what is held of the host; false
// where that is too old, or of another incarnation: the whole one must be asked
// for.
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

// CompleteEntry returns an entry's report with its description; false where the
// report lacks that and it is not known.
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

// Node returns the description of the process that was seen under the id and
// incarnation, or nil: a message need not repeat it.
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

// NameOnly returns the part of a node that identifies it to those who know it.
func NameOnly(node *wire.Node) *wire.Node {
	return &wire.Node{Id: node.GetId(), Incarnation: shortIncarnation(node.GetIncarnation()), Role: node.GetRole()}
}

// IsNameOnly reports whether the node's description was left out.
func IsNameOnly(node *wire.Node) bool {
	return node.GetControlAddress() == "" && node.GetRegion() == "" && node.GetFailureDomain() == ""
}

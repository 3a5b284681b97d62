package membership

import (
	"strings"

	"comfreyrelay.example/relay/wire"
)

// shortLength is how many of an incarnation's last characters name it to those
// who know the host: of a UUIDv7 they are random, 32 bits.
const shortLength = 8

func short(incarnation string) string {
	return incarnation[max(0, len(incarnation)-shortLength):]
}

// sameIncarnation compares a held incarnation with a whole or a short one.
func sameIncarnation(held, reported string) bool {
	return reported != "" && (held == reported || len(reported) >= shortLength && strings.HasSuffix(held, reported))
}

// Amend returns what of a report changes from second to second, as an amendment
// of the whole report with the base sequence. The receiver may hold a later one
// as well, from another sender: between the two nothing else changed.
func Amend(report *wire.HostReport, base uint64) *wire.HostReport {
	node := report.GetNode()
	return &wire.HostReport{
		Node:     &wire.Node{Id: node.GetId(), Incarnation: short(node.GetIncarnation())},
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
func WholeSequence(held *wire.HostReport) uint64 {
	if base := held.GetBaseSequence(); base > 0 {
		return base
	}
	return held.GetSequence()
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
	held := member.report
	if !sameIncarnation(held.GetNode().GetIncarnation(), report.GetNode().GetIncarnation()) || WholeSequence(held) < report.GetBaseSequence() {
		return nil, false
	}
	return complete(held, report), true
}

func complete(held, amendment *wire.HostReport) *wire.HostReport {
	home := amendment.GetHome()
	if home == "" {
		home = held.GetHome()
	}
	return &wire.HostReport{
		Node: held.GetNode(), Versions: held.GetVersions(), Endpoint: held.GetEndpoint(), Service: held.GetService(),
		EngineRole: held.GetEngineRole(), Slots: held.GetSlots(), OriginBytes: held.GetOriginBytes(),
		PeerBytes: held.GetPeerBytes(), SentBytes: held.GetSentBytes(), Prefixes: held.GetPrefixes(), Fence: held.GetFence(),
		BaseSequence: WholeSequence(held),

		Sequence: amendment.GetSequence(), Running: amendment.GetRunning(), Queued: amendment.GetQueued(),
		TokensPerSecond: amendment.GetTokensPerSecond(), TokenGapMillis: amendment.GetTokenGapMillis(),
		Leaving: amendment.GetLeaving(), Lost: amendment.GetLost(), Home: home, AgeMillis: amendment.GetAgeMillis(),
		Revision: amendment.GetRevision(), PlanRevision: amendment.GetPlanRevision(),
	}
}

// CompleteEntry returns an entry's report with its description; false where the
// report lacks that and it is not known.
func (t *Table) CompleteEntry(report *wire.EntryReport) (*wire.EntryReport, bool) {
	named := report.GetNode()
	if !IsNameOnly(named) {
		return report, true
	}
	node := t.Node(named.GetId(), named.GetIncarnation())
	if node == nil || node.GetRole() != named.GetRole() {
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
	held := t.members[id]
	if held == nil {
		return nil
	}
	for _, node := range []*wire.Node{held.entry.GetNode(), held.report.GetNode()} {
		if sameIncarnation(node.GetIncarnation(), incarnation) {
			return node
		}
	}
	return nil
}

// NameOnly returns the part of a node that identifies it to those who know it.
func NameOnly(node *wire.Node) *wire.Node {
	return &wire.Node{Id: node.GetId(), Incarnation: short(node.GetIncarnation()), Role: node.GetRole()}
}

// IsNameOnly reports whether the node's description was left out.
func IsNameOnly(node *wire.Node) bool {
	return node.GetControlAddress() == "" && node.GetRegion() == "" && node.GetFailureDomain() == ""
}

package spread

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// knownEntry describes the last report of one entry that one receiver is known to have.
type knownEntry struct {
	incarnation string
	sequence    uint64
	draining    bool
	at          time.Time
	// describedAt is when the entry's description was last sent to the receiver or
	// received from it.
	describedAt time.Time
}

// descriptionInterval is the age at which a description is sent again. A receiver that has
// none asks for it, but a wrong one would otherwise never be corrected.
const descriptionInterval = 5 * time.Minute

// EntryDigest tracks which reports of entries one receiver has. It is not safe for
// concurrent use.
type EntryDigest struct {
	known map[string]knownEntry
	// relayInterval is the age at which the report of a third entry, neither the sender
	// nor the receiver, is sent again.
	relayInterval time.Duration
}

// NewEntryDigest returns an empty EntryDigest for one receiver, with the age that SetRelay
// describes.
func NewEntryDigest(relay time.Duration) *EntryDigest {
	return &EntryDigest{known: map[string]knownEntry{}, relayInterval: relay}
}

// SetRelay sets the age at which the report of an entry other than the sender and the
// receiver is sent again.
func (d *EntryDigest) SetRelay(relay time.Duration) { d.relayInterval = relay }

// Received records a report that came from the receiver itself.
func (d *EntryDigest) Received(report *wire.EntryReport, now time.Time) {
	id, incarnation := report.GetNode().GetId(), report.GetNode().GetIncarnation()
	describedAt := now
	if held, seen := d.known[id]; seen && held.incarnation == incarnation {
		describedAt = held.describedAt
	}
	d.known[id] = knownEntry{
		incarnation: incarnation,
		sequence:    report.GetSequence(),
		draining:    report.GetDraining(),
		at:          now,
		describedAt: describedAt,
	}
}

// InvalidateDescription records that the receiver lacks the entry's description.
func (d *EntryDigest) InvalidateDescription(id string) { delete(d.known, id) }

// prepare returns the report as it should be sent now, and whether it includes the entry's
// description.
func (d *EntryDigest) prepare(report *wire.EntryReport, age time.Duration, now time.Time) (sent *wire.EntryReport, described bool) {
	held, seen := d.known[report.GetNode().GetId()]
	known := seen && held.incarnation == report.GetNode().GetIncarnation() && now.Sub(held.describedAt) < descriptionInterval
	sent = withAge(report, age)
	if known {
		sent.Node = membership.NameOnly(sent.Node)
	}
	return sent, !known
}

// prepareAndRecord returns the report as it should be sent, and records it as sent.
func (d *EntryDigest) prepareAndRecord(report *wire.EntryReport, age time.Duration, now time.Time) *wire.EntryReport {
	sent, described := d.prepare(report, age, now)
	d.Received(report, now)
	if described {
		id := report.GetNode().GetId()
		entry := d.known[id]
		entry.describedAt = now
		d.known[id] = entry
	}
	return sent
}

// Prune drops the records of entries that no longer exist.
func (d *EntryDigest) Prune(exists func(id string) bool) {
	for id := range d.known {
		if !exists(id) {
			delete(d.known, id)
		}
	}
}

// isNewer reports whether this report is newer than the one that the receiver has.
func (d *EntryDigest) isNewer(report *wire.EntryReport) bool {
	held, seen := d.known[report.GetNode().GetId()]
	return !seen || membership.Newer(report.GetNode().GetIncarnation(), report.GetSequence(), held.incarnation, held.sequence)
}

// shouldRelay reports whether a third entry's report should be passed on to the receiver now.
func (d *EntryDigest) shouldRelay(report *wire.EntryReport, now time.Time) bool {
	if d.statusUnknown(report) {
		return d.isNewer(report)
	}
	return d.isNewer(report) && now.Sub(d.known[report.GetNode().GetId()].at) >= d.relayInterval
}

// statusUnknown reports whether the receiver has no report of the entry's current process
// with its current draining state.
func (d *EntryDigest) statusUnknown(report *wire.EntryReport) bool {
	held, seen := d.known[report.GetNode().GetId()]
	return !seen || report.GetDraining() != held.draining || report.GetNode().GetIncarnation() != held.incarnation
}

// SelectPresence is like Select for a receiver that only needs to know which entries exist and
// which are leaving. The sender's own report is repeated as rarely as any other, and no report
// carries load or demand.
func (d *EntryDigest) SelectPresence(own *wire.EntryReport, others []view.Peer, receiver string, now time.Time, byteLimit int) []*wire.EntryReport {
	var chosen []*wire.EntryReport
	if d.shouldRelay(own, now) {
		chosen = append(chosen, presenceOnly(d.prepareAndRecord(own, 0, now)))
	}
	for _, report := range d.selectOthers(own, others, receiver, now, byteLimit) {
		chosen = append(chosen, presenceOnly(report))
	}
	return chosen
}

// presenceOnly returns a copy of a report without load, demand and revisions.
func presenceOnly(report *wire.EntryReport) *wire.EntryReport {
	return &wire.EntryReport{
		Node: report.GetNode(), Sequence: report.GetSequence(), Draining: report.GetDraining(), AgeMillis: report.GetAgeMillis(),
	}
}

// Select returns the sender's own report and those of third entries that the
// receiver should get, the nearest and newest first, at most the given bytes.
func (d *EntryDigest) Select(own *wire.EntryReport, others []view.Peer, receiver string, now time.Time, byteLimit int) []*wire.EntryReport {
	var chosen []*wire.EntryReport
	if d.isNewer(own) {
		chosen = append(chosen, d.prepareAndRecord(own, 0, now))
	}
	return append(chosen, d.selectOthers(own, others, receiver, now, byteLimit)...)
}

// selectOthers returns the reports of third entries that the receiver should get. Those whose
// status it does not know go before any refresh: ordered by nearness alone, refreshes of near
// entries would always fill the message and the receiver would never learn of far ones.
func (d *EntryDigest) selectOthers(own *wire.EntryReport, others []view.Peer, receiver string, now time.Time, byteLimit int) []*wire.EntryReport {
	var pending []view.Peer
	for _, other := range others {
		id := other.Report().GetNode().GetId()
		if id != receiver && id != own.GetNode().GetId() && d.shouldRelay(other.Report(), now) {
			pending = append(pending, other)
		}
	}
	slices.SortFunc(pending, func(a, b view.Peer) int {
		byNearness := cmp.Compare(Nearness(own.GetNode(), a.Report().GetNode()), Nearness(own.GetNode(), b.Report().GetNode()))
		return cmp.Or(d.compareStatusUnknown(a.Report(), b.Report()), byNearness, b.SeenAt().Compare(a.SeenAt()),
			cmp.Compare(a.Report().GetNode().GetId(), b.Report().GetNode().GetId()))
	})
	var chosen []*wire.EntryReport
	for _, other := range pending {
		age := now.Sub(other.SeenAt())
		sent, _ := d.prepare(other.Report(), age, now)
		size := proto.Size(sent)
		if size > byteLimit {
			break
		}
		byteLimit -= size
		chosen = append(chosen, d.prepareAndRecord(other.Report(), age, now))
	}
	return chosen
}

// compareStatusUnknown orders reports whose status the receiver does not know before others.
func (d *EntryDigest) compareStatusUnknown(a, b *wire.EntryReport) int {
	switch {
	case d.statusUnknown(a) == d.statusUnknown(b):
		return 0
	case d.statusUnknown(a):
		return -1
	}
	return 1
}

// withAge returns a copy of a report with the given age.
func withAge(report *wire.EntryReport, age time.Duration) *wire.EntryReport {
	return &wire.EntryReport{
		Node: report.GetNode(), Sequence: report.GetSequence(), Draining: report.GetDraining(),
		InFlight: report.GetInFlight(), RequestsPerSecond: report.GetRequestsPerSecond(),
		AgeMillis: ageMillis(age),
		Demand:    report.GetDemand(), Revision: report.GetRevision(), PlanRevision: report.GetPlanRevision(),
		HomeRevision: report.GetHomeRevision(),
	}
}

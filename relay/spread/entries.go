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

// entryMark is what one receiver last knew of one entry.
type entryMark struct {
	incarnation string
	sequence    uint64
	draining    bool
	at          time.Time
	// describedAt is when the receiver last got or gave the entry's description.
	describedAt time.Time
}

// describeAgain is the age at which a description is sent again: a receiver
// that lacks it asks, but a wrong one would stay.
const describeAgain = 5 * time.Minute

// EntryDigest remembers what one receiver knows of the entries. It is not safe
// for concurrent use.
type EntryDigest struct {
	marks map[string]entryMark
	// relay is the age at which the report of a third entry is sent again.
	relay time.Duration
}

// NewEntryDigest returns the memory for one receiver.
func NewEntryDigest(relay time.Duration) *EntryDigest {
	return &EntryDigest{marks: map[string]entryMark{}, relay: relay}
}

// SetRelay changes the age at which the report of a third entry is sent again.
func (d *EntryDigest) SetRelay(relay time.Duration) { d.relay = relay }

// Received notes that the receiver itself sent the report.
func (d *EntryDigest) Received(report *wire.EntryReport, now time.Time) {
	id, incarnation := report.GetNode().GetId(), report.GetNode().GetIncarnation()
	describedAt := now
	if held, seen := d.marks[id]; seen && held.incarnation == incarnation {
		describedAt = held.describedAt
	}
	d.marks[id] = entryMark{
		incarnation: incarnation,
		sequence:    report.GetSequence(),
		draining:    report.GetDraining(),
		at:          now,
		describedAt: describedAt,
	}
}

// Lose notes that the receiver lacks the entry's description.
func (d *EntryDigest) Lose(id string) { delete(d.marks, id) }

// form returns the report as it should be sent now, and whether its description
// goes with it.
func (d *EntryDigest) form(report *wire.EntryReport, age time.Duration, now time.Time) (sent *wire.EntryReport, described bool) {
	held, seen := d.marks[report.GetNode().GetId()]
	known := seen && held.incarnation == report.GetNode().GetIncarnation() && now.Sub(held.describedAt) < describeAgain
	sent = agedEntry(report, age)
	if known {
		sent.Node = membership.NameOnly(sent.Node)
	}
	return sent, !known
}

// compose returns the report as it should be sent, and notes that it is.
func (d *EntryDigest) compose(report *wire.EntryReport, age time.Duration, now time.Time) *wire.EntryReport {
	sent, described := d.form(report, age, now)
	d.Received(report, now)
	if described {
		id := report.GetNode().GetId()
		mark := d.marks[id]
		mark.describedAt = now
		d.marks[id] = mark
	}
	return sent
}

// Forget drops the marks of entries that are not in the set.
func (d *EntryDigest) Forget(known func(id string) bool) {
	for id := range d.marks {
		if !known(id) {
			delete(d.marks, id)
		}
	}
}

// newer reports whether the receiver lacks this report.
func (d *EntryDigest) newer(report *wire.EntryReport) bool {
	held, seen := d.marks[report.GetNode().GetId()]
	return !seen || membership.Newer(report.GetNode().GetIncarnation(), report.GetSequence(), held.incarnation, held.sequence)
}

// news reports whether a third entry's report is worth passing on.
func (d *EntryDigest) news(report *wire.EntryReport, now time.Time) bool {
	if d.unreported(report) {
		return d.newer(report)
	}
	return d.newer(report) && now.Sub(d.marks[report.GetNode().GetId()].at) >= d.relay
}

// unreported reports whether the receiver does not know of the entry as it is:
// it was never notified of it, or before it drained or started anew.
func (d *EntryDigest) unreported(report *wire.EntryReport) bool {
	held, seen := d.marks[report.GetNode().GetId()]
	return !seen || report.GetDraining() != held.draining || report.GetNode().GetIncarnation() != held.incarnation
}

// SelectRare is like Select for a receiver that only needs to know which
// entries there are and which leave: the sender's own report counts as any
// other, and bears no demand.
func (d *EntryDigest) SelectRare(own *wire.EntryReport, others []view.Peer, receiver string, now time.Time, bytes int) []*wire.EntryReport {
	var chosen []*wire.EntryReport
	if d.news(own, now) {
		chosen = append(chosen, presence(d.compose(own, 0, now)))
	}
	for _, report := range d.thirds(own, others, receiver, now, bytes) {
		chosen = append(chosen, presence(report))
	}
	return chosen
}

func presence(report *wire.EntryReport) *wire.EntryReport {
	return &wire.EntryReport{
		Node: report.GetNode(), Sequence: report.GetSequence(), Draining: report.GetDraining(), AgeMillis: report.GetAgeMillis(),
	}
}

// Select returns the sender's own report and those of third entries that the
// receiver should get, the nearest and newest first, at most the given bytes.
func (d *EntryDigest) Select(own *wire.EntryReport, others []view.Peer, receiver string, now time.Time, bytes int) []*wire.EntryReport {
	var chosen []*wire.EntryReport
	if d.newer(own) {
		chosen = append(chosen, d.compose(own, 0, now))
	}
	return append(chosen, d.thirds(own, others, receiver, now, bytes)...)
}

// thirds returns the reports of third entries that the receiver should get:
// what it does not know at all goes before any refresh. By nearness alone the
// refreshes of the near ones would take all the room for ever, and the receiver
// would not learn of the far ones.
func (d *EntryDigest) thirds(own *wire.EntryReport, others []view.Peer, receiver string, now time.Time, bytes int) []*wire.EntryReport {
	var news []view.Peer
	for _, other := range others {
		id := other.Report().GetNode().GetId()
		if id != receiver && id != own.GetNode().GetId() && d.news(other.Report(), now) {
			news = append(news, other)
		}
	}
	slices.SortFunc(news, func(a, b view.Peer) int {
		byNearness := cmp.Compare(Nearness(own.GetNode(), a.Report().GetNode()), Nearness(own.GetNode(), b.Report().GetNode()))
		return cmp.Or(d.byUnreported(a.Report(), b.Report()), byNearness, b.SeenAt().Compare(a.SeenAt()),
			cmp.Compare(a.Report().GetNode().GetId(), b.Report().GetNode().GetId()))
	})
	var chosen []*wire.EntryReport
	for _, other := range news {
		age := now.Sub(other.SeenAt())
		sent, _ := d.form(other.Report(), age, now)
		size := proto.Size(sent)
		if size > bytes {
			break
		}
		bytes -= size
		chosen = append(chosen, d.compose(other.Report(), age, now))
	}
	return chosen
}

func (d *EntryDigest) byUnreported(a, b *wire.EntryReport) int {
	switch {
	case d.unreported(a) == d.unreported(b):
		return 0
	case d.unreported(a):
		return -1
	}
	return 1
}

func agedEntry(report *wire.EntryReport, age time.Duration) *wire.EntryReport {
	return &wire.EntryReport{
		Node: report.GetNode(), Sequence: report.GetSequence(), Draining: report.GetDraining(),
		InFlight: report.GetInFlight(), RequestsPerSecond: report.GetRequestsPerSecond(),
		AgeMillis: millis(age),
		Demand:    report.GetDemand(), Revision: report.GetRevision(), PlanRevision: report.GetPlanRevision(),
		HomeRevision: report.GetHomeRevision(),
	}
}

package spread

import (
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/wire"
)

// fullReportInterval is the age at which a host's own report goes whole again for
// its counters and prefixes alone.
const fullReportInterval = 10 * time.Second

// Baseline decides which of a host's own reports go whole to one receiver. The
// zero value holds that the receiver knows nothing. It is not safe for
// concurrent use.
type Baseline struct {
	stable   *wire.HostReport // nil: the receiver took none
	sequence uint64
	sentAt   time.Time
}

// Next returns the report as it should be sent: whole, or as an amendment.
func (b *Baseline) Next(report *wire.HostReport, now time.Time) *wire.HostReport {
	if b.stable == nil || now.Sub(b.sentAt) >= fullReportInterval || now.Before(b.sentAt) || !proto.Equal(b.stable, stableFields(report)) {
		return report
	}
	amendment := membership.Amend(report, b.sequence)
	amendment.Node = nil // the message's sender is the host
	return amendment
}

// Took notes that the receiver answered a message with the report.
func (b *Baseline) Took(sent *wire.HostReport, now time.Time) {
	if !membership.IsAmendment(sent) {
		*b = Baseline{stable: stableFields(sent), sequence: sent.GetSequence(), sentAt: now}
	}
}

// Drop notes that the receiver lacks the whole report.
func (b *Baseline) Drop() { *b = Baseline{} }

// Whole reports whether the receiver knows nothing yet.
func (b *Baseline) Whole() bool { return b.stable == nil }

// steady returns what of a report must not wait and no amendment bears.
func stableFields(report *wire.HostReport) *wire.HostReport {
	return &wire.HostReport{
		Node: report.GetNode(), Versions: report.GetVersions(),
		Endpoint: report.GetEndpoint(), Service: report.GetService(), EngineRole: report.GetEngineRole(),
		Slots: report.GetSlots(), Fence: report.GetFence(),
	}
}

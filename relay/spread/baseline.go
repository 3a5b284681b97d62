package spread

import (
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/wire"
)

// fullReportInterval is the age at which a host sends its own report in full again even if
// only its counters and prefixes changed.
const fullReportInterval = 10 * time.Second

// Baseline decides which of a host's own reports are sent in full to one receiver and which
// as amendments of an earlier full report. The zero value means that the receiver has no
// report yet. It is not safe for concurrent use.
type Baseline struct {
	stable   *wire.HostReport // of the last full report that the receiver has; nil if none
	sequence uint64
	sentAt   time.Time
}

// Next returns the report as it should be sent: in full or as an amendment.
func (b *Baseline) Next(report *wire.HostReport, now time.Time) *wire.HostReport {
	if b.stable == nil || now.Sub(b.sentAt) >= fullReportInterval || now.Before(b.sentAt) || !proto.Equal(b.stable, stableFields(report)) {
		return report
	}
	amendment := membership.Amend(report, b.sequence)
	amendment.Node = nil // the receiver knows the host as the message's sender
	return amendment
}

// RecordAcknowledged records that the receiver acknowledged a message with the report.
func (b *Baseline) RecordAcknowledged(sent *wire.HostReport, now time.Time) {
	if !membership.IsAmendment(sent) {
		*b = Baseline{stable: stableFields(sent), sequence: sent.GetSequence(), sentAt: now}
	}
}

// Reset records that the receiver lacks the full report.
func (b *Baseline) Reset() { *b = Baseline{} }

// NeedsFullReport reports whether the receiver has no full report, so that the next one is sent in full.
func (b *Baseline) NeedsFullReport() bool { return b.stable == nil }

// stableFields returns the fields of a report that amendments don't carry and whose changes
// must be sent at once.
func stableFields(report *wire.HostReport) *wire.HostReport {
	return &wire.HostReport{
		Node: report.GetNode(), Versions: report.GetVersions(),
		Endpoint: report.GetEndpoint(), Service: report.GetService(), EngineRole: report.GetEngineRole(),
		Slots: report.GetSlots(), Fence: report.GetFence(),
	}
}

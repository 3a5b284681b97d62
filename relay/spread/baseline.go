package spread

import (
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/wire"
)

// wholeInterval is the age at which a host's own report goes whole again for
// its counters and prefixes alone.
const wholeInterval = 10 * time.Second

// Baseline decides which of a host's own reports go whole to one receiver. The
// zero value holds that the receiver knows nothing. It is not safe for
// concurrent use.
type Baseline struct {
	steady   *wire.HostReport // nil: the receiver took none
	sequence uint64
	at       time.Time
}

// Next returns the report as it should be sent: whole, or as an amendment.
func (b *Baseline) Next(report *wire.HostReport, now time.Time) *wire.HostReport {
	if b.steady == nil || now.Sub(b.at) >= wholeInterval || now.Before(b.at) || !proto.Equal(b.steady, steady(report)) {
		return report
	}
	amendment := membership.Amend(report, b.sequence)
	amendment.Node = nil // the message's sender is the host
	return amendment
}

// Took notes that the receiver answered a message with the report.
func (b *Baseline) Took(sent *wire.HostReport, now time.Time) {
	if !membership.IsAmendment(sent) {
		*b = Baseline{steady: steady(sent), sequence: sent.GetSequence(), at: now}
	}
}

// Drop notes that the receiver lacks the whole report.
func (b *Baseline) Drop() { *b = Baseline{} }

// Whole reports whether the receiver knows nothing yet.
func (b *Baseline) Whole() bool { return b.steady == nil }

// steady returns what of a report must not wait and no amendment bears.
func steady(report *wire.HostReport) *wire.HostReport {
	return &wire.HostReport{
		Node: report.GetNode(), Versions: report.GetVersions(),
		Endpoint: report.GetEndpoint(), Service: report.GetService(), EngineRole: report.GetEngineRole(),
		Slots: report.GetSlots(), Fence: report.GetFence(),
	}
}

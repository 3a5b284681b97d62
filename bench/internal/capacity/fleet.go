package capacity

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/spread"
	"comfreyrelay.example/relay/wire"
)

const (
	// domains and regions are the numbers of failure domains and regions in the
	// simulated fleets, the same as at full size.
	domains = 34
	regions = 11
	// reportedPrefixes is the largest number of cached prefixes that an agent
	// reports for its engine.
	reportedPrefixes = 64
	measuredVersion  = "9f2c61d20b8f4f1a9f2c61d20b8f4f1a9f2c61d20b8f4f1a9f2c61d20b8f4f1a"
)

// startTime is the fixed start time of all simulated measurements.
var startTime = time.Date(2026, 1, 7, 9, 0, 0, 0, time.UTC)

// node returns the description of the simulated node number n of the given role.
func node(role string, n int) *wire.Node {
	domain := n % domains
	made := &wire.Node{
		Id:             fmt.Sprintf("%s-%05d", role, n),
		Incarnation:    uuid.NewSHA1(uuid.NameSpaceOID, []byte(fmt.Sprint(role, n))).String(),
		Role:           role,
		Region:         fmt.Sprintf("region-%02d", domain%regions),
		FailureDomain:  fmt.Sprintf("domain-%02d", domain),
		ControlAddress: fmt.Sprintf("10.%d.%d.%d:7000", domain, n/256%256, n%256),
	}
	if role == "entry" {
		made.CallersAddress = fmt.Sprintf("10.%d.%d.%d:8000", domain, n/256%256, n%256)
	}
	return made
}

// hostReport returns the full report of simulated host n.
func hostReport(n int, sequence uint64, prefixes int) *wire.HostReport {
	report := &wire.HostReport{
		Node: node("agent", n), Sequence: sequence, Endpoint: "engine", EngineRole: "both",
		Versions: []*wire.VersionState{{
			Model: "parcel", Version: measuredVersion, State: "serving", ChunksHave: assumedChunks, ChunksTotal: assumedChunks,
		}},
		Running: uint32(n % 8), Queued: 1, Slots: 8, TokensPerSecond: 3900, TokenGapMillis: 21.5,
		OriginBytes: 1 << 34, PeerBytes: 1 << 36, SentBytes: 1 << 36, Fence: 4711,
		Home: fmt.Sprintf("entry-%05d", n%fullEntries), Revision: 66_000, PlanRevision: 3_000,
	}
	for i := range prefixes {
		report.Prefixes = append(report.Prefixes, uint64(n*reportedPrefixes+i)*0x9e3779b97f4a7c15)
	}
	return report
}

// copyOverWire returns a copy of the report that was encoded and decoded, so that it
// shares no strings with the original, as after a transfer between processes.
func copyOverWire(report *wire.HostReport) *wire.HostReport {
	data, err := proto.Marshal(report)
	if err != nil {
		panic(err) // a report made here always encodes
	}
	fresh := &wire.HostReport{}
	if err := proto.Unmarshal(data, fresh); err != nil {
		panic(err) // encoded just above
	}
	return fresh
}

// uplink simulates the transfer of one host's reports to its home entry, as
// implemented in internal/control of the agent and the entry.
type uplink struct {
	baseline spread.Baseline
	home     *membership.Table
}

func newUplink() *uplink { return &uplink{home: membership.New(membership.DefaultLimits())} }

// pass sends a report to the home entry. It returns the message sent, which may be
// an amendment, and the complete report as the entry stores it.
func (l *uplink) pass(report *wire.HostReport, now time.Time) (sent, held *wire.HostReport) {
	sent = copyOverWire(l.baseline.Next(report, now))
	received := copyOverWire(sent)
	if received.GetNode() == nil {
		received.Node = membership.NameOnly(report.GetNode()) // the entry takes the node from the message's sender
		received.Node.Role = ""                               // an amendment carries no role
	}
	held, ok := l.home.Complete(received)
	if !ok {
		l.baseline.Reset()
		return sent, nil
	}
	l.home.ObserveHost(held, now)
	l.baseline.RecordAcknowledged(sent, now)
	return sent, held
}

// storedReport returns a host's report as an entry stores it after receiving the
// first report of the sequence in full and the later ones through the link.
func storedReport(n int, sequence uint64) *wire.HostReport {
	reports := newUplink()
	var held *wire.HostReport
	for s := uint64(1); s <= sequence; s++ {
		_, held = reports.pass(hostReport(n, s, reportedPrefixes), startTime.Add(time.Duration(s)*time.Second))
	}
	return held
}

// entryReport returns the report of simulated entry n with the demand of the given
// number of customers.
func entryReport(n int, sequence uint64, customers int) *wire.EntryReport {
	report := &wire.EntryReport{
		Node: node("entry", n), Sequence: sequence, InFlight: 120, RequestsPerSecond: 101.2, Revision: 66_000, PlanRevision: 3_000,
	}
	for i := range customers {
		report.Demand = append(report.Demand, &wire.Demand{
			Customer: fmt.Sprintf("customer-%04d", i), RequestsPerSecond: 10.5, TokensPerSecond: 4_900.25,
		})
	}
	return report
}

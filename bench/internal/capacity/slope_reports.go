package capacity

import (
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/spread"
)

// Cases of the benchmark of report sizes.
const (
	caseOwnReport     = "ownReportBytesPerSecond/prefixes"
	caseRelayedReport = "relayedReportBytes/prefixes"
	caseEntryReport   = "entryReportBytes/customers"
)

// measureReports prints the encoded sizes of reports: a host's own per second, in
// full or as an amendment; the mean of a host report that an entry relays to
// another at each refresh; and an entry's own, to a receiver that already has its
// description.
func measureReports(lines *printer) error {
	for _, prefixes := range []int{0, 16, reportedPrefixes} {
		lines.line(caseOwnReport, prefixes, ownReportBytes(prefixes), "bytes a second")
		lines.line(caseRelayedReport, prefixes, relayedReportBytes(prefixes), "bytes")
	}
	for _, customers := range []int{0, 10, 100, 1_000} {
		report := entryReport(1, 4711, customers)
		report.Node = membership.NameOnly(report.GetNode())
		lines.line(caseEntryReport, customers, float64(proto.Size(report)), "bytes")
	}
	return nil
}

// ownReportBytes returns the mean bytes per second of a host that reports every
// second for a minute.
func ownReportBytes(prefixes int) float64 {
	const length = 60
	reports := newUplink()
	sum := 0
	for s := range length {
		sent, _ := reports.pass(hostReport(1, uint64(s+1), prefixes), startTime.Add(time.Duration(s)*time.Second))
		sum += proto.Size(sent)
	}
	return float64(sum) / length
}

// relayedReportBytes returns the mean bytes of a host's report that one entry relays
// to another at each refresh, with a message limit that excludes nothing.
func relayedReportBytes(prefixes int) float64 {
	const refreshes, room = 60, 1 << 20
	digest := spread.NewDigest(minRefresh, true)
	sum := 0
	for r := range refreshes {
		now := startTime.Add(time.Duration(r) * minRefresh)
		candidate := spread.Candidate{Report: hostReport(1, uint64(r+1), prefixes), SeenAt: now, Nearness: spread.Far}
		for _, report := range digest.Select([]spread.Candidate{candidate}, now, room) {
			sum += proto.Size(report)
		}
	}
	return float64(sum) / refreshes
}

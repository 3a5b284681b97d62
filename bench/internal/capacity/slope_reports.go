package capacity

import (
	"google.golang.org/protobuf/proto"
)

// Cases of the reports' sizes.
const (
	caseHostReport  = "hostReportBytes/prefixes"
	caseEntryReport = "entryReportBytes/customers"
)

// measureReports prints the bytes of one report.
func measureReports(lines *printer) error {
	for _, prefixes := range []int{0, 16, reportedPrefixes} {
		lines.line(caseHostReport, prefixes, float64(proto.Size(hostReport(1, 4711, prefixes))), "bytes")
	}
	for _, customers := range []int{0, 10, 100, 1_000} {
		lines.line(caseEntryReport, customers, float64(proto.Size(entryReport(1, 4711, customers))), "bytes")
	}
	return nil
}

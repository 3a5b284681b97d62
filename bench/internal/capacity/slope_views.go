package capacity

import (
	"runtime"
	"time"

	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/spread"
	"comfreyrelay.example/relay/view"
)

// Cases of the benchmark of an entry's view of the hosts.
const (
	caseViewBuild    = "viewBuildMicros/hosts"
	caseHostMemory   = "knownHostsBytes/hosts"
	caseDigestMemory = "digestBytes/hosts"
)

// tableShards is the number of membership tables among which an entry divides its
// members.
const tableShards = 16

// filledTables returns an entry's membership tables filled with n hosts.
func filledTables(n int) []*membership.Table {
	tables := make([]*membership.Table, tableShards)
	for i := range tables {
		tables[i] = membership.New(membership.DefaultLimits())
	}
	for i := range n {
		tables[i%tableShards].ObserveHost(copyOverWire(hostReport(i, 1, reportedPrefixes)), startTime)
	}
	return tables
}

// buildView builds a view as an entry does: it evaluates the state of every host and
// sorts the hosts.
func buildView(tables []*membership.Table, n int) *view.Snapshot {
	out := membership.ExternalState{Self: "entry-00001", HostCount: n}
	hosts := make([]view.Host, 0, n)
	for _, table := range tables {
		hosts = append(hosts, table.Hosts(startTime.Add(time.Second), out)...)
	}
	membership.SortHosts(hosts)
	return &view.Snapshot{Hosts: hosts}
}

// measureViews prints the time to build one view, the memory of an entry's tables
// and view, and the memory of the digest that it keeps for one neighbour.
func measureViews(lines *printer) error {
	for _, n := range hostSizes {
		tables := filledTables(n)
		lines.line(caseViewBuild, n, microsPerCall(func() { buildView(tables, n) }), "microseconds")
		held := heapBytes(func() any {
			tables := filledTables(n)
			return []any{tables, buildView(tables, n)}
		})
		lines.line(caseHostMemory, n, held, "bytes")
		runtime.KeepAlive(tables)
		marks := heapBytes(func() *spread.Digest { return digestOfAll(n) })
		lines.line(caseDigestMemory, n, marks, "bytes")
	}
	return nil
}

// candidatesOf returns the reports of n hosts that an entry could relay.
func candidatesOf(n int, sequence uint64) []spread.Candidate {
	self := node("entry", 1)
	candidates := make([]spread.Candidate, n)
	for i := range candidates {
		report := storedReport(i, sequence)
		candidates[i] = spread.Candidate{
			Report: report, SeenAt: startTime, Home: report.GetHome() == self.GetId(), Nearness: spread.Nearness(self, report.GetNode()),
		}
	}
	return candidates
}

// digestOfAll returns the digest of a neighbour that knows all n hosts. Each mark
// holds its own strings, as it does after a later report.
func digestOfAll(n int) *spread.Digest {
	digest := spread.NewDigest(time.Hour, true)
	for i := range n {
		digest.Received(copyOverWire(hostReport(i, 1, 0)), startTime)
	}
	return digest
}

package capacity

import (
	"strconv"
	"time"

	"comfreyrelay.example/relay/route"
)

// Cases of the routing benchmark.
const (
	caseRouteUpdate = "routeUpdateMicros/hosts"
	casePickMicros  = "routePickMicros/hosts"
)

// measureRoute prints the time to update the routing table when a tenth of the hosts
// changed, and the time to pick a host for one request.
func measureRoute(lines *printer) error {
	for _, n := range hostSizes {
		table := route.NewTable(route.Options{Region: "region-01", FailureDomain: "domain-01", Seed: 1})
		hosts := routeHosts(n)
		table.Update(startTime, hosts, fullEntries)
		now := startTime
		lines.line(caseRouteUpdate, n, microsPerCall(func() {
			now = now.Add(time.Second)
			for i := 0; i < n; i += 10 {
				hosts[i].Sequence++
				hosts[i].SeenAt = now
			}
			table.Update(now, hosts, fullEntries)
		}), "microseconds")
		prompt := uint64(0)
		lines.line(casePickMicros, n, microsPerCall(func() {
			prompt++
			ask := route.Requirements{Versions: []string{measuredVersion}, Prefix: route.PrefixOf(strconv.FormatUint(prompt, 10))}
			if choice, reason := table.Pick(now, ask); reason == route.Chosen {
				table.Finish(now, choice, route.Result{End: route.EndAnswered, Took: time.Second, FirstToken: time.Millisecond})
			}
		}), "microseconds")
	}
	return nil
}

// routeHosts returns n simulated hosts as the routing table stores them.
func routeHosts(n int) []route.Host {
	hosts := make([]route.Host, n)
	for i := range hosts {
		report := hostReport(i, 1, reportedPrefixes)
		hosts[i] = route.Host{
			ID: report.GetNode().GetId(), Incarnation: report.GetNode().GetIncarnation(), Address: report.GetNode().GetControlAddress(),
			Region: report.GetNode().GetRegion(), FailureDomain: report.GetNode().GetFailureDomain(), Version: measuredVersion,
			Running: 3, Slots: 8, Sequence: 1, SeenAt: startTime, Prefixes: report.GetPrefixes(),
		}
	}
	return hosts
}

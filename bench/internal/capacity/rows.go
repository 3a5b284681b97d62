package capacity

// Cases of the benchmarks that run a whole deployment.
var (
	casesByAgents  = []string{"agents-18", "agents-50", "agents-100", "agents-200"}
	casesByChanges = []string{"changes-0.1", "changes-0.5", "agents-50", "changes-5"}
	casesByHosts   = []string{"n18-time", "n50-time", "n100-time", "n200-time"}
)

// Size of the deployment that bench-control runs.
const (
	benchEntries   = 9.0
	measuredLeases = 4.0 // three watcher leases and the planner's
)

// slope returns the series of a case that Measure prints, with the size as x.
func slope(name string) *series {
	return &series{bench: slopesBench, cases: []string{name}, x: "size", y: "value"}
}

// sqrtSlope is like slope, but fits against the square root of the size.
func sqrtSlope(name string) *series {
	out := slope(name)
	out.sqrt = true
	return out
}

// controlByAgents returns a series of bench-control with the number of agents as
// x, or the agents per entry if perEntry is set.
func controlByAgents(y string, perEntry bool) *series {
	out := &series{bench: "control", cases: casesByAgents, x: "agents", y: y}
	if perEntry {
		out.divisor = benchEntries
	}
	return out
}

// controlByChangeRate returns a series of bench-control with the document changes
// per second as x.
func controlByChangeRate(y string) *series {
	return &series{bench: "control", cases: casesByChanges, x: "changesPerSecond", y: y}
}

// Sizes and factors that the rows use.
const (
	// reportedToAgent is the number of hosts reported to an agent of a large fleet:
	// those of its failure domain and 64 others. See spread.WeightPeers.
	reportedToAgent = hostsPerDomain + 64
	tokensPerCall   = fullTokensPerSecond / fullRequestsPerSecond
	callsPerEntry   = fullRequestsPerSecond / fullEntries
	// agentsForBenchEntries is the number of agents at which a deployment of 9
	// entries has as many agents per entry as at full size.
	agentsForBenchEntries = agentsPerEntry * benchEntries
	keysPerEntry          = callsPerEntry * onceHorizonSeconds * assumedOnceShare
	leases                = fullDomains + 1
	// hostReportRate limits the host reports that an entry sends to all other
	// entries together, in bytes per second: reportBytesPerSecond of
	// entry/internal/control.
	hostReportRate = 3 << 10
	// lostAfter is the time without a report after which a host that reports to
	// another entry is considered lost, in seconds. See membership.DefaultLimits.
	lostAfter = 30 + 0.15*fullHosts
	// heapFactor is the ratio of heap size to live data that the garbage collector
	// allows.
	heapFactor = 2.0
	mebibyte   = 1 << 20
	// percentOfMicros and percentOfMillis convert microseconds and milliseconds per
	// second to percent of a core.
	percentOfMicros = 1e-4
	percentOfMillis = 1e-1
	// gossipRounds is the number of gossip rounds in which an update reaches 820 entries;
	// 9 entries need 1. See
	// TestNewsReachesEveryEntry of relay/spread.
	gossipRounds = 5.0
)

// rows returns all rows of the capacity table.
func rows() []row {
	all := entryRows()
	all = append(all, requestRows()...)
	all = append(all, agentRows()...)
	all = append(all, leaseHolderRows()...)
	return append(all, platformRows()...)
}

func entryRows() []row {
	return []row{
		{
			role: "entry", quantity: "control bytes in and out, 12 agents each, a deployment of 9 entries", unit: "B/s", budget: budgetBytes,
			terms:     []term{{name: "measured", series: controlByAgents("controlBytesPerEntryPerSecond", true), size: agentsForBenchEntries, factor: 1}},
			mechanism: "held calls, amendments; the bench's interval is 0.5 s, the default 1 s and 2 s",
		},
		{
			role: "entry", quantity: "entries' reports, to and from 8 neighbours called and 8 calling", unit: "B/s", budget: budgetBytes,
			terms:     []term{{name: "to one", series: slopeFrom(caseEntryReportsToEntry, 200), size: fullEntries, factor: 2 * neighbours}},
			mechanism: "a cap of 4 KiB a message; would need one cap a process, and sums by failure domain instead of each entry's report",
		},
		{
			role: "entry", quantity: "entries' reports, to its agents", unit: "B/s", budget: budgetBytes,
			terms:     []term{{name: "to one", series: slopeFrom(caseEntryReportsToAgent, 50), size: fullEntries, factor: agentsPerEntry * agentCallsPerSecond}},
			mechanism: "presence without demand each 30 s, and the same cap; an agent needs its own failure domain's entries and a few others only",
		},
		{
			role: "entry", quantity: "own report with the demand of every customer, to 16 neighbours", unit: "B/s", budget: budgetBytes,
			terms:     []term{{name: "report", series: slope(caseEntryReport), size: assumedCustomers, factor: neighbours * entryCallsPerSecond}},
			mechanism: "whole each 2 s but for the description; would need changes only, and the largest customers",
		},
		{
			role: "entry", quantity: "time until each host's report came by once, at the best", unit: "s", budget: lostAfter,
			terms:     []term{{name: "report", series: slope(caseRelayedReport), size: reportedPrefixes, factor: fullHosts / hostReportRate}},
			mechanism: "3 KiB/s for all reports, two of three as amendments; a host is taken for lost after the budget. At the best: no host is reported twice, and no load is news. Sums for far hosts would leave room",
		},
		{
			role: "entry", quantity: "news that a far host leaves, one step to half of the neighbours, at least", unit: "s", budget: budgetLeaving,
			terms:     []term{{name: "wait", series: slopeFrom(caseLeavingWait, 1_000), size: fullHosts, factor: 1}},
			mechanism: "leaving and lost hosts go before all others, on credit: in the next message",
		},
		{
			role: "entry", quantity: "other entries that a neighbour hears of, of 50, with 1,000 customers in use", unit: "entries", minimum: 48,
			terms:     []term{{name: "reported", series: slopeFrom(caseEntriesReported, 1_000), size: assumedCustomers, factor: 1}},
			mechanism: "one report fills a message at 100 customers, and one above 4 KiB stops those behind it: would need demand apart from the report",
		},
		{
			role: "entry", quantity: "one customer's change, in and to agents and one neighbour", unit: "B/s", budget: budgetBytes,
			terms:     []term{{name: "change", series: sqrtSlope(caseChangeBytes), size: assumedCustomers, factor: changesPerSecond * (2 + agentsPerEntry)}},
			mechanism: "parts by content hash, roots as differences; agents use no customers' parts: would need agents to be sent only what they use",
		},
		{
			role: "entry", quantity: "plans, in and to one neighbour, and its domain's part to agents", unit: "B/s", budget: budgetBytes,
			terms: []term{
				{name: "whole", series: slope(casePlanBytes), size: fullHosts, factor: 2 * plansPerSecond},
				{name: "domain's", series: slope(casePlanDomain), size: hostsPerDomain, factor: agentsPerEntry * plansPerSecond},
			},
			mechanism: "whole at each change; would need the plan in parts by failure domain, as the document is",
		},
		{
			role: "entry", quantity: "the platform's list", unit: "B/s", budget: budgetBytes,
			terms:     listTerms(1),
			mechanism: "by entity tag every 7.5 s by every process: whole once a host went or came back, 3,300 times a day; would need one reader a failure domain, and changes passed on",
		},
		{
			role: "entry", quantity: "control's processor time", unit: "% of a core", budget: budgetCPUPercent,
			terms: []term{
				{name: "view µs", series: slope(caseViewBuild), size: fullHosts, factor: viewsPerSecond * percentOfMicros},
				{name: "message to an entry µs", series: slope(caseEntrySelect), size: fullHosts, factor: neighbours * entryCallsPerSecond * percentOfMicros},
				{name: "message to an agent µs", series: slope(caseAgentSelect), size: fullHosts, factor: agentsPerEntry * agentCallsPerSecond * percentOfMicros},
				{name: "list ms", series: slope(caseListMillis), size: nodes, factor: listChangesPerSecond * percentOfMillis},
				{name: "document ms", series: slope(caseDocumentMillis), size: assumedCustomers, factor: changesPerSecond * percentOfMillis},
			},
			mechanism: "views at most a fiftieth of a core; each message looks at every host: would need the changed hosts only, and an agent's peers kept between calls",
		},
		{
			role: "entry", quantity: "memory", unit: "MiB", budget: budgetMiB,
			terms: []term{
				{name: "small deployment's process", series: controlByAgents("residentMib", true), size: agentsForBenchEntries, factor: 1},
				{name: "hosts", series: slope(caseHostMemory), size: fullHosts, factor: heapFactor / mebibyte},
				{name: "neighbours' digests", series: slope(caseDigestMemory), size: fullHosts, factor: neighbours * heapFactor / mebibyte},
				{name: "agents' digests", series: slope(caseDigestMemory), size: reportedToAgent, factor: agentsPerEntry * heapFactor / mebibyte},
				{name: "once keys", series: slope(caseKeyBytes), size: keysPerEntry, factor: heapFactor / mebibyte},
				{name: "plan", series: slope(casePlanBytes), size: fullHosts, factor: 3 * heapFactor / mebibyte},
				{name: "document", series: slope(caseDocumentBytes), size: assumedCustomers, factor: 5 * heapFactor / mebibyte},
			},
			mechanism: "state in shards, caches with bounds",
		},
	}
}

// slopeFrom is like slope, but excludes sizes below minX.
func slopeFrom(name string, minX float64) *series {
	out := slope(name)
	out.minX = minX
	return out
}

// listTerms returns the terms for the bytes per second that the given number of
// processes transfer to read the platform's host list.
func listTerms(readers float64) []term {
	return []term{
		{name: "changed", series: slope(caseListBytes), size: nodes, factor: readers * listChangesPerSecond},
		{name: "unchanged", series: slope(caseListUnchanged), size: nodes, factor: readers * (listReadsPerSecond - listChangesPerSecond)},
	}
}

// requestRows returns the rows of the request path. Request traffic itself has no
// budget, which covers control only; the routing rows are checked against it.
func requestRows() []row {
	return []row{
		{
			role: "entry", quantity: "processor time for 101 requests a second of 470 tokens, agent's side included", unit: "% of a core",
			terms:     []term{{name: "stream µs", series: slope(caseStreamCPU), size: tokensPerCall, factor: callsPerEntry * percentOfMicros}},
			mechanism: "a frame a token over pooled drpc connections; no budget is given for requests",
		},
		{
			role: "entry", quantity: "processor time of 101 requests a second, measured with short answers, control included", unit: "% of a core",
			terms:     []term{{name: "µs a request", series: &series{bench: "requests", x: "entries", y: "entryCpuUsPerRequest"}, size: benchEntries, factor: callsPerEntry * percentOfMicros}},
			mechanism: "no budget is given for requests",
		},
		{
			role: "entry", quantity: "tokens' frames, in", unit: "B/s",
			terms:     []term{{name: "stream", series: slope(caseStreamBytes), size: tokensPerCall, factor: callsPerEntry}},
			mechanism: "a frame a token; the callers' events come on top",
		},
		{
			role: "entry", quantity: "taking a view in for routing, twice a second", unit: "% of a core", budget: budgetCPUPercent,
			terms:     []term{{name: "update µs", series: slope(caseRouteUpdate), size: fullHosts, factor: viewsPerSecond * percentOfMicros}},
			mechanism: "only changed reports are noted; a choice itself looks at two hosts: would need hosts of the region only",
		},
		{
			role: "entry", quantity: "choosing hosts for 101 requests a second", unit: "% of a core", budget: budgetCPUPercent,
			terms:     []term{{name: "choice µs", series: slope(casePickMicros), size: fullHosts, factor: callsPerEntry * percentOfMicros}},
			mechanism: "two choices along a hash ring, never a look at all hosts",
		},
	}
}

func agentRows() []row {
	return []row{
		{
			role: "agent", quantity: "control bytes in and out, measured with 9 entries", unit: "B/s", budget: budgetBytes,
			terms:     []term{{name: "measured", series: controlByAgents("controlBytesPerAgentPerSecond", false), size: reportedToAgent, factor: 1}},
			mechanism: "reports of the own failure domain and 64 others only; its questions to its own engine are in the figure, and the bench's interval is half the default",
		},
		{
			role: "agent", quantity: "report up, entries' and hosts' reports down", unit: "B/s", budget: budgetBytes,
			terms: []term{
				{name: "report", series: slope(caseOwnReport), size: reportedPrefixes, factor: agentCallsPerSecond},
				{name: "entries", series: slopeFrom(caseEntryReportsToAgent, 50), size: fullEntries, factor: 1},
				{name: "cap on hosts", factor: 1 << 10},
			},
			mechanism: "one home entry; whole each 10 s, else amendments; caps a message and a second",
		},
		{
			role: "agent", quantity: "documents and its domain's plans", unit: "B/s", budget: budgetBytes,
			terms: []term{
				{name: "change", series: sqrtSlope(caseChangeBytes), size: assumedCustomers, factor: changesPerSecond},
				{name: "plan", series: slope(casePlanDomain), size: hostsPerDomain, factor: plansPerSecond},
			},
			mechanism: "parts by content hash, roots as differences; the plan of its failure domain only",
		},
		{
			role: "agent", quantity: "the platform's list", unit: "B/s", budget: budgetBytes,
			terms:     listTerms(1),
			mechanism: "as at an entry; would need to be read at the start and when no entry answers only",
		},
		{
			role: "agent", quantity: "control's processor time, measured with 9 entries, and the list", unit: "% of a core", budget: budgetCPUPercent,
			terms: []term{
				{name: "measured", series: controlByAgents("controlCpuPercentPerAgent", false), size: reportedToAgent, factor: 1},
				{name: "list ms", series: slope(caseListMillis), size: nodes, factor: listChangesPerSecond * percentOfMillis},
			},
			mechanism: "held calls",
		},
		{
			role: "agent", quantity: "memory, without chunks", unit: "MiB", budget: budgetMiB,
			terms: []term{
				{name: "measured", series: controlByAgents("residentMibAgent", false), size: reportedToAgent, factor: 1},
				{name: "list", series: slope(caseListBytes), size: nodes, factor: heapFactor / mebibyte},
				{name: "burst core", series: slope(caseCoreBytes), size: nodes, factor: heapFactor / mebibyte},
			},
			mechanism: "a bounded window of chunks, at most 64 MiB, comes on top",
		},
		{
			role: "agent", quantity: "bitmaps while a burst runs", unit: "B/s",
			terms:     []term{{name: "swap", series: slope(caseHaveBytes), size: assumedChunks, factor: 2 * swapsPerSecond}},
			mechanism: "weights' traffic, not control: below 0.1% of a link that carries 64 GiB in 5 minutes",
		},
		{
			role: "agent", quantity: "a change of the list of peers in a burst", unit: "ms",
			terms:     []term{{name: "peers µs", series: slope(casePeersMicros), size: fullHosts, factor: 1e-3}},
			mechanism: "all 10,000 are ranked although 1,200 take part: would need the plan's hosts of the version only",
		},
	}
}

func leaseHolderRows() []row {
	return []row{
		{
			role: "planner", quantity: "looks at the plan, twice a second", unit: "% of a core", budget: budgetCPUPercent,
			terms:     []term{{name: "look ms", series: slope(casePlanUnchanged), size: fullHosts, factor: viewsPerSecond * percentOfMillis}},
			mechanism: "one lease-holder looks at every view; would need to look at failure domains that changed only",
		},
		{
			role: "planner", quantity: "first plan of all hosts", unit: "ms",
			terms:     []term{{name: "plan ms", series: slope(casePlanMillis), size: fullHosts, factor: 1}},
			mechanism: "once, after a loss of the plan",
		},
		{
			role: "planner", quantity: "the plan's value in the service", unit: "B", budget: budgetValue,
			terms:     []term{{name: "plan", series: slope(casePlanBytes), size: fullHosts, factor: 1}},
			mechanism: "one value for the deployment; would need parts by failure domain below one root, as the document has",
		},
		{
			role: "watchers", quantity: "document in force on all, of 12 agents an entry", unit: "s", budget: budgetInForce,
			terms:     []term{{name: "99th of 100", series: controlByAgents("inForceSecondsP99", true), size: agentsForBenchEntries, factor: gossipRounds}},
			mechanism: "one watcher a failure domain, held calls between entries: 5 rounds reach 820, and 1 reaches 9; no link between regions is in the figure",
		},
	}
}

func platformRows() []row {
	return []row{
		{
			role: "service", quantity: "reads", unit: "calls/s", budget: budgetReads,
			terms: []term{
				{name: "at rest, of 4 leases", series: controlByAgents("idleKvReadsPerSecond", false), size: meanAgents, factor: leases / measuredLeases},
				{name: "polls of all entries", factor: fullEntries * keyPollsPerSecond},
				{name: "a change", series: controlByChangeRate("kvReadsPerSecond"), size: changesPerSecond, factor: fullDomains / 3, slopeOnly: true},
			},
			mechanism: "few watch, at most three claim a lease; agents never call",
		},
		{
			role: "service", quantity: "writes", unit: "calls/s", budget: budgetWrites,
			terms: []term{
				{name: "at rest, of 4 leases", series: controlByAgents("idleKvWritesPerSecond", false), size: meanAgents, factor: leases / measuredLeases},
				{name: "a change", series: controlByChangeRate("kvWritesPerSecond"), size: changesPerSecond, factor: 1, slopeOnly: true},
				{name: "plans", factor: plansPerSecond},
			},
			mechanism: "one lease a failure domain and one planner's; a budget in each process",
		},
		{
			role: "platform's list", quantity: "bytes out, read by all nodes", unit: "B/s",
			terms:     listTerms(nodes),
			mechanism: "no budget is given; whole readings grow with the square of the fleet",
		},
		{
			role: "origin", quantity: "copies of a version sent to 1,200 hosts", unit: "copies", budget: 4,
			terms:     []term{{name: "measured", series: &series{bench: "burst", cases: casesByHosts, x: "hosts", y: "originCopies"}, size: fullBurstHosts, factor: 1}},
			mechanism: "owners of chunks by rendezvous hash; the document bounds the copies",
		},
	}
}

const (
	// meanAgents is the mean number of agents of the measured deployments. The fit is
	// evaluated there because the call rate at rest does not grow with the agents.
	meanAgents = 92.0
	// swapsPerSecond is the number of bitmap requests that a host sends to its 7
	// neighbours per second while both sides have new chunks. It answers as many.
	swapsPerSecond = 7.0
)

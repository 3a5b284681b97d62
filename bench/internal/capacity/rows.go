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
	out.root = true
	return out
}

// controlByAgents returns a series of bench-control with the number of agents as x, or
// the agents per entry if perEntry is set.
func controlByAgents(y string, perEntry bool) *series {
	out := &series{bench: "control", cases: casesByAgents, x: "agents", y: y}
	if perEntry {
		out.over = benchEntries
	}
	return out
}

// controlByChangeRate returns a series of bench-control with the document changes per second as
// x.
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
	// agentsForBenchEntries is the number of agents at which a deployment of 9 entries has
	// as many agents per entry as at full size.
	agentsForBenchEntries = agentsPerEntry * benchEntries
	keysPerEntry          = callsPerEntry * onceHorizonSeconds * assumedOnceShare
	leases                = fullDomains + 1
	// hostReportRate limits the host reports that an entry sends to all other
	// entries together, in bytes per second: reportBytesPerSecond of
	// entry/internal/control.
	hostReportRate = 3 << 10
	// lostAfter is the time without a report after which a host of another region
	// is considered lost, in seconds. See membership.DefaultLimits.
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
			role: "entry", what: "control bytes in and out, 12 agents each, a deployment of 9 entries", unit: "B/s", budget: budgetBytes,
			terms:   []term{{name: "measured", from: controlByAgents("controlBytesPerEntryPerSecond", true), size: agentsForBenchEntries, factor: 1}},
			carrier: "held calls, amendments; the bench's interval is 0.5 s, the default 1 s and 2 s",
		},
		{
			role: "entry", what: "entries' reports, to and from 8 neighbours called and 8 calling", unit: "B/s", budget: budgetBytes,
			terms:   []term{{name: "to one", from: slopeFrom(caseEntryReportsToEntry, 200), size: fullEntries, factor: 2 * neighbours}},
			carrier: "a cap of 4 KiB a message; would need one cap a process, and sums by failure domain instead of each entry's report",
		},
		{
			role: "entry", what: "entries' reports, to its agents", unit: "B/s", budget: budgetBytes,
			terms:   []term{{name: "to one", from: slopeFrom(caseEntryReportsToAgent, 50), size: fullEntries, factor: agentsPerEntry * agentCallsPerSecond}},
			carrier: "presence without demand each 30 s, and the same cap; an agent needs its own failure domain's entries and a few others only",
		},
		{
			role: "entry", what: "own report with the demand of every customer, to 16 neighbours", unit: "B/s", budget: budgetBytes,
			terms:   []term{{name: "report", from: slope(caseEntryReport), size: assumedCustomers, factor: neighbours * entryCallsPerSecond}},
			carrier: "whole each 2 s but for the description; would need changes only, and the largest customers",
		},
		{
			role: "entry", what: "time until each host's report came by once, at the best", unit: "s", budget: lostAfter,
			terms:   []term{{name: "report", from: slope(caseRelayedReport), size: reportedPrefixes, factor: fullHosts / hostReportRate}},
			carrier: "3 KiB/s for all reports, two of three as amendments; a host is taken for lost after the budget. At the best: no host is reported twice, and no load is news. Sums for far hosts would leave room",
		},
		{
			role: "entry", what: "news that a far host leaves, one step to half of the neighbours, at least", unit: "s", budget: budgetLeaving,
			terms:   []term{{name: "wait", from: slopeFrom(caseLeavingWait, 1_000), size: fullHosts, factor: 1}},
			carrier: "leaving and lost hosts go before all others, on credit: in the next message",
		},
		{
			role: "entry", what: "other entries that a neighbour hears of, of 50, with 1,000 customers in use", unit: "entries", least: 48,
			terms:   []term{{name: "reported", from: slopeFrom(caseEntriesReported, 1_000), size: assumedCustomers, factor: 1}},
			carrier: "one report fills a message at 100 customers, and one above 4 KiB stops those behind it: would need demand apart from the report",
		},
		{
			role: "entry", what: "one customer's change, in and to agents and one neighbour", unit: "B/s", budget: budgetBytes,
			terms:   []term{{name: "change", from: sqrtSlope(caseChangeBytes), size: assumedCustomers, factor: changesPerSecond * (2 + agentsPerEntry)}},
			carrier: "parts by content hash, roots as differences; agents use no customers' parts: would need agents to be sent only what they use",
		},
		{
			role: "entry", what: "plans, in and to one neighbour, and its domain's part to agents", unit: "B/s", budget: budgetBytes,
			terms: []term{
				{name: "whole", from: slope(casePlanBytes), size: fullHosts, factor: 2 * plansPerSecond},
				{name: "domain's", from: slope(casePlanDomain), size: hostsPerDomain, factor: agentsPerEntry * plansPerSecond},
			},
			carrier: "whole at each change; would need the plan in parts by failure domain, as the document is",
		},
		{
			role: "entry", what: "the platform's list", unit: "B/s", budget: budgetBytes,
			terms:   listTerms(1),
			carrier: "by entity tag every 7.5 s by every process: whole once a host went or came back, 3,300 times a day; would need one reader a failure domain, and changes passed on",
		},
		{
			role: "entry", what: "control's processor time", unit: "% of a core", budget: budgetCPUPercent,
			terms: []term{
				{name: "view µs", from: slope(caseViewBuild), size: fullHosts, factor: viewsPerSecond * percentOfMicros},
				{name: "message to an entry µs", from: slope(caseEntrySelect), size: fullHosts, factor: neighbours * entryCallsPerSecond * percentOfMicros},
				{name: "message to an agent µs", from: slope(caseAgentSelect), size: fullHosts, factor: agentsPerEntry * agentCallsPerSecond * percentOfMicros},
				{name: "list ms", from: slope(caseListMillis), size: nodes, factor: listChangesPerSecond * percentOfMillis},
				{name: "document ms", from: slope(caseDocumentMillis), size: assumedCustomers, factor: changesPerSecond * percentOfMillis},
			},
			carrier: "views at most a fiftieth of a core; each message looks at every host: would need the changed hosts only, and an agent's peers kept between calls",
		},
		{
			role: "entry", what: "memory", unit: "MiB", budget: budgetMiB,
			terms: []term{
				{name: "small deployment's process", from: controlByAgents("residentMib", true), size: agentsForBenchEntries, factor: 1},
				{name: "hosts", from: slope(caseHostMemory), size: fullHosts, factor: heapFactor / mebibyte},
				{name: "neighbours' digests", from: slope(caseDigestMemory), size: fullHosts, factor: neighbours * heapFactor / mebibyte},
				{name: "agents' digests", from: slope(caseDigestMemory), size: reportedToAgent, factor: agentsPerEntry * heapFactor / mebibyte},
				{name: "once keys", from: slope(caseKeyBytes), size: keysPerEntry, factor: heapFactor / mebibyte},
				{name: "plan", from: slope(casePlanBytes), size: fullHosts, factor: 3 * heapFactor / mebibyte},
				{name: "document", from: slope(caseDocumentBytes), size: assumedCustomers, factor: 5 * heapFactor / mebibyte},
			},
			carrier: "state in shards, caches with bounds",
		},
	}
}

// slopeFrom is like slope, but excludes sizes below least.
func slopeFrom(name string, least float64) *series {
	out := slope(name)
	out.least = least
	return out
}

// listTerms returns the terms for the bytes per second that the given number of
// processes transfer to read the platform's host list.
func listTerms(readers float64) []term {
	return []term{
		{name: "changed", from: slope(caseListBytes), size: nodes, factor: readers * listChangesPerSecond},
		{name: "unchanged", from: slope(caseListUnchanged), size: nodes, factor: readers * (listReadsPerSecond - listChangesPerSecond)},
	}
}

// requestRows returns the rows of the request path. Request traffic itself has no
// budget, which covers control only; the routing rows are checked against it.
func requestRows() []row {
	return []row{
		{
			role: "entry", what: "processor time for 101 requests a second of 470 tokens, agent's side included", unit: "% of a core",
			terms:   []term{{name: "stream µs", from: slope(caseStreamCPU), size: tokensPerCall, factor: callsPerEntry * percentOfMicros}},
			carrier: "a frame a token over pooled drpc connections; no budget is given for requests",
		},
		{
			role: "entry", what: "processor time of 101 requests a second, measured with short answers, control included", unit: "% of a core",
			terms:   []term{{name: "µs a request", from: &series{bench: "requests", x: "entries", y: "entryCpuUsPerRequest"}, size: benchEntries, factor: callsPerEntry * percentOfMicros}},
			carrier: "no budget is given for requests",
		},
		{
			role: "entry", what: "tokens' frames, in", unit: "B/s",
			terms:   []term{{name: "stream", from: slope(caseStreamBytes), size: tokensPerCall, factor: callsPerEntry}},
			carrier: "a frame a token; the callers' events come on top",
		},
		{
			role: "entry", what: "taking a view in for routing, twice a second", unit: "% of a core", budget: budgetCPUPercent,
			terms:   []term{{name: "update µs", from: slope(caseRouteUpdate), size: fullHosts, factor: viewsPerSecond * percentOfMicros}},
			carrier: "only changed reports are noted; a choice itself looks at two hosts: would need hosts of the region only",
		},
		{
			role: "entry", what: "choosing hosts for 101 requests a second", unit: "% of a core", budget: budgetCPUPercent,
			terms:   []term{{name: "choice µs", from: slope(casePickMicros), size: fullHosts, factor: callsPerEntry * percentOfMicros}},
			carrier: "two choices along a hash ring, never a look at all hosts",
		},
	}
}

func agentRows() []row {
	return []row{
		{
			role: "agent", what: "control bytes in and out, measured with 9 entries", unit: "B/s", budget: budgetBytes,
			terms:   []term{{name: "measured", from: controlByAgents("controlBytesPerAgentPerSecond", false), size: reportedToAgent, factor: 1}},
			carrier: "reports of the own failure domain and 64 others only; its questions to its own engine are in the figure, and the bench's interval is half the default",
		},
		{
			role: "agent", what: "report up, entries' and hosts' reports down", unit: "B/s", budget: budgetBytes,
			terms: []term{
				{name: "report", from: slope(caseOwnReport), size: reportedPrefixes, factor: agentCallsPerSecond},
				{name: "entries", from: slopeFrom(caseEntryReportsToAgent, 50), size: fullEntries, factor: 1},
				{name: "cap on hosts", factor: 1 << 10},
			},
			carrier: "one home entry; whole each 10 s, else amendments; caps a message and a second",
		},
		{
			role: "agent", what: "documents and its domain's plans", unit: "B/s", budget: budgetBytes,
			terms: []term{
				{name: "change", from: sqrtSlope(caseChangeBytes), size: assumedCustomers, factor: changesPerSecond},
				{name: "plan", from: slope(casePlanDomain), size: hostsPerDomain, factor: plansPerSecond},
			},
			carrier: "parts by content hash, roots as differences; the plan of its failure domain only",
		},
		{
			role: "agent", what: "the platform's list", unit: "B/s", budget: budgetBytes,
			terms:   listTerms(1),
			carrier: "as at an entry; would need to be read at the start and when no entry answers only",
		},
		{
			role: "agent", what: "control's processor time, measured with 9 entries, and the list", unit: "% of a core", budget: budgetCPUPercent,
			terms: []term{
				{name: "measured", from: controlByAgents("controlCpuPercentPerAgent", false), size: reportedToAgent, factor: 1},
				{name: "list ms", from: slope(caseListMillis), size: nodes, factor: listChangesPerSecond * percentOfMillis},
			},
			carrier: "held calls",
		},
		{
			role: "agent", what: "memory, without chunks", unit: "MiB", budget: budgetMiB,
			terms: []term{
				{name: "measured", from: controlByAgents("residentMibAgent", false), size: reportedToAgent, factor: 1},
				{name: "list", from: slope(caseListBytes), size: nodes, factor: heapFactor / mebibyte},
				{name: "burst core", from: slope(caseCoreBytes), size: nodes, factor: heapFactor / mebibyte},
			},
			carrier: "a bounded window of chunks, at most 64 MiB, comes on top",
		},
		{
			role: "agent", what: "bitmaps while a burst runs", unit: "B/s",
			terms:   []term{{name: "swap", from: slope(caseHaveBytes), size: assumedChunks, factor: 2 * swapsPerSecond}},
			carrier: "weights' traffic, not control: below 0.1% of a link that carries 64 GiB in 5 minutes",
		},
		{
			role: "agent", what: "a change of the list of peers in a burst", unit: "ms",
			terms:   []term{{name: "peers µs", from: slope(casePeersMicros), size: fullHosts, factor: 1e-3}},
			carrier: "all 10,000 are ranked although 1,200 take part: would need the plan's hosts of the version only",
		},
	}
}

func leaseHolderRows() []row {
	return []row{
		{
			role: "planner", what: "looks at the plan, twice a second", unit: "% of a core", budget: budgetCPUPercent,
			terms:   []term{{name: "look ms", from: slope(casePlanUnchanged), size: fullHosts, factor: viewsPerSecond * percentOfMillis}},
			carrier: "one lease-holder looks at every view; would need to look at failure domains that changed only",
		},
		{
			role: "planner", what: "first plan of all hosts", unit: "ms",
			terms:   []term{{name: "plan ms", from: slope(casePlanMillis), size: fullHosts, factor: 1}},
			carrier: "once, after a loss of the plan",
		},
		{
			role: "planner", what: "the plan's value in the service", unit: "B", budget: budgetValue,
			terms:   []term{{name: "plan", from: slope(casePlanBytes), size: fullHosts, factor: 1}},
			carrier: "one value for the deployment; would need parts by failure domain below one root, as the document has",
		},
		{
			role: "watchers", what: "document in force on all, of 12 agents an entry", unit: "s", budget: budgetInForce,
			terms:   []term{{name: "99th of 100", from: controlByAgents("inForceSecondsP99", true), size: agentsForBenchEntries, factor: gossipRounds}},
			carrier: "one watcher a failure domain, held calls between entries: 5 rounds reach 820, and 1 reaches 9; no link between regions is in the figure",
		},
	}
}

func platformRows() []row {
	return []row{
		{
			role: "service", what: "reads", unit: "calls/s", budget: budgetReads,
			terms: []term{
				{name: "at rest, of 4 leases", from: controlByAgents("idleKvReadsPerSecond", false), size: meanAgents, factor: leases / measuredLeases},
				{name: "polls of all entries", factor: fullEntries * keyPollsPerSecond},
				{name: "a change", from: controlByChangeRate("kvReadsPerSecond"), size: changesPerSecond, factor: fullDomains / 3, rise: true},
			},
			carrier: "few watch, at most three claim a lease; agents never call",
		},
		{
			role: "service", what: "writes", unit: "calls/s", budget: budgetWrites,
			terms: []term{
				{name: "at rest, of 4 leases", from: controlByAgents("idleKvWritesPerSecond", false), size: meanAgents, factor: leases / measuredLeases},
				{name: "a change", from: controlByChangeRate("kvWritesPerSecond"), size: changesPerSecond, factor: 1, rise: true},
				{name: "plans", factor: plansPerSecond},
			},
			carrier: "one lease a failure domain and one planner's; a budget in each process",
		},
		{
			role: "platform's list", what: "bytes out, read by all nodes", unit: "B/s",
			terms:   listTerms(nodes),
			carrier: "no budget is given; whole readings grow with the square of the fleet",
		},
		{
			role: "origin", what: "copies of a version sent to 1,200 hosts", unit: "copies", budget: 4,
			terms:   []term{{name: "measured", from: &series{bench: "burst", cases: casesByHosts, x: "hosts", y: "originCopies"}, size: fullBurstHosts, factor: 1}},
			carrier: "owners of chunks by rendezvous hash; the document bounds the copies",
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

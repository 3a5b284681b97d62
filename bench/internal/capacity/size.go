package capacity

import "math"

// The size that the users expect within two years, as the developers' page
// states it.
const (
	fullEntries           = 820.0
	fullHosts             = 10_000.0
	fullDomains           = 34.0
	fullRequestsPerSecond = 83_000.0
	fullTokensPerSecond   = 39e6
	fullBurstHosts        = 1_200.0
	fullChangesPerDay     = 66_000.0
	// failuresPerDay and restartsPerDay are of hosts; each may make a new plan.
	failuresPerDay = 99.0
	restartsPerDay = 1_600.0
)

// What the letter leaves open; the page names these as assumptions.
const (
	assumedCustomers = 1_000.0
	// assumedChunks is a version of 64 GiB in chunks of 8 MiB.
	assumedChunks = 8_192.0
	// assumedOnceShare is the part of the requests that is not repeatable.
	assumedOnceShare = 1.0
)

// Derived from the above.
const (
	secondsPerDay    = 86_400.0
	changesPerSecond = fullChangesPerDay / secondsPerDay
	plansPerSecond   = (failuresPerDay + 2*restartsPerDay) / secondsPerDay // a restart takes a host out and back
	agentsPerEntry   = fullHosts / fullEntries
	hostsPerDomain   = fullHosts / fullDomains
	nodes            = fullEntries + fullHosts
)

// Intervals of the programs that the computed lines multiply by, as they stand
// in the code.
const (
	agentCallsPerSecond = 1.0     // of one agent to its home: defaultWait of agent/internal/cmd
	entryCallsPerSecond = 0.5     // of one entry to one neighbour: defaultSync of entry/internal/cmd
	neighbours          = 16.0    // calls kept and calls answered: about 8 each, spread.Neighbours
	viewsPerSecond      = 2.0     // least, maxBuildInterval of entry/internal/control
	listReadsPerSecond  = 1 / 7.5 // jittered 10 s: entry/internal/control and agent/internal/control
	onceHorizonSeconds  = 3_660.0 // once.MaxKeyAge and a generation
	keyPollsPerSecond   = 3 / 45. // of one entry: root, plan and drain marks, jittered 60 s
)

// listWholePerSecond is how often a reading finds the list changed: where a host
// went or came back since the last.
var listWholePerSecond = listReadsPerSecond * (1 - math.Exp(-plansPerSecond/listReadsPerSecond))

// Budgets of control, a node.
const (
	budgetCPUPercent = 2.9
	budgetMiB        = 256.0
	budgetBytes      = 7_000.0 // a second
	// budgetReads and budgetWrites are the service's, a second, for all.
	budgetReads  = 2_000.0
	budgetWrites = 300.0
	// budgetValue is the largest value that the service holds, bytes.
	budgetValue = 1 << 20
	// budgetInForce is the time of a document to be in force everywhere.
	budgetInForce = 9.0
	// budgetLeaving is the "few seconds" after which a host that leaves gets no
	// new work.
	budgetLeaving = 5.0
)

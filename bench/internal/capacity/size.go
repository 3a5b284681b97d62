package capacity

import "math"

// Deployment size that the users expect within two years, as stated on the
// developers' page.
const (
	fullEntries           = 820.0
	fullHosts             = 10_000.0
	fullDomains           = 34.0
	fullRequestsPerSecond = 83_000.0
	fullTokensPerSecond   = 39e6
	fullBurstHosts        = 1_200.0
	fullChangesPerDay     = 66_000.0
	// failuresPerDay and restartsPerDay count hosts. Each event may cause a new plan.
	failuresPerDay = 99.0
	restartsPerDay = 1_600.0
)

// Assumptions for what the users' requirements leave open. The capacity page lists
// them as such.
const (
	assumedCustomers = 1_000.0
	// assumedChunks is the number of 8 MiB chunks in a version of 64 GiB.
	assumedChunks = 8_192.0
	// assumedOnceShare is the fraction of requests that must not be repeated.
	assumedOnceShare = 1.0
)

// Rates and ratios derived from the deployment size.
const (
	secondsPerDay    = 86_400.0
	changesPerSecond = fullChangesPerDay / secondsPerDay
	plansPerSecond   = (failuresPerDay + 2*restartsPerDay) / secondsPerDay // a restart removes a host and adds it again
	agentsPerEntry   = fullHosts / fullEntries
	hostsPerDomain   = fullHosts / fullDomains
	nodes            = fullEntries + fullHosts
)

// Rates and intervals of the programs, copied from the code named beside them.
const (
	agentCallsPerSecond = 1.0     // of one agent to its home: defaultWait of agent/internal/cmd
	entryCallsPerSecond = 0.5     // of one entry to one neighbour: defaultSync of entry/internal/cmd
	neighbours          = 16.0    // calls kept and calls answered: about 8 each, spread.Neighbours
	viewsPerSecond      = 2.0     // least, maxBuildInterval of entry/internal/control
	listReadsPerSecond  = 1 / 7.5 // jittered 10 s: entry/internal/control and agent/internal/control
	onceHorizonSeconds  = 3_660.0 // once.MaxKeyAge and a generation
	keyPollsPerSecond   = 3 / 45. // of one entry: root, plan and drain marks, jittered 60 s
)

// listChangesPerSecond is the rate of reads of the host list that find it changed,
// because a host left or returned since the previous read.
var listChangesPerSecond = listReadsPerSecond * (1 - math.Exp(-plansPerSecond/listReadsPerSecond))

// Budgets for control traffic and processing, per node unless stated otherwise.
const (
	budgetCPUPercent = 2.9
	budgetMiB        = 256.0
	budgetBytes      = 7_000.0 // a second
	// budgetReads and budgetWrites limit the calls per second to the service from
	// all nodes together.
	budgetReads  = 2_000.0
	budgetWrites = 300.0
	// budgetValue is the largest value that the service stores, in bytes.
	budgetValue = 1 << 20
	// budgetInForce is the time within which a document must be in force on all
	// nodes, in seconds.
	budgetInForce = 9.0
	// budgetLeaving is the time after which a leaving host must get no new work, in
	// seconds. The requirement says "few seconds".
	budgetLeaving = 5.0
)

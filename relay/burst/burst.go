// Package burst decides which chunk of a version a host fetches from which source. It aims to
// complete the version on all hosts close to the lower time bound set by their links, while the
// origin sends little more than one copy.
//
// Core is a pure state machine: events go in, actions come out, and the caller passes the time.
// One Core serves one version on one host; it is not safe for concurrent use.
//
// In the default strategy, Swarm, the origin sends chunks in index order, a few at a time. For
// each chunk, rendezvous hashing ranks the hosts, here called its owners; the first one fetches it
// from the origin. Hosts report to each other which chunks were fetched, which makes the next
// chunks due. All other transfers run between peers: a host keeps a bounded set of neighbours and
// requests the rarest chunk first, from the neighbour expected to deliver it soonest.
package burst

import "time"

// Distribution strategies. All but Swarm are baselines for measurements.
const (
	Swarm      = "swarm"      // owners fetch from the origin, all others from peers
	OriginOnly = "originOnly" // every host fetches everything from the origin
	Tree       = "tree"       // a fixed tree of hosts whose root fetches from the origin
	Random     = "random"     // random chunks from random sources: peers or the origin
)

// Objectives of a rollout.
const (
	ObjectiveTime        = "time"
	ObjectiveOriginBytes = "originBytes"
)

// Origin identifies the origin as the source of an action or event.
const Origin = ""

const (
	// treeFanOut is the number of children of a host in the Tree strategy.
	treeFanOut = 2
	// Each host chooses sameDomainNeighbours in its own failure domain, which saves latency and
	// traffic between regions, and anyDomainNeighbours regardless of failure domain, which keep the
	// whole fleet one connected graph.
	sameDomainNeighbours = 2
	anyDomainNeighbours  = 8
	// maxNeighbours bounds the neighbours of a host, including those that chose it.
	maxNeighbours = 20
	// defaultMaxFetches is the default number of concurrent requests; memory limits it.
	defaultMaxFetches = 6
	// maxFetchesPerPeer bounds the concurrent requests to one peer.
	maxFetchesPerPeer = 2
	// maxOriginFetches bounds the concurrent requests of one host to the origin.
	maxOriginFetches = 2
	// minOriginWindow and maxOriginWindow bound the number of chunks that the fleet fetches from
	// the origin concurrently. The window grows by one for every originWindowStep fetched chunks.
	minOriginWindow  = 4
	maxOriginWindow  = 8
	originWindowStep = 16
	// ownerQueryWindow is the number of next chunks whose owners are contacted before the chunks
	// are due.
	ownerQueryWindow = 3 * maxOriginWindow
	// maxDuplicates bounds the concurrent duplicate requests near the end of a transfer.
	maxDuplicates = 2
	// corruptChunksToBan is the number of consecutive corrupt chunks after which a peer is banned.
	corruptChunksToBan = 2
	// timeoutsToBan is the number of consecutive timeouts after which a peer is banned. It exceeds
	// the concurrent requests to one peer, so that a single stall does not ban it.
	timeoutsToBan = maxFetchesPerPeer + 1
	// maxOwnerRanks is the number of hosts that may fetch a chunk from the origin, one after the
	// other.
	maxOwnerRanks = 8
)

const (
	updateInterval   = time.Second           // between exchanges with a neighbour that lacks our latest state
	offerInterval    = 15 * time.Millisecond // between the exchanges started because the uplink is idle
	idleInterval     = time.Second           // between exchanges with a neighbour that has our latest state
	completeInterval = 10 * time.Second      // between exchanges once both sides hold the complete version

	firstFetchTime = time.Second      // assumed duration of a fetch before one was measured
	minTimeout     = time.Second      // lower bound of the fetch timeout
	maxTimeout     = 60 * time.Second // upper bound of the fetch timeout
	timeoutFactor  = 8                // fetch timeout in multiples of the measured duration

	maxStartupWait     = time.Second            // longest wait for neighbours' reports before the first origin fetch
	nonParticipantWait = 2 * time.Second        // pause with a peer that does not take part in the version
	originScanInterval = 50 * time.Millisecond  // between scans for due chunks; a chunk fetched meanwhile triggers one at once
	lostScanInterval   = 250 * time.Millisecond // between scans for chunks whose holders are gone
	busyWait           = 150 * time.Millisecond // minimum pause with a busy peer
	lacksWait          = 200 * time.Millisecond
	suspectWait        = 5 * time.Second        // pause with an unreachable peer; doubles
	timeoutPenalty     = 2 * time.Second        // pause with a peer after a fetch timed out; doubles
	corruptPause       = 250 * time.Millisecond // pause with a peer after one corrupt chunk
	banPause           = 10 * time.Second       // pause with a peer that responds but does not deliver; doubles
	maxPenalty         = time.Minute
	minOriginBackoff   = 500 * time.Millisecond // pause after a failed origin fetch; doubles
	maxOriginBackoff   = 15 * time.Second
	// staleReportWindow is how long after a failed origin fetch the reported chunks may still stem
	// from before the failure.
	staleReportWindow = 300 * time.Millisecond
	// maxSharedBackoff is the greatest Config.MaxBackoff at which hosts resume origin fetches as
	// soon as others succeed: an origin configured with so short a pause can take the retries of
	// all hosts at once.
	maxSharedBackoff = time.Second
	// originRetryJitter spreads the retries of hosts that learn that the origin answers again.
	originRetryJitter = 100 * time.Millisecond
	// minRankTimeout and maxRankTimeout bound the time that an owner has to fetch a chunk before
	// the next in rank queries it.
	minRankTimeout = 500 * time.Millisecond
	maxRankTimeout = 30 * time.Second
	// maxIntendedFailures is the number of consecutive failed origin fetches after which an owner,
	// while other hosts succeed, stops announcing its intent and lets the next in rank try: the
	// fault may be its own.
	maxIntendedFailures = 4
	// stallDivisor: 1/stallDivisor of the time in which the origin answers no host counts against
	// the owners of chunks.
	stallDivisor = 4
	// lostRankTimeouts is the time, in rank timeouts, that a chunk fetched by some host has to
	// reach a neighbour before it is considered lost.
	lostRankTimeouts = 2
	// undeliveredRankTimeouts is the time, in rank timeouts, after which an owner that holds a
	// chunk but delivers it to no host is skipped.
	undeliveredRankTimeouts = 6
	// maxCheckedHolders is the number of holders up to which each is checked for whether it delivers.
	maxCheckedHolders = 2
	// maxSilence is the time without a message after which a peer that failed counts as gone.
	maxSilence = 3 * time.Second
	// lowerRanksQueried is the number of lower-ranked owners that an owner contacts before it
	// fetches from the origin, during its startupPeriod.
	lowerRanksQueried = 2
	startupPeriod     = 3 * time.Second
	// rankTimeoutGaps is the rank timeout in mean gaps between two origin fetches of the fleet.
	rankTimeoutGaps = 2 * maxOriginWindow
	// maxGapGrowth bounds the gap from which the rank timeout is derived, in multiples of the
	// smallest gap measured.
	maxGapGrowth = 2
	// initialRankTimeout applies until the rate of origin fetches was measured.
	initialRankTimeout = 2 * time.Second
	// takeoverRankTimeouts is the time, in rank timeouts, after which the next owner fetches a
	// chunk although the one before it reports that it is still fetching.
	takeoverRankTimeouts = 3
)

// Peer identifies another agent and its location.
type Peer struct {
	ID            string
	Region        string
	FailureDomain string
}

// Config holds the parameters of a Core.
type Config struct {
	Self      Peer
	Version   string
	Chunks    int
	Strategy  string // defaults to Swarm
	Objective string // defaults to ObjectiveTime
	// OriginCopies bounds the copies that the origin sends under ObjectiveTime; 0 means 1.
	OriginCopies int
	// MaxFetches bounds the concurrent requests; 0 means the default.
	MaxFetches int
	// OriginWindow is the number of chunks that the fleet fetches from the origin concurrently; 0
	// starts with a few and grows. A larger window keeps the origin's link busy where chunks are so
	// small that reporting a fetch takes longer than the fetch.
	OriginWindow int
	// MaxBackoff bounds the pause after failed origin fetches; 0 means 15 s. A short one suits
	// fleets whose origin can take the retries of all hosts.
	MaxBackoff time.Duration
	// LimitCrossRegionTraffic minimizes traffic between regions: each chunk enters a region once, unless that
	// takes too long.
	LimitCrossRegionTraffic bool
	// OnInvariantViolation is called with a description of each violated invariant of the Core's state; nil
	// ignores violations.
	OnInvariantViolation func(rule string)
	// Seed varies the choices among equal candidates from host to host.
	Seed uint64
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	Fetch    ActionKind = iota + 1 // request the chunk from the source
	Cancel                         // cancel a request
	Exchange                       // exchange reports with the peer
)

// Action is an instruction to the caller, which reports the outcome as an event.
type Action struct {
	Kind   ActionKind
	Chunk  int    // set for Fetch and Cancel
	Source string // peer ID, or Origin
}

// Report is the state that two peers send each other in an exchange. The bitmaps consist of
// little-endian words with one bit per chunk.
type Report struct {
	Held          []uint64 // verified and stored
	Fetching      []uint64 // being fetched from the origin, or about to be
	OriginFetched []uint64 // known to have been fetched from the origin by some host
	Queue         int      // uploads in progress or waiting
}

// Cause is the reason why a fetch failed.
type Cause int

// Causes of failed fetches.
const (
	Broken  Cause = iota + 1 // the connection failed or the source returned an error
	Busy                     // the source asks to retry later
	NotHeld                  // the source does not hold the chunk
	Corrupt                  // the data does not match the chunk's hash
	TimedOut
	StoreRejected // the local store rejected the data; the source is not at fault
)

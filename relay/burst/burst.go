// Package burst decides which chunk of a version a host fetches from whom, so
// that a version reaches all hosts near the bound that the links set and the
// origin sends little more than one copy.
//
// Core is pure: events in, actions out, the time passed in. One Core serves one
// version on one host; it is not safe for concurrent use.
//
// Two rules carry the design. Chunks leave the origin in the order of their
// index, each drawn by its first owner by rendezvous hash, a few at a time: the
// hosts report to each other which chunks were drawn, and that knowledge opens the
// next ones. Everything else moves between peers over a bounded set of
// neighbours, rarest chunk first, from the neighbour that should answer soonest.
package burst

import "time"

// Strategies. All but Swarm are baselines for measurements.
const (
	Swarm      = "swarm"      // owners draw from the origin, the rest from peers
	OriginOnly = "originOnly" // every host draws everything from the origin
	Tree       = "tree"       // a fixed tree of hosts, the root draws from the origin
	Random     = "random"     // random chunks from random peers, the origin among them
)

// Objectives of a rollout.
const (
	ObjectiveTime        = "time"
	ObjectiveOriginBytes = "originBytes"
)

// Origin stands for the origin where an action or event names a source.
const Origin = ""

const (
	// treeFanOut is the children of one host in the Tree strategy.
	treeFanOut = 2
	// closeNeighbours are chosen within the failure domain, farNeighbours
	// anywhere: the near ones save latency and links between regions, the far
	// ones keep the whole fleet one connected graph.
	sameDomainNeighbours = 2
	anyDomainNeighbours  = 8
	// maxNeighbours bounds the neighbours chosen and those that chose us.
	maxNeighbours = 20
	// fetchTarget is the chunks requested at once, as memory allows.
	defaultMaxFetches = 6
	// perPeerFetches bounds the chunks requested at once from one peer.
	maxFetchesPerPeer = 2
	// originFetches bounds the chunks that one host draws at once.
	maxOriginFetches = 2
	// minDrawWindow and maxDrawWindow bound the chunks that the fleet draws at
	// once; it grows by one with each drawWindowStep chunks drawn.
	minOriginWindow  = 4
	maxOriginWindow  = 8
	originWindowStep = 16
	// askWindow is the chunks whose owners are looked up ahead.
	ownerQueryWindow = 3 * maxOriginWindow
	// maxDuplicates bounds the chunks requested twice at once near the end.
	maxDuplicates = 2
	// bannedAfter is the corrupt chunks in a row that ban a peer.
	corruptChunksToBan = 2
	// stallsToBan is the requests that time out in a row until a peer is
	// banned: more than are in progress at once.
	timeoutsToBan = maxFetchesPerPeer + 1
	// ownerRanks is how many hosts may draw a chunk in turn.
	maxOwnerRanks = 8
)

const (
	updateInterval   = time.Second           // between exchanges with a neighbour while there is news
	offerInterval    = 15 * time.Millisecond // between offers of an idle uplink
	idleInterval     = time.Second           // the same without news
	completeInterval = 10 * time.Second      // the same once both sides are whole

	firstFetchTime = time.Second      // assumed time of one fetch before any was measured
	minTimeout     = time.Second      // least time until a fetch is given up
	maxTimeout     = 60 * time.Second // greatest such time
	timeoutFactor  = 8                // such time in measured fetch times

	maxStartupWait     = time.Second            // greatest time before the first draw
	nonParticipantWait = 2 * time.Second        // pause with a peer that takes no part
	originScanInterval = 50 * time.Millisecond  // between looks at what is due, unless something was drawn
	lostScanInterval   = 250 * time.Millisecond // between looks for chunks whose holders are gone
	busyWait           = 150 * time.Millisecond // least pause with a busy peer
	lacksWait          = 200 * time.Millisecond
	suspectWait        = 5 * time.Second        // pause with an unreachable peer
	timeoutPenalty     = 2 * time.Second        // pause with a peer that let a fetch time out; doubles
	corruptPause       = 250 * time.Millisecond // pause after one corrupt chunk
	banPause           = 10 * time.Second       // pause with a peer that talks but does not deliver; doubles
	maxPenalty         = time.Minute
	minOriginBackoff   = 500 * time.Millisecond // pause after a failed draw; doubles
	maxOriginBackoff   = 15 * time.Second
	// oldNews is how long after a draw failed the news of chunks drawn may be older.
	staleReportWindow = 300 * time.Millisecond
	// shortBackoff is the Config.MaxBackoff up to which an origin can bear to be asked by
	// all whose pause ends at once.
	maxSharedBackoff = time.Second
	// rejoinSpread is the time in which those come back who learn that the origin
	// answers again.
	originRetryJitter = 100 * time.Millisecond
	// minTurn is the least time that an owner has before the next in rank asks
	// after it; maxTurn the greatest.
	minRankTimeout = 500 * time.Millisecond
	maxRankTimeout = 30 * time.Second
	// intendFailures is the draws that may fail in a row, while others draw, before an
	// owner lets the next in rank try: the fault may be its own.
	maxIntendedFailures = 4
	// stallParts: one part in so many of the time in which the origin answers nobody counts
	// against the owners of chunks.
	stallDivisor = 4
	// lostTurns is the turns that a drawn chunk has to reach a neighbour.
	lostRankTimeouts = 2
	// undeliveredTurns is the turns after which an owner that holds a chunk and
	// passes it on to nobody is passed over.
	undeliveredRankTimeouts = 6
	// fewHolders is the holders up to which each is looked at.
	fewHoldersLimit = 2
	// silentTime is the time without a message after which a peer that failed is
	// taken to be gone.
	maxSilence = 3 * time.Second
	// overtakers is the hosts of lower rank that an owner asks before it
	// draws, during its youngTime.
	lowerRanksQueried = 2
	startupPeriod     = 3 * time.Second
	// turnGaps is a turn in mean gaps between two draws of the fleet.
	rankTimeoutGaps = 2 * maxOriginWindow
	// maxGapGrowth bounds the gap that a turn is made of, in the best ones.
	maxGapGrowth = 2
	// firstTurn is a turn before the pace of the draws is known.
	initialRankTimeout = 2 * time.Second
	// takeoverTurns is the turns after which the next rank draws although the
	// owner says that it is still fetching.
	takeoverRankTimeouts = 3
)

// Peer is another agent.
type Peer struct {
	ID            string
	Region        string
	FailureDomain string
}

// Config sets a Core up.
type Config struct {
	Self      Peer
	Version   string
	Chunks    int
	Strategy  string // empty means Swarm
	Objective string // empty means ObjectiveTime
	// OriginCopies bounds the copies that the origin sends with ObjectiveTime;
	// 0 stands for 1.
	OriginCopies int
	// MaxFetches bounds the chunks requested at once; 0 stands for the
	// default.
	MaxFetches int
	// DrawWindow is the chunks that the fleet draws at once; 0 lets it grow
	// from a few. A wider one keeps the origin's link busy where chunks are so
	// small that news of a draw takes longer than the draw.
	DrawWindow int
	// MaxBackoff bounds the pause after draws that failed; 0 stands for 15 s. A
	// short one suits fleets that the origin can bear to be asked by.
	MaxBackoff time.Duration
	// DearRegions keeps bytes between regions few: each chunk comes into a
	// region once, unless that takes long.
	DearRegions bool
	// Broken is called with the rule where an invariant of the Core's own
	// state does not hold; nil ignores it.
	Broken func(rule string)
	// Seed makes the choices among equals differ from host to host.
	Seed uint64
}

// ActionKind says what an Action asks for.
type ActionKind int

// The actions.
const (
	Fetch    ActionKind = iota + 1 // request the chunk from the source
	Cancel                         // give up such a request
	Exchange                       // swap reports with the peer
)

// Action is something for the program to do; its end comes back as an event.
type Action struct {
	Kind   ActionKind
	Chunk  int    // of Fetch and Cancel
	Source string // id of a peer, or Origin
}

// Report is what two peers send each other in an exchange. The bitmaps are
// little-endian words, one bit a chunk.
type Report struct {
	Held     []uint64 // verified and kept
	Fetching []uint64 // being drawn from the origin
	Drawn    []uint64 // drawn by some host, as far as known
	Queue    int      // requests waiting at the uplink
}

// Cause says why a fetch failed.
type Cause int

// The causes.
const (
	Broken  Cause = iota + 1 // the connection failed or the source answered an error
	Busy                     // the source asks to come back later
	Lacks                    // the source does not hold the chunk
	Corrupt                  // the bytes do not match the chunk's hash
	TimedOut
	Dropped // our own store refused the bytes: the source is not to blame
)

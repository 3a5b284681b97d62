package burst

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"comfreyrelay.example/relay/rendezvous"
)

// Core decides for one version on one host.
type Core struct {
	cfg         Config
	rng         *rand.Rand
	versionSeed uint64
	selfSeed    uint64

	held          *bitset.BitSet // verified and kept here
	originFetched *bitset.BitSet // drawn from the origin by some host, as far as known; superset of held
	revision      int            // grows with each chunk held or drawn

	peers         map[string]*peerState
	peerList      []Peer       // newest list of peers
	firstListedAt time.Time    // when the first list came
	recheckAt     time.Time    // when the next absent peer may be back; zero: none is absent
	sortedPeers   []*peerState // all of peers, by id
	neighbours    []*peerState
	holders       []uint16 // per chunk: neighbours that hold it
	parent        *peerState

	requests  []*request // requests in progress, oldest first
	inFlight  []uint8    // per chunk: requests in progress
	fetchTime time.Duration
	paused    bool
	excess    int       // requests that were in progress beyond MaxFetches when it was lowered; never grows by itself
	lastOffer time.Time // when the idle uplink was last offered
	uploads   int       // uploads in progress or waiting

	owners             map[int][]*peerState // per chunk: hosts by rank; nil stands for this one
	dueSince           map[int]time.Time    // per chunk: since when nobody is known to hold it though it should be drawn
	ownerQueries       map[ownerQuery]time.Time
	originRate         originRate     // of the draws of the fleet
	originRetryAt      time.Time      // no draw before
	nextOriginScan     time.Time      // no look at what is due before
	nextLostScan       time.Time      // no look for lost chunks before
	intendedFetches    *bitset.BitSet // to be drawn here once the origin may be asked again
	originFailures     int            // draws failed in a row
	lastOriginFailure  time.Time      // when the last of them did
	firstOriginFailure time.Time      // when the first of them did
	lastOriginProgress time.Time      // when a chunk was last learned to have left the origin; zero: none was
	imports            *importState
	pullNotBefore      time.Time // no fetch from peers before; zero: at once

	stats   Stats
	actions []Action
}

// ownerQuery notes that a peer was asked after a chunk that it should draw.
type ownerQuery struct {
	peerID string
	chunk  int
}

// New returns a Core that holds nothing.
func New(cfg Config) *Core {
	if cfg.Strategy == "" {
		cfg.Strategy = Swarm
	}
	if cfg.Objective == "" {
		cfg.Objective = ObjectiveTime
	}
	if cfg.MaxFetches <= 0 {
		cfg.MaxFetches = defaultMaxFetches
	}
	if cfg.MaxBackoff <= 0 {
		cfg.MaxBackoff = maxOriginBackoff
	}
	return &Core{
		cfg:             cfg,
		rng:             rand.New(rand.NewPCG(cfg.Seed, rendezvous.Seed(cfg.Self.ID))),
		versionSeed:     rendezvous.Seed(cfg.Version),
		selfSeed:        rendezvous.Seed(cfg.Self.ID),
		held:            newChunkSet(cfg.Chunks),
		originFetched:   newChunkSet(cfg.Chunks),
		intendedFetches: newChunkSet(cfg.Chunks),
		peers:           map[string]*peerState{},
		holders:         make([]uint16, cfg.Chunks),
		inFlight:        make([]uint8, cfg.Chunks),
		owners:          map[int][]*peerState{},
		dueSince:        map[int]time.Time{},
		ownerQueries:    map[ownerQuery]time.Time{},
		imports:         newImports(cfg.Chunks),
	}
}

// Whole reports whether every chunk is held.
func (c *Core) Whole() bool { return c.held.Count() == uint(c.cfg.Chunks) }

// Held returns the number of chunks held.
func (c *Core) Held() int { return int(c.held.Count()) }

// Drawn returns the number of chunks that some host drew, as far as known.
func (c *Core) Drawn() int { return int(c.originFetched.Count()) }

// Holds reports whether the chunk is held.
func (c *Core) Holds(chunk int) bool { return c.held.Test(uint(chunk)) }

// Hold notes a chunk that the host has without a fetch of this Core.
func (c *Core) Hold(chunk int) {
	if c.held.Test(uint(chunk)) {
		return
	}
	c.held.Set(uint(chunk))
	c.originFetched.Set(uint(chunk))
	c.revision++
	for _, other := range slices.Clone(c.requests) {
		if other.chunk == chunk {
			c.cancel(other)
		}
	}
}

// Lose notes that the host no longer has a chunk.
func (c *Core) Lose(chunk int) { c.held.Clear(uint(chunk)) }

// SetUploads sets how many uploads are in progress or wait.
func (c *Core) SetUploads(uploads int) { c.uploads = uploads }

// SetPaused stops new fetches, or lets them go on; exchanges go on anyway.
func (c *Core) SetPaused(paused bool) { c.paused = paused }

// Abandon gives up all that is on its way, since the version is no longer wanted
// here: what the origin still sends of it would hold up the next version.
func (c *Core) Abandon() {
	for _, req := range slices.Clone(c.requests) {
		c.cancel(req)
	}
}

// SetPullFrom puts off fetches from peers, so that others get the version first:
// until the time given this host draws what is its turn and takes in what its
// region needs, no more.
func (c *Core) SetPullFrom(from time.Time) { c.pullNotBefore = from }

// SetMaxFetches changes Config.MaxFetches. Requests in progress beyond it go on.
func (c *Core) SetMaxFetches(count int) {
	c.excess = max(0, len(c.requests)-count)
	c.cfg.MaxFetches = count
}

// SetPolicy changes the objective; see Config.
func (c *Core) SetPolicy(objective string, originCopies int) {
	c.cfg.Objective = objective
	c.cfg.OriginCopies = originCopies
}

// Stats counts what a Core did since its start.
type Stats struct {
	Draws      int // requests to the origin
	DrawsAgain int // of those, of chunks that some host had drawn before
	Pulls      int // requests to peers
	Busy       int // refused by a busy peer
	TimedOut   int
	Corrupt    int
	Broken     int
	Exchanges  int
	FarPulls   int       // requests to peers in other regions
	FirstHeld  time.Time // when the first chunk was held
	AllDrawn   time.Time // when every chunk was known to have left the origin
}

// Stats returns the counts.
func (c *Core) Stats() Stats { return c.stats }

// Decide returns what to do now. The program calls it after events and at
// least every few tens of milliseconds.
func (c *Core) Decide(now time.Time) []Action {
	c.expireRequests(now)
	if !c.recheckAt.IsZero() && !now.Before(c.recheckAt) {
		c.membershipChanged(now)
	}
	if !c.Whole() && !c.paused {
		switch c.cfg.Strategy {
		case OriginOnly:
			c.fetchAllFromOrigin(now)
		case Tree:
			c.pullFromParent(now)
		case Random:
			c.pullAtRandom(now)
		default:
			c.fetchDueChunks(now)
			c.updateAllowedImports(now)
			if !now.Before(c.pullNotBefore) {
				c.pull(now)
			} else {
				c.pullImports(now)
			}
		}
	}
	if c.cfg.Strategy != OriginOnly {
		c.exchange(now)
	}
	c.checkInvariants()
	actions := c.actions
	c.actions = nil
	return actions
}

package burst

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"comfreyrelay.example/relay/rendezvous"
)

// Core decides which chunks of one version one host fetches, when and from where.
type Core struct {
	cfg         Config
	rng         *rand.Rand
	versionSeed uint64
	selfSeed    uint64

	held          *bitset.BitSet // verified and stored on this host
	originFetched *bitset.BitSet // known to have been fetched from the origin by some host; superset of held
	revision      int            // increases whenever held or originFetched gains chunks

	peers         map[string]*peerState
	peerList      []Peer       // latest list of peers
	firstListedAt time.Time    // when the first list arrived
	recheckAt     time.Time    // when the next absent peer may be back; zero if none is absent
	sortedPeers   []*peerState // all peers, sorted by ID
	neighbours    []*peerState
	holders       []uint16 // per chunk: number of neighbours that hold it
	parent        *peerState

	requests  []*request // in progress, oldest first
	inFlight  []uint8    // per chunk: number of requests in progress
	fetchTime time.Duration
	paused    bool
	excess    int       // requests beyond MaxFetches that were in progress when it was lowered; never grows by itself
	lastOffer time.Time // when an exchange was last started because the uplink was idle
	uploads   int       // in progress or waiting

	owners             map[int][]*peerState // per chunk: hosts by rank; nil stands for this host
	dueSince           map[int]time.Time    // per chunk: when it was first due for an origin fetch
	queriedAt          map[ownerQuery]time.Time
	originRate         originRate     // of the origin fetches of the whole fleet
	originRetryAt      time.Time      // no origin fetch before this time
	nextOriginScan     time.Time      // no scan for due chunks before this time
	nextLostScan       time.Time      // no scan for lost chunks before this time
	intendedFetches    *bitset.BitSet // chunks that this host will fetch once originRetryAt has passed
	originFailures     int            // consecutive failed origin fetches
	lastOriginFailure  time.Time      // time of the last of them
	firstOriginFailure time.Time      // time of the first of them
	lastOriginProgress time.Time      // when a newly fetched chunk was last learned of; zero if never
	imports            *importState
	pullNotBefore      time.Time // no fetch from peers before this time; zero means at once

	stats   Stats
	actions []Action
}

// ownerQuery identifies a query to an owner about a chunk that it should fetch.
type ownerQuery struct {
	peerID string
	chunk  int
}

// New returns a Core that holds no chunks.
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
		queriedAt:       map[ownerQuery]time.Time{},
		imports:         newImports(cfg.Chunks),
	}
}

// Complete reports whether all chunks are held.
func (c *Core) Complete() bool { return c.held.Count() == uint(c.cfg.Chunks) }

// Held returns the number of chunks held.
func (c *Core) Held() int { return int(c.held.Count()) }

// OriginFetched returns the number of chunks known to have been fetched from the origin by some host.
func (c *Core) OriginFetched() int { return int(c.originFetched.Count()) }

// Holds reports whether the chunk is held.
func (c *Core) Holds(chunk int) bool { return c.held.Test(uint(chunk)) }

// Hold records a chunk that the host holds, such as one found in its store, and cancels the
// requests for it.
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

// Lose records that the host no longer holds a chunk.
func (c *Core) Lose(chunk int) { c.held.Clear(uint(chunk)) }

// SetUploads sets the number of uploads in progress or waiting.
func (c *Core) SetUploads(uploads int) { c.uploads = uploads }

// SetPaused pauses or resumes new fetches; exchanges continue while paused.
func (c *Core) SetPaused(paused bool) { c.paused = paused }

// Abandon cancels all requests because the version is no longer wanted here: data that the origin
// still sends for it would delay the next version.
func (c *Core) Abandon() {
	for _, req := range slices.Clone(c.requests) {
		c.cancel(req)
	}
}

// SetPullFrom postpones fetches from peers so that other hosts complete the version first. Until
// the given time this host only fetches the chunks it owns from the origin and the chunks it
// imports for its region.
func (c *Core) SetPullFrom(from time.Time) { c.pullNotBefore = from }

// SetMaxFetches changes Config.MaxFetches. Requests in progress beyond the new bound continue.
func (c *Core) SetMaxFetches(count int) {
	c.excess = max(0, len(c.requests)-count)
	c.cfg.MaxFetches = count
}

// SetPolicy changes Config.Objective and Config.OriginCopies.
func (c *Core) SetPolicy(objective string, originCopies int) {
	c.cfg.Objective = objective
	c.cfg.OriginCopies = originCopies
}

// Stats counts the activity of a Core since its creation.
type Stats struct {
	OriginFetches    int // requests to the origin
	OriginRefetches  int // of those, requests for chunks that some host had fetched before
	Pulls            int // requests to peers
	Busy             int // requests refused by a busy source
	TimedOut         int
	Corrupt          int
	Broken           int
	Exchanges        int
	CrossRegionPulls int       // requests to peers in other regions
	FirstHeld        time.Time // when the first chunk was held
	AllOriginFetched time.Time // when all chunks were known to have been fetched from the origin
}

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// Decide returns the actions to take now. The caller invokes it after each event and at least
// every few tens of milliseconds.
func (c *Core) Decide(now time.Time) []Action {
	c.expireRequests(now)
	if !c.recheckAt.IsZero() && !now.Before(c.recheckAt) {
		c.membershipChanged(now)
	}
	if !c.Complete() && !c.paused {
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

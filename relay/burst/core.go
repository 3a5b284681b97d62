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

	held  *bitset.BitSet // verified and kept here
	drawn *bitset.BitSet // drawn from the origin by some host, as far as known; superset of held
	news  int            // grows with each chunk held or drawn

	peers      map[string]*peerState
	list       []Peer       // newest list of peers
	listedAt   time.Time    // when the first list came
	recheck    time.Time    // when the next absent peer may be back; zero: none is absent
	order      []*peerState // all of peers, by id
	neighbours []*peerState
	holders    []uint16 // per chunk: neighbours that hold it
	parent     *peerState

	flights   []*flight // requests in progress, oldest first
	inFlight  []uint8   // per chunk: requests in progress
	fetchTime time.Duration
	paused    bool
	offered   time.Time // when the idle uplink was last offered
	uploads   int       // uploads in progress or waiting

	owners     map[int][]*peerState // per chunk: hosts by rank; nil stands for this one
	dueSince   map[int]time.Time    // per chunk: since when nobody is known to hold it though it should be drawn
	asked      map[ownerQuery]time.Time
	pace       pace           // of the draws of the fleet
	originWait time.Time      // no draw before
	drawScan   time.Time      // no look at what is due before
	lostScan   time.Time      // no look for lost chunks before
	intended   *bitset.BitSet // to be drawn here once the origin may be asked again
	originFail int            // draws failed in a row
	imports    *imports
	pullFrom   time.Time // no fetch from peers before; zero: at once

	stats   Stats
	actions []Action
}

// flight is one request in progress.
type flight struct {
	chunk    int
	source   *peerState // nil: the origin
	started  time.Time
	deadline time.Time
}

// ownerQuery notes that a peer was asked after a chunk that it should draw.
type ownerQuery struct {
	peer  string
	chunk int
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
		cfg.MaxFetches = fetchTarget
	}
	if cfg.MaxBackoff <= 0 {
		cfg.MaxBackoff = maxBackoff
	}
	return &Core{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, rendezvous.Seed(cfg.Self.ID))),
		versionSeed: rendezvous.Seed(cfg.Version),
		selfSeed:    rendezvous.Seed(cfg.Self.ID),
		held:        newChunkSet(cfg.Chunks),
		drawn:       newChunkSet(cfg.Chunks),
		intended:    newChunkSet(cfg.Chunks),
		peers:       map[string]*peerState{},
		holders:     make([]uint16, cfg.Chunks),
		inFlight:    make([]uint8, cfg.Chunks),
		owners:      map[int][]*peerState{},
		dueSince:    map[int]time.Time{},
		asked:       map[ownerQuery]time.Time{},
		imports:     newImports(cfg.Chunks),
	}
}

// Whole reports whether every chunk is held.
func (c *Core) Whole() bool { return c.held.Count() == uint(c.cfg.Chunks) }

// Held returns the number of chunks held.
func (c *Core) Held() int { return int(c.held.Count()) }

// Holds reports whether the chunk is held.
func (c *Core) Holds(chunk int) bool { return c.held.Test(uint(chunk)) }

// Hold notes a chunk that the host has without a fetch of this Core.
func (c *Core) Hold(chunk int) {
	if c.held.Test(uint(chunk)) {
		return
	}
	c.held.Set(uint(chunk))
	c.drawn.Set(uint(chunk))
	c.news++
	for _, other := range slices.Clone(c.flights) {
		if other.chunk == chunk {
			c.cancel(other)
		}
	}
}

// Lose notes that the host no longer has a chunk.
func (c *Core) Lose(chunk int) { c.held.Clear(uint(chunk)) }

// SetUploads tells how many uploads are in progress or wait.
func (c *Core) SetUploads(uploads int) { c.uploads = uploads }

// SetPaused stops new fetches, or lets them go on; exchanges go on anyway.
func (c *Core) SetPaused(paused bool) { c.paused = paused }

// SetPullFrom puts off fetches from peers, so that others get the version first:
// until the time given this host draws what is its turn and takes in what its
// region needs, no more.
func (c *Core) SetPullFrom(from time.Time) { c.pullFrom = from }

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

// Report returns what to tell a peer in an exchange.
func (c *Core) Report() Report {
	drawing := c.intended.Clone()
	for _, flt := range c.flights {
		if flt.source == nil {
			drawing.Set(uint(flt.chunk))
		}
	}
	return Report{
		Held:     slices.Clone(c.held.Words()),
		Fetching: drawing.Words(),
		Drawn:    slices.Clone(c.drawn.Words()),
		Queue:    c.uploads,
	}
}

// Heard takes the report of a peer that called; the reply to it must bear the
// Report of the same moment.
func (c *Core) Heard(now time.Time, from Peer, rep Report) {
	if from.ID == c.cfg.Self.ID {
		return
	}
	pst := c.ensure(from)
	pst.told = c.news
	c.learn(now, pst, rep)
}

// Replied takes a peer's reply to an exchange.
func (c *Core) Replied(now time.Time, id string, rep Report) {
	pst := c.peers[id]
	if pst == nil {
		return
	}
	pst.exchanging = false
	pst.told = max(pst.told, pst.telling)
	c.learn(now, pst, rep)
}

// Answered takes the report that came with a chunk or a refusal. Requests for
// chunks bear reports both ways, so that neighbours who trade need few exchanges
// beside them.
func (c *Core) Answered(now time.Time, id string, rep Report) {
	pst := c.peers[id]
	if pst == nil || len(rep.Held) == 0 {
		return
	}
	c.learn(now, pst, rep)
}

func (c *Core) learn(now time.Time, pst *peerState, rep Report) {
	pst.heardAt, pst.exchanged = now, now
	pst.silent = 0
	pst.queue = rep.Queue
	if rep.Fetching != nil {
		pst.fetching = rep.Fetching
	}
	if len(rep.Held) == 0 {
		c.outside(now, pst)
		return
	}
	if now.Before(pst.suspectUntil) || now.Before(pst.outsideUntil) {
		pst.suspectUntil, pst.outsideUntil = now, now
		c.membershipChanged(now)
	}
	c.learnHeld(pst, rep.Held)
	if !pst.neighbour && !pst.absent(now) && len(c.neighbours) < maxNeighbours {
		c.setNeighbour(pst, true)
	}
	c.noteDrawn(now, rep.Drawn)
	c.noteDrawn(now, rep.Held)
}

// outside notes that the peer takes no part in the version, or does not know
// its manifest yet: it calls by itself once it does.
func (c *Core) outside(now time.Time, pst *peerState) {
	c.learnHeld(pst, nil)
	pst.outsideUntil = now.Add(outsideWait)
	c.membershipChanged(now)
}

// learnHeld replaces what the peer is known to hold: after a restart it may
// hold less than before.
func (c *Core) learnHeld(pst *peerState, words []uint64) {
	if pst.held == nil {
		pst.held = newChunkSet(c.cfg.Chunks)
	}
	added := func(chunk int) {
		pst.heldCount++
		if pst.neighbour {
			c.holders[chunk]++
		}
	}
	removed := func(chunk int) {
		pst.heldCount--
		if pst.neighbour {
			c.holders[chunk]--
		}
	}
	replaceWords(pst.held, words, added, removed)
}

// noteDrawn learns which chunks left the origin, and how fast.
func (c *Core) noteDrawn(now time.Time, words []uint64) {
	fresh := 0
	addWords(c.drawn, words, func(chunk int) {
		fresh++
		delete(c.dueSince, chunk)
	})
	if fresh == 0 {
		return
	}
	c.news++
	if c.stats.FirstHeld.IsZero() && c.held.Any() {
		c.stats.FirstHeld = now
	}
	if c.stats.AllDrawn.IsZero() && int(c.drawn.Count()) == c.cfg.Chunks {
		c.stats.AllDrawn = now
	}
	c.drawScan = now
	c.pace.note(now, fresh)
}

// Unreachable notes that an exchange with the peer failed.
func (c *Core) Unreachable(now time.Time, id string) {
	pst := c.peers[id]
	if pst == nil {
		return
	}
	pst.exchanging = false
	pst.exchanged = now
	c.suspect(now, pst)
}

func (c *Core) suspect(now time.Time, pst *peerState) {
	pst.unanswered(now)
	c.membershipChanged(now)
}

// Arrived notes a chunk that was fetched, verified and kept.
func (c *Core) Arrived(now time.Time, chunk int, source string) {
	flt := c.endFlight(chunk, source)
	if flt == nil {
		c.Hold(chunk)
		return
	}
	took := now.Sub(flt.started)
	if flt.source == nil {
		c.originFail = 0
		c.noteDrawn(now, bitOf(chunk))
		c.wakeNextOwner()
	} else {
		flt.source.serve = average(flt.source.serve, took)
		flt.source.strikes, flt.source.corrupts = 0, 0
		c.fetchTime = average(c.fetchTime, took)
	}
	delete(c.dueSince, chunk)
	c.Hold(chunk)
}

func bitOf(chunk int) []uint64 {
	words := make([]uint64, chunk/wordBits+1)
	words[chunk/wordBits] = 1 << (chunk % wordBits)
	return words
}

// average is an exponentially weighted moving average.
func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/8
}

// Failed notes a fetch that ended without the chunk.
func (c *Core) Failed(now time.Time, chunk int, source string, cause Cause, retryAfter time.Duration) {
	flt := c.endFlight(chunk, source)
	if flt == nil {
		return
	}
	c.countFailure(cause)
	if flt.source == nil {
		c.originFailed(now, cause, retryAfter)
		return
	}
	pst := flt.source
	switch cause {
	case Busy:
		pst.busyUntil = now.Add(max(busyWait, retryAfter))
	case Lacks:
		pst.busyUntil = now.Add(lacksWait)
		c.unlearn(pst, chunk)
	case Corrupt:
		pst.corrupted(now)
		c.membershipChanged(now)
	case TimedOut:
		pst.stalled(now)
		if pst.heardAt.Before(flt.started) {
			pst.unanswered(now)
		}
		c.membershipChanged(now)
	case Broken:
		c.suspect(now, pst)
	}
}

func (c *Core) countFailure(cause Cause) {
	switch cause {
	case Busy:
		c.stats.Busy++
	case TimedOut:
		c.stats.TimedOut++
	case Corrupt:
		c.stats.Corrupt++
	case Broken, Lacks, Dropped:
		c.stats.Broken++
	}
}

// unlearn takes a chunk out of what the peer is believed to hold: a peer that
// restarted without it.
func (c *Core) unlearn(pst *peerState, chunk int) {
	if pst.held == nil || !pst.held.Test(uint(chunk)) {
		return
	}
	pst.held.Clear(uint(chunk))
	pst.heldCount--
	if pst.neighbour {
		c.holders[chunk]--
	}
}

// endFlight forgets a request and returns it; nil where it was cancelled.
func (c *Core) endFlight(chunk int, source string) *flight {
	for i, flt := range c.flights {
		if flt.chunk != chunk || flt.sourceID() != source {
			continue
		}
		c.flights = slices.Delete(c.flights, i, i+1)
		c.inFlight[chunk]--
		if flt.source != nil {
			flt.source.inFlight--
		}
		return flt
	}
	return nil
}

func (f *flight) sourceID() string {
	if f.source == nil {
		return Origin
	}
	return f.source.peer.ID
}

// cancel gives a request up and tells the program.
func (c *Core) cancel(flt *flight) {
	c.endFlight(flt.chunk, flt.sourceID())
	c.actions = append(c.actions, Action{Kind: Cancel, Chunk: flt.chunk, Source: flt.sourceID()})
}

// Decide returns what to do now. The program calls it after events and at
// least every few tens of milliseconds.
func (c *Core) Decide(now time.Time) []Action {
	c.expire(now)
	if !c.recheck.IsZero() && !now.Before(c.recheck) {
		c.membershipChanged(now)
	}
	if !c.Whole() && !c.paused {
		switch c.cfg.Strategy {
		case OriginOnly:
			c.drawAll(now)
		case Tree:
			c.pullFromParent(now)
		case Random:
			c.pullAtRandom(now)
		default:
			c.draw(now)
			c.scanImports(now)
			if !now.Before(c.pullFrom) {
				c.pull(now)
			} else {
				c.pullImports(now)
			}
		}
	}
	if c.cfg.Strategy != OriginOnly {
		c.exchange(now)
	}
	c.check()
	actions := c.actions
	c.actions = nil
	return actions
}

// check asserts what must hold between two decisions.
func (c *Core) check() {
	if c.cfg.Broken == nil {
		return
	}
	inPeers, draws, counted := 0, 0, 0
	for _, flt := range c.flights {
		if flt.source == nil {
			draws++
		}
		if c.held.Test(uint(flt.chunk)) {
			c.cfg.Broken("a chunk is fetched that is held")
		}
	}
	for _, pst := range c.order {
		inPeers += pst.inFlight
	}
	for _, count := range c.inFlight {
		counted += int(count)
	}
	if counted != len(c.flights) || inPeers > len(c.flights)-draws {
		c.cfg.Broken("the counts of requests in progress differ from the requests")
	}
	if c.held.DifferenceCardinality(c.drawn) != 0 {
		c.cfg.Broken("a chunk is held that is not known as drawn")
	}
	if len(c.flights) > c.cfg.MaxFetches+originFetches {
		c.cfg.Broken("more requests are in progress than allowed")
	}
	if c.cfg.Strategy == Swarm && draws > originFetches {
		c.cfg.Broken("more draws are in progress than allowed")
	}
}

// expire gives up the requests that took too long: a stalled link does not
// close, so nothing else would end them.
func (c *Core) expire(now time.Time) {
	for _, flt := range slices.Clone(c.flights) {
		if now.Before(flt.deadline) {
			continue
		}
		c.actions = append(c.actions, Action{Kind: Cancel, Chunk: flt.chunk, Source: flt.sourceID()})
		c.Failed(now, flt.chunk, flt.sourceID(), TimedOut, 0)
	}
}

func (c *Core) fetch(now time.Time, chunk int, source *peerState) {
	switch {
	case source != nil:
		c.stats.Pulls++
		if source.peer.Region != c.cfg.Self.Region {
			c.stats.FarPulls++
		}
	case c.drawn.Test(uint(chunk)):
		c.stats.Draws++
		c.stats.DrawsAgain++
	default:
		c.stats.Draws++
	}
	flt := &flight{chunk: chunk, source: source, started: now, deadline: now.Add(c.timeout(source))}
	c.flights = append(c.flights, flt)
	c.inFlight[chunk]++
	if source != nil {
		source.inFlight++
		source.told, source.exchanged = c.news, now
	}
	c.actions = append(c.actions, Action{Kind: Fetch, Chunk: chunk, Source: flt.sourceID()})
}

// timeout is drawn from the measured time of a fetch.
func (c *Core) timeout(source *peerState) time.Duration {
	typical := c.fetchTime
	if source == nil && c.pace.gap() > 0 {
		typical = c.pace.gap() * maxDrawWindow
	}
	if typical == 0 {
		return timeoutFactor * firstFetchTime
	}
	return min(max(timeoutFactor*typical, minTimeout), maxTimeout)
}

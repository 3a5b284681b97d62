package weights

import (
	"context"
	"sync"
	"time"

	"comfreyrelay.example/relay/burst"
	"comfreyrelay.example/relay/rendezvous"
	"comfreyrelay.example/relay/wire"
)

const (
	// decisionInterval is the longest time between two decisions of the core while
	// the version is fetched, wholeDecisionInterval once it is complete.
	decisionInterval      = 50 * time.Millisecond
	wholeDecisionInterval = 250 * time.Millisecond
	// peerListInterval is how often the list of peers is read.
	peerListInterval = time.Second
	// stallTimeout is the time without a new chunk after which State.StallReason gives a
	// reason.
	stallTimeout = 5 * time.Second
	// defaultMaxFetches is how many chunks of one version are requested at once if
	// Config.MaxFetches is nil.
	defaultMaxFetches = 6
)

// transfer fetches and serves one version. One goroutine runs the loop in run; events
// come from the goroutines of fetches and from peers' calls.
type transfer struct {
	mgr           *Manager
	version       string
	wake          chan struct{} // capacity 1: signals events for the next decision
	cancel        context.CancelFunc
	wg            sync.WaitGroup // the loop, its fetches and exchanges
	peersReadAt   time.Time      // when the list of peers was read; used by the loop only
	manifestKnown chan struct{}  // closed once the manifest is verified

	mu              sync.Mutex // guards the fields below
	core            *burst.Core
	man             *wire.Manifest      // nil until verified against the version
	encoded         []byte              // the encoded manifest, exactly the bytes that were hashed
	chunks          map[chunkHash][]int // indexes by hash, since equal chunks are fetched once
	priority        int
	pullNotBefore   time.Time // no fetches from peers before this time
	passive         bool      // serves stored chunks, fetches none
	policy          Policy
	failed          bool      // the origin's manifest does not match the version
	problem         string    // reason of the latest failed fetch
	lastProgress    time.Time // when the latest chunk was stored, or the start
	startedAt       time.Time
	manifestKnownAt time.Time // when the manifest was verified
	wholeLogged     bool      // completion was logged
	fetches         map[fetchKey]context.CancelFunc
}

// fetchKey identifies a fetch in progress.
type fetchKey struct {
	chunk  int
	source string // id of a peer, or burst.Origin
}

func newTransfer(mgr *Manager, version string, policy Policy) *transfer {
	return &transfer{
		mgr: mgr, version: version, policy: policy,
		wake:          make(chan struct{}, 1),
		manifestKnown: make(chan struct{}),
		fetches:       map[fetchKey]context.CancelFunc{},
		lastProgress:  mgr.cfg.Clock.Now(),
		startedAt:     mgr.cfg.Clock.Now(),
	}
}

// start runs the loop in a goroutine of its own.
func (t *transfer) start(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	t.wg.Go(func() { t.run(ctx) })
}

// stop ends the loop and all fetches and waits for them.
func (t *transfer) stop() {
	t.cancel()
	t.wg.Wait()
}

// update applies the latest targets' settings for the version. What is being fetched
// is cancelled if the transfer becomes passive.
func (t *transfer) update(priority int, passive bool, policy Policy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if passive && !t.passive && t.core != nil {
		t.core.Abandon()
	}
	t.priority, t.passive, t.policy = priority, passive, policy
	if t.core != nil {
		t.core.SetPolicy(policy.Objective, policy.OriginCopies)
	}
	signal(t.wake)
}

func (t *transfer) now() time.Time { return t.mgr.cfg.Clock.Now() }

// run fetches the manifest, restores stored chunks and then performs the core's
// decisions until ctx is done.
func (t *transfer) run(ctx context.Context) {
	if err := t.fetchManifest(ctx); err != nil {
		return
	}
	if err := t.restoreStoredChunks(ctx); err != nil {
		return
	}
	// The Manager can drop chunks of earlier targets now that this version's chunks
	// are known.
	signal(t.mgr.wake)
	for ctx.Err() == nil {
		t.step(ctx)
		wait := decisionInterval
		if t.whole() {
			wait = wholeDecisionInterval
		}
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-t.mgr.cfg.Clock.After(wait):
		}
	}
}

// maxFetches returns how many chunks may be requested at once at present. Together
// they take up at most half of the memory window.
func (t *transfer) maxFetches(man *wire.Manifest) int {
	fitting := t.mgr.windowBytes / 2 / int64(max(1, man.GetChunkBytes()))
	return int(max(1, min(fitting, int64(t.mgr.cfg.MaxFetches()))))
}

// startCore creates the core for the verified manifest.
func (t *transfer) startCore(man *wire.Manifest, encoded []byte) {
	chunks := map[chunkHash][]int{}
	for i, hash := range man.GetChunkHashes() {
		chunks[chunkHash(hash)] = append(chunks[chunkHash(hash)], i)
	}
	self := t.mgr.cfg.Self
	t.mu.Lock()
	defer t.mu.Unlock()
	core := burst.New(burst.Config{
		Self:                    peerOf(self),
		Version:                 t.version,
		Chunks:                  len(man.GetChunkHashes()),
		Strategy:                t.mgr.cfg.Strategy,
		OriginWindow:            t.mgr.cfg.DrawWindow,
		MaxBackoff:              t.mgr.cfg.MaxBackoff,
		LimitCrossRegionTraffic: t.mgr.cfg.LimitCrossRegionTraffic,
		Objective:               t.policy.Objective,
		OriginCopies:            t.policy.OriginCopies,
		MaxFetches:              t.maxFetches(man),
		Seed:                    rendezvous.Seed(self.GetIncarnation()),
		OnInvariantViolation:    t.violationReporter(),
	})
	core.SetPullFrom(t.pullNotBefore)
	t.man, t.encoded, t.core, t.chunks = man, encoded, core, chunks
	t.failed, t.problem = false, ""
	t.manifestKnownAt = t.now()
	close(t.manifestKnown)
}

// violationReporter returns a function that reports each violated rule once.
func (t *transfer) violationReporter() func(rule string) {
	reported := map[string]bool{}
	return func(rule string) {
		if !reported[rule] {
			reported[rule] = true
			t.mgr.reportViolation(t.version, rule)
		}
	}
}

// restoreStoredChunks marks chunks as held that the host has already, from another
// version or from before a restart. Bytes that this process has not verified yet are
// verified first.
func (t *transfer) restoreStoredChunks(ctx context.Context) error {
	for hash := range t.chunks {
		kept, verified := t.mgr.store.lookUp(hash)
		if !kept {
			continue
		}
		if !verified && t.verifyStored(ctx, hash) != nil {
			continue
		}
		t.markHeld(hash)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// verifyStored reads back and verifies a stored chunk.
func (t *transfer) verifyStored(ctx context.Context, hash chunkHash) error {
	size := int64(t.man.GetChunkBytes())
	if err := t.mgr.window.Acquire(ctx, size); err != nil {
		return err
	}
	defer t.mgr.window.Release(size)
	_, err := t.mgr.store.get(ctx, hash)
	return err
}

// markHeld marks a stored chunk as held at each index where the version contains it.
func (t *transfer) markHeld(hash chunkHash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, chunk := range t.chunks[hash] {
		t.core.Hold(chunk)
	}
	if len(t.chunks[hash]) > 0 {
		signal(t.wake)
	}
}

// step passes the current state to the core and performs the actions that it decides on.
func (t *transfer) step(ctx context.Context) {
	outranked, originBusy := t.mgr.higherPriorityActive(t.currentPriority())
	load := t.mgr.uploads.pending()
	now := t.now()
	// The list is read before t.mu is locked, because the Manager locks its own
	// mutex first and t.mu second.
	refresh := now.Sub(t.peersReadAt) >= peerListInterval
	var peers []burst.Peer
	if refresh {
		t.peersReadAt = now
		peers = t.mgr.peers()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if refresh {
		t.core.SetPeers(now, peers)
	}
	t.core.SetUploads(load)
	t.core.SetPaused(t.passive || outranked && originBusy)
	t.core.SetPullFrom(t.pullNotBefore)
	if outranked {
		// The version of higher priority has the links between hosts to itself.
		t.core.SetPullFrom(later(t.pullNotBefore, now.Add(decisionInterval)))
	}
	t.core.SetMaxFetches(t.maxFetches(t.man))
	for _, act := range t.core.Decide(now) {
		t.perform(ctx, act)
	}
	if t.core.Complete() && !t.wholeLogged {
		t.wholeLogged = true
		t.logWhole(now)
	}
}

// logWhole logs the statistics of a completed version. t.mu must be held.
func (t *transfer) logWhole(now time.Time) {
	stats := t.core.Stats()
	t.mgr.cfg.Log.Info("version whole", "version", t.version, "chunks", t.core.Held(),
		"seconds", t.secondsSinceStart(now), "manifestSeconds", t.secondsSinceStart(t.manifestKnownAt),
		"firstSeconds", t.secondsSinceStart(stats.FirstHeld), "drawnSeconds", t.secondsSinceStart(stats.AllOriginFetched),
		"draws", stats.OriginFetches, "drawsAgain", stats.OriginRefetches, "pulls", stats.Pulls, "farPulls", stats.CrossRegionPulls, "busy", stats.Busy,
		"timedOut", stats.TimedOut, "corrupt", stats.Corrupt, "broken", stats.Broken, "exchanges", stats.Exchanges)
}

// secondsSinceStart returns the seconds from the transfer's start to a moment; 0 if the
// moment is zero because the event did not occur.
func (t *transfer) secondsSinceStart(moment time.Time) float64 {
	if moment.IsZero() {
		return 0
	}
	return moment.Sub(t.startedAt).Seconds()
}

// perform starts or cancels what an action of the core asks for. t.mu must be held.
func (t *transfer) perform(ctx context.Context, act burst.Action) {
	key := fetchKey{chunk: act.Chunk, source: act.Source}
	switch act.Kind {
	case burst.Fetch:
		fetchCtx, cancel := context.WithCancel(ctx)
		t.fetches[key] = cancel
		t.wg.Go(func() { t.fetchChunk(fetchCtx, cancel, key) })
	case burst.Cancel:
		if cancel := t.fetches[key]; cancel != nil {
			cancel()
			delete(t.fetches, key)
		}
	case burst.Exchange:
		report := t.core.Report()
		t.wg.Go(func() { t.exchangeReports(ctx, act.Source, report) })
	}
}

func (t *transfer) currentPriority() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.priority
}

// activePriority returns the priority of a target that makes progress, or -1 if it is
// passive, failed, stalled or complete. originBusy reports whether some of its chunks
// have not been fetched from the origin yet.
func (t *transfer) activePriority() (priority int, originBusy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.passive || t.failed || t.stallReason() != "" || (t.core != nil && t.core.Complete()) {
		return -1, false
	}
	return t.priority, t.core == nil || t.core.OriginFetched() < len(t.man.GetChunkHashes())
}

// later returns the later of two times.
func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

func (t *transfer) whole() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core != nil && t.core.Complete()
}

func (t *transfer) manifest() *wire.Manifest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.man
}

func (t *transfer) state() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed {
		return State{phase: Failed, stallReason: t.problem}
	}
	if t.core == nil {
		return State{phase: Fetching, stallReason: t.stallReason()}
	}
	st := State{phase: Fetching, have: t.core.Held(), total: len(t.man.GetChunkHashes()), drawn: t.core.OriginFetched()}
	if t.core.Complete() {
		st.phase = Whole
		return st
	}
	st.stallReason = t.stallReason()
	return st
}

// stallReason returns why no chunk was stored for stallTimeout; empty if one was or if
// the transfer is passive. t.mu must be held.
func (t *transfer) stallReason() string {
	if t.passive || t.now().Sub(t.lastProgress) < stallTimeout {
		return ""
	}
	if t.problem == "" {
		return "no peer offers the missing chunks and their owners have not fetched them from the origin yet; check that the origin answers"
	}
	return t.problem
}

func (t *transfer) setProblem(problem string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.problem = problem
}

func peerOf(node *wire.Node) burst.Peer {
	return burst.Peer{ID: node.GetId(), Region: node.GetRegion(), FailureDomain: node.GetFailureDomain()}
}

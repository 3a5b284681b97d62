package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/spread"
	"comfreyrelay.example/relay/wire"
)

const (
	// chooseInterval is how often the neighbours are chosen anew.
	neighbourInterval = time.Second
	// forgetInterval is how often what is gone for good is forgotten.
	forgetInterval = time.Minute
	// callGrace is what a held call may take beyond its wait.
	callGrace = 2 * time.Second
	// retryLeast and retryMost bound the pause after a failed call.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// pullPatience is how long one pull may take before another node is asked.
	pullWait = 300 * time.Millisecond
	// partsTimeout bounds one Parts call.
	partsTimeout = 2 * time.Second
)

// Syncer keeps calls to this entry's neighbours.
type Syncer struct {
	exchange   *Exchange
	deployment *Deployment
	// call makes one Sync call; parts one Parts call. Seams for tests.
	call  func(ctx context.Context, node *wire.Node, req *wire.SyncRequest) (*wire.SyncReply, error)
	parts func(ctx context.Context, node *wire.Node, req *wire.PartsRequest) (*wire.PartsReply, error)
	// fallback gets parts from the service.
	fallback Fetch
	wait     time.Duration
	log      *slog.Logger

	mu             sync.Mutex
	neighbourCalls map[string]context.CancelFunc // by neighbour's id
	pulling        map[string]bool               // by id of the node asked
	// pulledAt is when the newest pull began, pulled closes when one ends.
	pulledAt time.Time
	pulled   chan struct{}
	runCtx   context.Context //nolint:containedctx // of Run, for pulls
}

// NewSyncer returns a Syncer that calls through the pool. wait is how long the
// neighbours may hold a call.
func NewSyncer(exchange *Exchange, pool *peer.Pool, fallback Fetch, wait time.Duration) *Syncer {
	client := func(ctx context.Context, node *wire.Node) wire.DRPCControlClient {
		return wire.NewDRPCControlClient(pool.Conn(ctx, node.GetControlAddress()))
	}
	return &Syncer{
		exchange:   exchange,
		deployment: exchange.deployment,
		call: func(ctx context.Context, node *wire.Node, req *wire.SyncRequest) (*wire.SyncReply, error) {
			return client(ctx, node).Sync(ctx, req)
		},
		parts: func(ctx context.Context, node *wire.Node, req *wire.PartsRequest) (*wire.PartsReply, error) {
			return client(ctx, node).Parts(ctx, req)
		},
		fallback:       fallback,
		wait:           wait,
		log:            exchange.deployment.log,
		neighbourCalls: map[string]context.CancelFunc{},
		pulling:        map[string]bool{},
		pulled:         make(chan struct{}),
		runCtx:         context.Background(),
	}
}

// Run chooses neighbours and keeps a call to each until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	s.mu.Lock()
	s.runCtx = ctx
	s.mu.Unlock()
	forgotAt := s.deployment.clock.Now()
	for ctx.Err() == nil {
		s.updateNeighbours(ctx)
		now := s.deployment.clock.Now()
		s.exchange.sessions.prune(now)
		if now.Sub(forgotAt) >= forgetInterval {
			forgotAt = now
			s.deployment.members.Forget(now)
			s.exchange.sessions.forget(s.deployment.members.Knows)
		}
		sleep(ctx, s.deployment.clock, neighbourInterval)
	}
}

// choose starts and stops calls so that they match the neighbours.
func (s *Syncer) updateNeighbours(ctx context.Context) {
	wanted := map[string]*wire.Node{}
	for _, node := range spread.Neighbours(s.exchange.self, s.deployment.members.Reachable(s.deployment.clock.Now())) {
		wanted[node.GetId()+" "+node.GetControlAddress()] = node
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, cancel := range s.neighbourCalls {
		if wanted[key] == nil {
			cancel()
			delete(s.neighbourCalls, key)
		}
	}
	for key, node := range wanted {
		if s.neighbourCalls[key] == nil {
			child, cancel := context.WithCancel(ctx)
			s.neighbourCalls[key] = cancel
			go s.syncLoop(child, node)
		}
	}
}

// keep calls one neighbour again and again.
func (s *Syncer) syncLoop(ctx context.Context, node *wire.Node) {
	pause := minRetryDelay
	for ctx.Err() == nil {
		began := s.deployment.clock.Now()
		if err := s.syncOnce(ctx, node, s.wait); err != nil {
			s.log.Debug("sync failed", "peer", node.GetId(), "error", err)
			counters.Add("syncFailed", 1)
			sleep(ctx, s.deployment.clock, jittered(pause))
			pause = min(2*pause, maxRetryDelay)
			continue
		}
		pause = minRetryDelay
		s.awaitPull(ctx)
		// A neighbour that answers at once each time (it drains, or knows less
		// than it says) must not turn this into a busy loop.
		if rest := minRetryDelay/4 - s.deployment.clock.Since(began); rest > 0 {
			sleep(ctx, s.deployment.clock, rest)
		}
	}
}

func (s *Syncer) syncOnce(ctx context.Context, node *wire.Node, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callGrace)
	defer cancel()
	sess := s.exchange.sessions.forNode(withoutIncarnation(node), s.deployment.clock.Now())
	req := s.exchange.request(sess, wait)
	counters.Add("syncCalls", 1)
	countMessage("bytesOut", "entry", req)
	reply, err := s.call(ctx, node, req)
	if err != nil {
		return err
	}
	countMessage("bytesIn", "entry", reply)
	s.exchange.applyReply(ctx, sess, reply, s.fetchFrom(node))
	if wait > 0 && s.deployment.ObserveKnown(reply.GetKnown()) {
		s.Pull(node)
	}
	return nil
}

// awaitPull waits while something newer is on its way: a held call that still
// bears the old revision would end at once.
func (s *Syncer) awaitPull(ctx context.Context) {
	s.mu.Lock()
	done := s.pulled
	busy := len(s.pulling) > 0
	s.mu.Unlock()
	if !busy {
		return
	}
	timer := s.deployment.clock.NewTimer(pullWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// withoutIncarnation names a node whose incarnation the caller may not know.
func withoutIncarnation(node *wire.Node) *wire.Node {
	return &wire.Node{Id: node.GetId(), Role: node.GetRole(), FailureDomain: node.GetFailureDomain(), Region: node.GetRegion()}
}

// fetchFrom gets parts from the node, and what it lacks from the service.
func (s *Syncer) fetchFrom(node *wire.Node) Fetch {
	return func(ctx context.Context, hashes []string) ([][]byte, error) {
		contents := make([][]byte, len(hashes))
		for s.fetchMissing(ctx, node, hashes, contents) {
		}
		missing := missingIndexes(contents)
		if len(missing) == 0 {
			return contents, nil
		}
		rest := make([]string, len(missing))
		for i, at := range missing {
			rest[i] = hashes[at]
		}
		counters.Add("partsFromService", int64(len(rest)))
		found, err := s.fallback(ctx, rest)
		if err != nil {
			return nil, err
		}
		for i, at := range missing {
			contents[at] = found[i]
		}
		return contents, nil
	}
}

// fetchSome makes one Parts call for what lacks and reports whether another
// one may bring more.
func (s *Syncer) fetchMissing(ctx context.Context, node *wire.Node, hashes []string, contents [][]byte) bool {
	missing := missingIndexes(contents)
	if len(missing) == 0 {
		return false
	}
	req := &wire.PartsRequest{From: s.exchange.self, Known: s.deployment.Known()}
	for _, at := range missing[:min(len(missing), maxHashes)] {
		req.Hashes = append(req.Hashes, hashes[at])
	}
	ctx, cancel := context.WithTimeout(ctx, partsTimeout)
	defer cancel()
	countMessage("bytesOut", "parts", req)
	reply, err := s.parts(ctx, node, req)
	if err != nil {
		return false
	}
	countMessage("bytesIn", "parts", reply)
	progress := false
	for i, content := range reply.GetParts() {
		if i < len(req.Hashes) && len(content) > 0 {
			contents[missing[i]] = content
			progress = true
		}
	}
	return progress
}

func missingIndexes(contents [][]byte) []int {
	var indexes []int
	for i, content := range contents {
		if content == nil {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// Pull asks a node that knows something newer, at once. Several neighbours report
// of the same news at the same moment: one of them is asked, and another only
// where it takes long.
func (s *Syncer) Pull(node *wire.Node) {
	now := s.deployment.clock.Now()
	s.mu.Lock()
	ctx := s.runCtx
	busy := len(s.pulling) > 0 && now.Sub(s.pulledAt) < pullWait
	if busy || s.pulling[node.GetId()] || node.GetControlAddress() == "" || ctx.Err() != nil {
		s.mu.Unlock()
		return
	}
	s.pulling[node.GetId()] = true
	s.pulledAt = now
	s.mu.Unlock()
	go s.pull(ctx, node)
}

func (s *Syncer) pull(ctx context.Context, node *wire.Node) {
	if err := s.syncOnce(ctx, node, 0); err != nil {
		s.log.Debug("pull failed", "peer", node.GetId(), "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pulling, node.GetId())
	close(s.pulled)
	s.pulled = make(chan struct{})
}

// jittered returns a random time between half the pause and all of it.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2+1)
}

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
	// neighbourInterval is how often the neighbours are selected.
	neighbourInterval = time.Second
	// forgetInterval is how often the state of removed members is dropped.
	forgetInterval = time.Minute
	// callGrace is how long a held call may take beyond its wait.
	callGrace = 2 * time.Second
	// minRetryDelay and maxRetryDelay limit the delay after a failed call.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// pullWait is how long one pull may take before another node is asked.
	pullWait = 300 * time.Millisecond
	// partsTimeout limits one Parts call.
	partsTimeout = 2 * time.Second
)

// Syncer keeps a Sync call open to each of this entry's neighbours.
type Syncer struct {
	exchange   *Exchange
	deployment *Deployment
	// call makes one Sync call and parts one Parts call; tests replace them.
	call  func(ctx context.Context, node *wire.Node, req *wire.SyncRequest) (*wire.SyncReply, error)
	parts func(ctx context.Context, node *wire.Node, req *wire.PartsRequest) (*wire.PartsReply, error)
	// fallback fetches parts from the service.
	fallback Fetch
	wait     time.Duration
	log      *slog.Logger

	mu             sync.Mutex
	neighbourCalls map[string]context.CancelFunc // by neighbour's id and address
	pulling        map[string]bool               // by id of the node asked
	// pulledAt is when the latest pull began. pulled is closed and replaced when a
	// pull ends.
	pulledAt time.Time
	pulled   chan struct{}
	runCtx   context.Context //nolint:containedctx // of Run, for pulls
}

// NewSyncer returns a Syncer that calls through the connection pool. wait is how
// long a neighbour may hold a call.
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

// Run selects neighbours and keeps calling each of them until ctx ends. It also
// drops unused sessions and removed members.
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

// updateNeighbours selects the neighbours and starts and stops call loops to match.
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

// syncLoop calls one neighbour repeatedly until ctx ends.
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
		// A neighbour that always replies at once, because it is draining or has
		// less than it claims, must not cause a busy loop.
		if rest := minRetryDelay/4 - s.deployment.clock.Since(began); rest > 0 {
			sleep(ctx, s.deployment.clock, rest)
		}
	}
}

// syncOnce makes one Sync call and applies the reply. If the reply to a held call
// shows that the node has something newer, it starts a pull.
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

// awaitPull waits, at most for pullWait, while a pull is running: a held call that
// still carries the old revision would end at once.
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

// withoutIncarnation returns the node's identity and location without its
// incarnation, which the caller may not know.
func withoutIncarnation(node *wire.Node) *wire.Node {
	return &wire.Node{Id: node.GetId(), Role: node.GetRole(), FailureDomain: node.GetFailureDomain(), Region: node.GetRegion()}
}

// fetchFrom returns a Fetch that gets parts from the node, and those the node does
// not have from the service.
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

// fetchMissing makes one Parts call for the contents still nil and reports whether
// another call may return more.
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

// missingIndexes returns the indexes of the nil contents.
func missingIndexes(contents [][]byte) []int {
	var indexes []int
	for i, content := range contents {
		if content == nil {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// Pull starts a Sync call that is not held, to a node that has something newer.
// Several neighbours announce the same change at the same time: only one of them is
// asked, and another one only if the first takes longer than pullWait.
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

// pull makes the call and then wakes those that wait in awaitPull.
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

// jittered returns a random duration between half the pause and the whole pause.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2+1)
}

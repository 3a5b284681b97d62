package control

import (
	"context"
	"sync"
	"time"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxHoldAgent bounds how long an agent's call is held: a silent agent is
	// noticed by the calls that do not come.
	maxHoldAgent = 2 * time.Second
	// maxHoldEntry bounds how long an entry's call is held.
	maxHoldEntry = 5 * time.Second
	// maxPartsBytes bounds the parts in one reply, under a message's maximum.
	maxPartsBytes = 2 << 20
	// maxHashes bounds what one Parts call may ask for.
	maxHashes = 512
	// maxReports bounds what one Sync call may bear.
	maxReports = 20000
)

// Delegate answers the calls that belong to the callers' API.
type Delegate struct {
	Claim  func(context.Context, *wire.ClaimRequest) (*wire.ClaimReply, error)
	Settle func(context.Context, *wire.SettleRequest) (*wire.SettleReply, error)
}

// Server is the Control service of an entry.
type Server struct {
	exchange   *Exchange
	deployment *Deployment
	delegate   Delegate
	// secure: callers prove who they are.
	secure bool
	// pull asks an entry that knows more; it returns at once.
	pull func(node *wire.Node)

	mu sync.Mutex
	// offers counts the agents that offered a root to an entry without one.
	offers map[string]*agentOffer
}

// NewServer returns the service.
func NewServer(exchange *Exchange, delegate Delegate, secure bool, pull func(*wire.Node)) *Server {
	return &Server{
		exchange:   exchange,
		deployment: exchange.deployment,
		delegate:   delegate,
		secure:     secure,
		pull:       pull,
		offers:     map[string]*agentOffer{},
	}
}

// identify checks that the message's sender is who the certificate says.
func (s *Server) authenticateSender(ctx context.Context, from *wire.Node, roles ...string) error {
	if err := peer.Require(ctx, s.secure, roles...); err != nil {
		return err
	}
	if from.GetId() == "" || from.GetIncarnation() == "" {
		return failure.New(failure.Invalid, "the message does not name its sender", "set from.id and from.incarnation")
	}
	if !s.secure {
		return nil
	}
	caller, _ := peer.CallerOf(ctx)
	if caller.Node() != from.GetId() || caller.Role() != from.GetRole() {
		return failure.New(failure.Unauthorized, "the message names another sender than the certificate",
			"give the process keys whose common name is its id")
	}
	return nil
}

// Sync swaps knowledge with an agent or another entry.
func (s *Server) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	if err := s.authenticateSender(ctx, req.GetFrom(), peer.RoleEntry, peer.RoleAgent); err != nil {
		return nil, err
	}
	if len(req.GetHosts()) > maxReports || len(req.GetEntries()) > maxReports {
		return nil, failure.New(failure.Invalid, "too many reports in one message", "send fewer")
	}
	counters.Add("syncServed", 1)
	countMessage("bytesIn", peerKind(req.GetFrom()), req)
	from, known := s.deployment.members.Describe(req.GetFrom())
	if !known {
		return s.requestDescription(req), nil
	}
	req.From = from
	sess := s.exchange.sessions.forNode(from, s.deployment.clock.Now())
	s.applyRequest(ctx, sess, req)
	if !sess.hasWanted() {
		s.waitForUpdate(ctx, req)
	}
	reply := s.exchange.reply(req, sess)
	countMessage("bytesOut", peerKind(req.GetFrom()), reply)
	return reply, nil
}

// askWho answers a caller that left its description out to a process that does
// not know it (any more): without it the caller's share of the plan is unknown.
func (s *Server) requestDescription(req *wire.SyncRequest) *wire.SyncReply {
	counters.Add("describeWanted", 1)
	return &wire.SyncReply{
		From: &wire.Node{Id: s.deployment.ID()}, Known: s.deployment.Known(), WholeWanted: []string{req.GetFrom().GetId()},
	}
}

func (s *Server) applyRequest(ctx context.Context, sess *session, req *wire.SyncRequest) {
	behind := s.deployment.ObserveKnown(req.GetKnown())
	if isAgent(req.GetFrom()) {
		s.applyAgentRequest(ctx, sess, req)
		return
	}
	sess.resendWhole(req.GetWholeWanted())
	s.exchange.observeHosts(sess, req.GetHosts())
	s.exchange.observeEntries(sess, req.GetEntries())
	if behind {
		s.pull(req.GetFrom())
	}
}

// takeAgent takes an agent's report of its own host only.
func (s *Server) applyAgentRequest(ctx context.Context, sess *session, req *wire.SyncRequest) {
	now := s.deployment.clock.Now()
	s.deployment.members.Touch(req.GetFrom(), now)
	sess.resendWhole(req.GetWholeWanted())
	for _, report := range req.GetHosts() {
		if report.GetNode() == nil { // an amendment of the sender's own
			report.Node = membership.NameOnly(req.GetFrom())
			report.Node.Role = ""
		}
		if report.GetNode().GetId() != req.GetFrom().GetId() {
			continue
		}
		report, ok := s.exchange.completeReport(sess, report)
		if !ok {
			continue
		}
		report.Home = s.exchange.self.GetId()
		report.Lost = false
		report.Revision = req.GetKnown().GetRevision()
		report.PlanRevision = req.GetKnown().GetPlanRevision()
		urgent := s.exchange.newlyLeaving(report)
		s.exchange.requestViewUpdate(s.deployment.members.ObserveHost(report, now), urgent)
		sess.mu.Lock()
		sess.hosts.Received(report, now)
		sess.mu.Unlock()
	}
	s.acceptAgentRoot(ctx, req)
}

// hold waits until there is something newer for the caller, at most as long as
// it asked for.
func (s *Server) waitForUpdate(ctx context.Context, req *wire.SyncRequest) {
	limit := maxHoldEntry
	agent := isAgent(req.GetFrom())
	if agent {
		limit = maxHoldAgent
	}
	wait := min(limit, time.Duration(req.GetWaitMillis())*time.Millisecond)
	if wait <= 0 {
		return
	}
	timer := s.deployment.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		changed, urgent := s.deployment.notifications()
		if agent {
			urgent = nil
		}
		if s.deployment.hasUpdatesFor(req.GetKnown()) {
			return
		}
		select {
		case <-changed:
		case <-urgent:
			return
		case <-timer.Chan():
			return
		case <-ctx.Done():
			return
		}
	}
}

// Parts serves document parts from the cache.
func (s *Server) Parts(ctx context.Context, req *wire.PartsRequest) (*wire.PartsReply, error) {
	if err := s.authenticateSender(ctx, req.GetFrom(), peer.RoleEntry, peer.RoleAgent); err != nil {
		return nil, err
	}
	if len(req.GetHashes()) > maxHashes {
		return nil, failure.New(failure.Invalid, "too many hashes in one message", "ask for fewer at once")
	}
	countMessage("bytesIn", "parts", req)
	reply := &wire.PartsReply{Known: s.deployment.Known(), Parts: make([][]byte, len(req.GetHashes()))}
	size := 0
	for i, hash := range req.GetHashes() {
		content := s.deployment.parts.Get(hash)
		if size += len(content); size > maxPartsBytes {
			break // The caller asks again for those it did not get.
		}
		reply.Parts[i] = content
	}
	countMessage("bytesOut", "parts", reply)
	return reply, nil
}

// Claim passes another entry's claim to the callers' API.
func (s *Server) Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if err := s.authenticateSender(ctx, req.GetFrom(), peer.RoleEntry); err != nil {
		return nil, err
	}
	return s.delegate.Claim(ctx, req)
}

// Settle passes another entry's outcome to the callers' API.
func (s *Server) Settle(ctx context.Context, req *wire.SettleRequest) (*wire.SettleReply, error) {
	if err := s.authenticateSender(ctx, req.GetFrom(), peer.RoleEntry); err != nil {
		return nil, err
	}
	return s.delegate.Settle(ctx, req)
}

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
	// maxHoldAgent limits how long an agent's call is held. It must be short: a
	// silent agent is detected by the absence of its calls.
	maxHoldAgent = 2 * time.Second
	// maxHoldEntry limits how long an entry's call is held.
	maxHoldEntry = 5 * time.Second
	// maxPartsBytes limits the parts in one reply; it is below the maximum message size.
	maxPartsBytes = 2 << 20
	// maxHashes limits the hashes in one Parts call.
	maxHashes = 512
	// maxReports limits the host reports, and the entry reports, in one Sync call.
	maxReports = 20000
)

// Delegate handles the calls that belong to the callers' API.
type Delegate struct {
	Claim  func(context.Context, *wire.ClaimRequest) (*wire.ClaimReply, error)
	Settle func(context.Context, *wire.SettleRequest) (*wire.SettleReply, error)
}

// Server implements the Control service of an entry.
type Server struct {
	exchange   *Exchange
	deployment *Deployment
	delegate   Delegate
	// secure requires callers to authenticate with a certificate.
	secure bool
	// pull starts fetching from an entry that has something newer, without blocking.
	pull func(node *wire.Node)

	mu sync.Mutex
	// offers holds the roots that agents offered while this entry had none, by rootID.
	offers map[string]*agentOffer
}

// NewServer returns a Server.
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

// authenticateSender checks that the message names its sender and, if secure, that
// the sender matches the certificate and has one of the roles.
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
		return failure.New(failure.Unauthorized, "the sender named in the message does not match the certificate",
			"give the process keys whose common name is its id")
	}
	return nil
}

// Sync exchanges state with an agent or another entry. It holds the call until
// there is something newer for the caller, as long as the caller allows.
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

// requestDescription replies to a caller that omitted its description although
// this process does not have it, or no longer has it. Without the description,
// the caller's part of the plan cannot be determined.
func (s *Server) requestDescription(req *wire.SyncRequest) *wire.SyncReply {
	counters.Add("describeWanted", 1)
	return &wire.SyncReply{
		From: &wire.Node{Id: s.deployment.ID()}, Known: s.deployment.Known(), WholeWanted: []string{req.GetFrom().GetId()},
	}
}

// applyRequest applies the state carried by a Sync request.
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

// applyAgentRequest applies an agent's request. Reports on hosts other than the
// agent's own are ignored.
func (s *Server) applyAgentRequest(ctx context.Context, sess *session, req *wire.SyncRequest) {
	now := s.deployment.clock.Now()
	s.deployment.members.Touch(req.GetFrom(), now)
	sess.resendWhole(req.GetWholeWanted())
	for _, report := range req.GetHosts() {
		if report.GetNode() == nil { // a partial report on the sender itself
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

// waitForUpdate waits until there is something newer for the caller, at most as
// long as the caller asked for.
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

// Parts returns document parts from the cache, up to maxPartsBytes.
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
			break // The caller requests the remaining parts in another call.
		}
		reply.Parts[i] = content
	}
	countMessage("bytesOut", "parts", reply)
	return reply, nil
}

// Claim forwards another entry's claim to the callers' API.
func (s *Server) Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if err := s.authenticateSender(ctx, req.GetFrom(), peer.RoleEntry); err != nil {
		return nil, err
	}
	return s.delegate.Claim(ctx, req)
}

// Settle forwards the outcome reported by another entry to the callers' API.
func (s *Server) Settle(ctx context.Context, req *wire.SettleRequest) (*wire.SettleReply, error) {
	if err := s.authenticateSender(ctx, req.GetFrom(), peer.RoleEntry); err != nil {
		return nil, err
	}
	return s.delegate.Settle(ctx, req)
}

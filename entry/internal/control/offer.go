package control

import (
	"context"
	"time"

	"comfreyrelay.example/relay/wire"
)

const (
	// singleOfferWait is how long an entry waits for a second agent to offer the
	// same root before it accepts the root from a single agent.
	singleOfferWait = 5 * time.Second
	// maxOffers limits the number of different roots, and of agents per root, that
	// are remembered.
	maxOffers = 16
)

// agentOffer records which agents offered a root and since when.
type agentOffer struct {
	agents map[string]bool
	since  time.Time
}

// acceptAgentRoot lets an entry that started during an outage of the service learn
// the document from agents. An agent's root is considered only while this entry
// has none, so that a faulty agent cannot replace the document in force.
func (s *Server) acceptAgentRoot(ctx context.Context, req *wire.SyncRequest) {
	root := req.GetRoot()
	if root == nil || s.deployment.Root() != nil || len(req.GetParts()) != len(root.GetParts()) {
		return
	}
	if !s.isCorroborated(rootID(root), req.GetFrom().GetId()) {
		return
	}
	source := "agent " + req.GetFrom().GetId()
	err := s.deployment.OfferRoot(ctx, root, source, func(_ context.Context, hashes []string) ([][]byte, error) {
		return selectParts(root, req.GetParts(), hashes), nil
	})
	if err != nil {
		s.deployment.log.Warn("cannot assemble document from agent", "source", source, "error", err)
	}
}

// isCorroborated records the agent's offer and reports whether the root may be
// accepted: two agents offered it, or it has been the only root on offer for
// singleOfferWait.
func (s *Server) isCorroborated(id, agent string) bool {
	now := s.deployment.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	offer := s.offers[id]
	if offer == nil {
		if len(s.offers) >= maxOffers {
			return false
		}
		offer = &agentOffer{agents: map[string]bool{}, since: now}
		s.offers[id] = offer
	}
	if len(offer.agents) < maxOffers {
		offer.agents[agent] = true
	}
	return len(offer.agents) >= 2 || (len(s.offers) == 1 && now.Sub(offer.since) >= singleOfferWait)
}

// selectParts returns the contents for the hashes, in order. parts holds the contents
// of the root's parts in the root's order.
func selectParts(root *wire.Root, parts [][]byte, hashes []string) [][]byte {
	byHash := map[string][]byte{}
	for i, part := range root.GetParts() {
		byHash[part.GetHash()] = parts[i]
	}
	contents := make([][]byte, len(hashes))
	for i, hash := range hashes {
		contents[i] = byHash[hash]
	}
	return contents
}

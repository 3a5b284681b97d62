package control

import (
	"context"
	"time"

	"comfreyrelay.example/relay/wire"
)

const (
	// offerPatience is how long an entry waits for a second agent to offer the
	// same root before it believes a single one.
	singleOfferWait = 5 * time.Second
	// maxOffers bounds the different roots remembered.
	maxOffers = 16
)

// agentOffer is one root that agents offered.
type agentOffer struct {
	agents map[string]bool
	since  time.Time
}

// takeOffer lets an entry that was started in an outage learn the document from
// agents. An agent's report of the document counts only while this entry has
// none: one bad agent must not be able to put a document of its own in force.
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
		s.deployment.log.Warn("document of an agent not assembled", "source", source, "error", err)
	}
}

// believes reports whether enough agents offered the root, or one did for long.
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

// pick returns the contents of the hashes from parts in the root's order.
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

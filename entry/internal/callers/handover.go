package callers

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/once"
	"comfreyrelay.example/relay/wire"
)

// handOverTimeout limits the handover of once keys at the end of a drain.
const handOverTimeout = 2 * time.Second

// ownerAddresses returns the control addresses of the processes that may be
// responsible for an owner's keys: the owner, then its likely successors in
// order. It returns at most maxHops addresses.
func (x *index) ownerAddresses(owner string) []string {
	var list []string
	if node := x.byIncarnation[owner]; node != nil {
		list = append(list, node.GetControlAddress())
	}
	for _, node := range successors(owner, x.live) {
		if node.GetIncarnation() != owner {
			list = append(list, node.GetControlAddress())
		}
	}
	return list[:min(len(list), maxHops)]
}

// successors orders entries by rendezvous hash for an owner, so that all
// processes that know the same entries look for the owner's keys in the same
// order.
func successors(owner string, nodes []*wire.Node) []*wire.Node {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b *wire.Node) int {
		return cmp.Compare(rendezvousHash(owner, b), rendezvousHash(owner, a))
	})
	return ordered
}

// rendezvousHash returns the rank of a node as successor of the owner; the highest
// comes first.
func rendezvousHash(owner string, node *wire.Node) uint64 {
	return xxhash.Sum64String(owner + "\x00" + node.GetIncarnation())
}

// handOverKeys sends the records of the once keys to other entries, those of each
// owner to its first successor that accepts requests. Without it, every key of
// the last hour would be answered as unknown after a restart.
func (s *Server) handOverKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	idx := s.index()
	for _, owner := range s.keys.Owners() {
		successor := s.successorFor(idx, owner)
		if successor == nil {
			continue // no other entry is left
		}
		parts := s.keys.HandOver(s.now(), owner, successor.GetControlAddress())
		err := s.sendParts(ctx, successor, parts)
		s.cfg.Log.Info("handover of once keys ended", "owner", owner, "to", successor.GetId(), "parts", len(parts), "error", err)
	}
}

// successorFor returns the entry that receives the owner's keys; nil if there is
// none.
func (s *Server) successorFor(idx *index, owner string) *wire.Node {
	for _, node := range successors(owner, idx.live) {
		if node.GetIncarnation() != s.cfg.Self.GetIncarnation() && idx.acceptsCallers(node) {
			return node
		}
	}
	return nil
}

// acceptsCallers reports whether callers may be directed to the entry.
func (x *index) acceptsCallers(node *wire.Node) bool {
	for _, entry := range x.entries {
		if entry.Incarnation == node.GetIncarnation() {
			return true
		}
	}
	return false
}

// sendParts sends the parts of a handover and stops at the first error.
func (s *Server) sendParts(ctx context.Context, successor *wire.Node, parts []once.Part) error {
	for _, part := range parts {
		err := s.sendSettle(ctx, successor.GetControlAddress(), &wire.SettleRequest{
			From: s.cfg.Self,
			Handover: &wire.Handover{
				Owner:       part.Owner,
				To:          successor.GetIncarnation(),
				Part:        uint32(part.Number),
				Parts:       uint32(part.Count),
				FloorMillis: part.Floor.UnixMilli() + 1, // rounded up, so that it is never below the floor
				Records:     part.Records,
			},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// acceptHandover stores one part of another entry's once keys.
func (s *Server) acceptHandover(part *wire.Handover) error {
	if part.GetTo() != s.cfg.Self.GetIncarnation() {
		return failure.New(failure.Stale, "the handover is addressed to another process", "send it to the process that it names")
	}
	if !s.tracker.accepting() {
		return failure.New(failure.Leaving, "this entry is shutting down too", "requests with the handed-over keys are answered as unknown")
	}
	err := s.keys.Inherit(s.now(), once.Part{
		Owner:   part.GetOwner(),
		Number:  int(part.GetPart()),
		Count:   int(part.GetParts()),
		Floor:   time.UnixMilli(part.GetFloorMillis()),
		Records: part.GetRecords(),
	})
	if err == nil && part.GetPart()+1 == part.GetParts() {
		counters.Add("inherited", 1)
	}
	return err
}

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

// handOverTimeout bounds the handover at the end of a drain.
const handOverTimeout = 2 * time.Second

// authorities returns the control addresses of the processes that may answer
// for an owner's keys: the owner, then its likely successors.
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

// successors orders entries by rendezvous hash for an owner: all who know the
// same entries look for its keys in the same places.
func successors(owner string, nodes []*wire.Node) []*wire.Node {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b *wire.Node) int {
		return cmp.Compare(rendezvousHash(owner, b), rendezvousHash(owner, a))
	})
	return ordered
}

func rendezvousHash(owner string, node *wire.Node) uint64 {
	return xxhash.Sum64String(owner + "\x00" + node.GetIncarnation())
}

// handOver passes the memory of the once keys on, each owner's to its first
// successor that takes new requests. Without it every key of the last hour
// would be answered as unknown after a restart.
func (s *Server) handOverKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	idx := s.index()
	for _, owner := range s.keys.Owners() {
		successor := s.successorFor(idx, owner)
		if successor == nil {
			continue // the last entry: there is nobody to pass them to
		}
		parts := s.keys.HandOver(s.now(), owner, successor.GetControlAddress())
		err := s.sendParts(ctx, successor, parts)
		s.cfg.Log.Info("once keys passed on", "owner", owner, "to", successor.GetId(), "parts", len(parts), "error", err)
	}
}

func (s *Server) successorFor(idx *index, owner string) *wire.Node {
	for _, node := range successors(owner, idx.live) {
		if node.GetIncarnation() != s.cfg.Self.GetIncarnation() && idx.acceptsCallers(node) {
			return node
		}
	}
	return nil
}

func (x *index) acceptsCallers(node *wire.Node) bool {
	for _, entry := range x.entries {
		if entry.Incarnation == node.GetIncarnation() {
			return true
		}
	}
	return false
}

func (s *Server) sendParts(ctx context.Context, successor *wire.Node, parts []once.Part) error {
	for _, part := range parts {
		err := s.sendSettle(ctx, successor.GetControlAddress(), &wire.SettleRequest{
			From: s.cfg.Self,
			Handover: &wire.Handover{
				Owner:       part.Owner,
				To:          successor.GetIncarnation(),
				Part:        uint32(part.Number),
				Parts:       uint32(part.Count),
				FloorMillis: part.Floor.UnixMilli() + 1, // rounded up: never lower than the floor
				Records:     part.Records,
			},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// inherit takes a part of another entry's keys.
func (s *Server) acceptHandover(part *wire.Handover) error {
	if part.GetTo() != s.cfg.Self.GetIncarnation() {
		return failure.New(failure.Stale, "the handover is meant for another process", "send it to the one it names")
	}
	if !s.tracker.accepting() {
		return failure.New(failure.Leaving, "this entry is shutting down too", "its keys are answered as unknown")
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

package cmd

import (
	"context"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/agent/internal/link"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

// host implements the wire.Host service: entries send it requests, and agents
// fetch chunks from it.
type host struct{ process *process }

// Run executes one attempt. Its bytes are charged to the host's link, so that
// weight transfers use only the bandwidth that requests leave.
func (h *host) Run(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
	lnk := h.process.Weights.Link()
	lnk.Reserve(link.Down, proto.Size(att))
	return h.process.Gate.Run(att, chargedStream{DRPCHost_RunStream: stream, link: lnk})
}

// chargedStream charges the frames that it sends to the host's link.
type chargedStream struct {
	wire.DRPCHost_RunStream

	link *link.Link
}

// Send sends a frame immediately, without waiting for transfers.
func (s chargedStream) Send(frame *wire.Frame) error {
	s.link.Reserve(link.Up, proto.Size(frame))
	return s.DRPCHost_RunStream.Send(frame)
}

// Cancel stops an attempt, or records a tombstone for one that hasn't arrived.
func (h *host) Cancel(ctx context.Context, req *wire.CancelRequest) (*wire.CancelReply, error) {
	return h.process.Gate.Cancel(ctx, req)
}

// Chunk sends one chunk of weights to another agent.
func (h *host) Chunk(req *wire.ChunkRequest, stream wire.DRPCHost_ChunkStream) error {
	if err := peer.Require(stream.Context(), h.process.Keys != nil, peer.RoleAgent); err != nil {
		return err
	}
	return h.process.Weights.Chunk(req, stream)
}

// Have exchanges with another agent which chunks each of them holds.
func (h *host) Have(ctx context.Context, req *wire.HaveRequest) (*wire.HaveReply, error) {
	if err := peer.Require(ctx, h.process.Keys != nil, peer.RoleAgent); err != nil {
		return nil, err
	}
	return h.process.Weights.Have(ctx, req)
}

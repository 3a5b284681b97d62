package onsite

import (
	"context"

	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// chunkServer implements the wire.Host service: it serves chunks to other agents. On a
// platform, entries send requests directly to engines, so its request methods return an
// error.
type chunkServer struct{ mgr *weights.Manager }

func (s *chunkServer) Chunk(req *wire.ChunkRequest, stream wire.DRPCHost_ChunkStream) error {
	return s.mgr.Chunk(req, stream)
}

func (s *chunkServer) Have(ctx context.Context, req *wire.HaveRequest) (*wire.HaveReply, error) {
	return s.mgr.Have(ctx, req)
}

func (s *chunkServer) Run(*wire.Attempt, wire.DRPCHost_RunStream) error { return errNoRequests }

func (s *chunkServer) Cancel(context.Context, *wire.CancelRequest) (*wire.CancelReply, error) {
	return nil, errNoRequests
}

var errNoRequests = failure.New(failure.Invalid, "this agent does not accept requests", "send them to the engine")

package weights

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcctx"

	"comfreyrelay.example/agent/internal/link"
	"comfreyrelay.example/relay/burst"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// sendStallTimeout is the time without progress after which an upload's connection is
// closed. A receiver that stalls without closing it would occupy a slot for ever.
const sendStallTimeout = 10 * time.Second

// Chunk sends one chunk, or the manifest, to a peer at the rate of the uplink. It
// implements wire.Host.
func (m *Manager) Chunk(req *wire.ChunkRequest, stream wire.DRPCHost_ChunkStream) error {
	ctx := stream.Context()
	if err := verifyCaller(ctx, req.GetFrom()); err != nil {
		return err
	}
	trans := m.transfer(req.GetVersion())
	if trans == nil {
		return stream.Send(&wire.ChunkData{})
	}
	if req.GetIndex() == manifestIndex {
		return m.send(stream, &wire.ChunkData{}, trans.awaitManifest(ctx))
	}
	trans.handleRequestReport(req)
	hash, ok := trans.heldHash(req.GetIndex())
	if !ok {
		return stream.Send(&wire.ChunkData{})
	}
	retryAfter, err := m.uploads.acquire(ctx, trans.uploadRank(req.GetFrom().GetId()))
	if err != nil {
		return err
	}
	if retryAfter > 0 {
		reply := trans.newReply()
		reply.RetryAfterMillis = uint32(max(1, retryAfter.Milliseconds()))
		return stream.Send(reply)
	}
	startedAt := m.cfg.Clock.Now()
	defer func() { m.uploads.release(m.cfg.Clock.Since(startedAt)) }()
	return m.sendChunk(ctx, stream, trans, hash)
}

// handleRequestReport passes the report in a peer's request to the core.
func (t *transfer) handleRequestReport(req *wire.ChunkRequest) {
	if len(req.GetChunks()) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.core == nil {
		return
	}
	t.core.Observe(t.now(), peerOf(req.GetFrom()), burst.Report{
		Held: req.GetChunks(), OriginFetched: req.GetDrawn(), Queue: int(req.GetUploadQueue()),
	})
}

// newReply returns the first message of an answer, with this host's report.
func (t *transfer) newReply() *wire.ChunkData {
	report := t.report()
	return &wire.ChunkData{Chunks: report.Held, Drawn: report.OriginFetched, UploadQueue: uint32(report.Queue)}
}

// sendChunk sends a stored chunk, or an empty answer if it cannot be read. A corrupt
// or missing chunk is marked as lost.
func (m *Manager) sendChunk(ctx context.Context, stream wire.DRPCHost_ChunkStream, trans *transfer, hash chunkHash) error {
	size := int64(trans.manifest().GetChunkBytes())
	if err := m.window.Acquire(ctx, size); err != nil {
		return err
	}
	defer m.window.Release(size)
	data, err := m.store.get(ctx, hash)
	if err == nil {
		return m.send(stream, trans.newReply(), data)
	}
	if ctx.Err() != nil {
		return err
	}
	m.cfg.Log.Warn("reading a stored chunk failed", "version", trans.version, "error", err)
	if kind := failure.KindOf(err); kind == failure.Corrupt || kind == failure.NotFound {
		m.markLostInAll(hash)
	}
	return stream.Send(&wire.ChunkData{})
}

// send streams data in small pieces at the rate of the uplink. Empty data tells the
// peer that this host does not have it.
func (m *Manager) send(stream wire.DRPCHost_ChunkStream, piece *wire.ChunkData, data []byte) error {
	piece.Size = uint32(len(data))
	if len(data) == 0 {
		return stream.Send(piece)
	}
	for len(data) > 0 {
		count := min(len(data), link.PieceBytes)
		piece.Data = data[:count]
		if err := m.link.Wait(stream.Context(), link.Up, count); err != nil {
			return err
		}
		if err := m.sendPiece(stream, piece); err != nil {
			return err
		}
		m.sentBytes.Add(uint64(count))
		data = data[count:]
		piece = &wire.ChunkData{}
	}
	return nil
}

// sendPiece sends one message and closes the connection if that takes longer than
// sendStallTimeout.
func (m *Manager) sendPiece(stream wire.DRPCHost_ChunkStream, piece *wire.ChunkData) error {
	transport, ok := drpcctx.Transport(stream.Context())
	if conn, isConn := transport.(net.Conn); ok && isConn {
		watchdog := m.cfg.Clock.AfterFunc(sendStallTimeout, func() { _ = conn.Close() })
		defer watchdog.Stop()
	}
	return stream.Send(piece)
}

// heldHash returns the hash of the chunk at an index; false if the host does not
// hold it.
func (t *transfer) heldHash(index uint32) (chunkHash, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.core == nil || uint64(index) >= uint64(len(t.man.GetChunkHashes())) || !t.core.Holds(int(index)) {
		return chunkHash{}, false
	}
	return chunkHash(t.man.GetChunkHashes()[index]), true
}

// uploadRank returns the rank of a peer's request in the upload queue.
func (t *transfer) uploadRank(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.UploadPriority(id)
}

// MarkChunkLost records that the host no longer has a chunk because its store has overwritten
// it with another one.
func (m *Manager) MarkChunkLost(hash []byte) {
	m.store.forget(chunkHash(hash))
	m.markLostInAll(chunkHash(hash))
}

// markLostInAll marks the chunk as lost in every version that contains it.
func (m *Manager) markLostInAll(hash chunkHash) {
	for _, trans := range m.allTransfers() {
		trans.markLost(hash)
	}
	m.notifyChange()
}

// markLost marks a chunk as lost at each index where the version contains it.
func (t *transfer) markLost(hash chunkHash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, chunk := range t.chunks[hash] {
		t.core.Lose(chunk)
	}
}

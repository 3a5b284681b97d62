package weights

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"comfreyrelay.example/agent/internal/link"
	"comfreyrelay.example/relay/burst"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/wire"
)

// fetchError is a failed fetch with the cause that is reported to burst.Core.
type fetchError struct {
	cause      burst.Cause
	retryAfter time.Duration
	err        error
}

func (e *fetchError) Error() string { return e.err.Error() }
func (e *fetchError) Unwrap() error { return e.err }

// sourceError wraps a failed connection or an error answered by a source.
func sourceError(err error) *fetchError { return &fetchError{cause: burst.Broken, err: err} }

// fetchChunk fetches one chunk into the host's store and reports the result to the
// core.
func (t *transfer) fetchChunk(ctx context.Context, cancel context.CancelFunc, key fetchKey) {
	defer cancel()
	err := t.fetchAndKeep(ctx, key)
	if ctx.Err() != nil {
		// The core cancelled the fetch, or the transfer was stopped.
		return
	}
	hash := chunkHash(t.man.GetChunkHashes()[key.chunk])
	t.mu.Lock()
	delete(t.fetches, key)
	if err != nil {
		t.core.Failed(t.now(), key.chunk, key.source, err.cause, err.retryAfter)
		t.recordProblem(key, err)
	} else {
		t.core.Arrived(t.now(), key.chunk, key.source)
		t.lastProgress, t.problem = t.now(), ""
	}
	t.mu.Unlock()
	if err == nil {
		t.mgr.markHeldInAll(hash)
		t.mgr.notifyChange()
	}
	signal(t.wake)
}

// markHeldInAll marks the chunk as held in every version that contains it.
func (m *Manager) markHeldInAll(hash chunkHash) {
	for _, trans := range m.allTransfers() {
		trans.markHeld(hash)
	}
}

// recordProblem records a failed fetch for State.StallReason, unless a peer was merely
// busy. t.mu must be held.
func (t *transfer) recordProblem(key fetchKey, err *fetchError) {
	from := "host " + key.source
	if key.source == burst.Origin {
		from = "the origin"
	}
	if err.cause == burst.Busy && key.source != burst.Origin {
		return
	}
	t.problem = "fetching a chunk from " + from + " failed: " + err.Error()
	t.mgr.cfg.Log.Debug("fetching a chunk failed", "version", t.version, "chunk", key.chunk, "from", from, "error", err)
}

// fetchAndKeep fetches one chunk and stores it if its bytes match its hash.
//
// Rule VERIFY of spec/gate.pml.
func (t *transfer) fetchAndKeep(ctx context.Context, key fetchKey) *fetchError {
	size := int64(t.man.GetChunkBytes())
	if err := t.mgr.window.Acquire(ctx, size); err != nil {
		return sourceError(err)
	}
	defer t.mgr.window.Release(size)
	data, err := t.download(ctx, key)
	if err != nil {
		return err
	}
	hash := chunkHash(t.man.GetChunkHashes()[key.chunk])
	if !t.mgr.cfg.Source.Verify(data, hash[:]) {
		return &fetchError{cause: burst.Corrupt, err: failure.New(failure.Corrupt,
			"the bytes do not match the chunk's hash", "it is fetched from another source")}
	}
	if err := t.mgr.store.put(ctx, hash, data); err != nil {
		// Without a pause, a store that refuses the chunk would make the fleet send
		// it over and over.
		_ = t.mgr.sleep(ctx, storeRetryDelay)
		return &fetchError{cause: burst.StoreRejected, err: err}
	}
	return nil
}

// download receives one chunk from the origin or a peer and counts its bytes.
func (t *transfer) download(ctx context.Context, key fetchKey) ([]byte, *fetchError) {
	size := manifest.ChunkSize(t.man, key.chunk)
	if key.source == burst.Origin {
		data, err := t.chunkFromOrigin(ctx, key.chunk, size)
		t.mgr.originBytes.Add(uint64(len(data)))
		return data, err
	}
	data, err := t.chunkFromPeer(ctx, key.source, key.chunk, size)
	t.mgr.peerBytes.Add(uint64(len(data)))
	return data, err
}

// chunkFromOrigin requests one chunk from Config.Source or the HTTP origin.
func (t *transfer) chunkFromOrigin(ctx context.Context, chunk, size int) ([]byte, *fetchError) {
	fetchChunk := t.mgr.cfg.Source.Chunk
	if fetchChunk == nil {
		return t.mgr.downloadFromOrigin(ctx, "/chunks/"+hex.EncodeToString(t.man.GetChunkHashes()[chunk]), size)
	}
	data, err := fetchChunk(ctx, t.version, chunk, size)
	if failure.KindOf(err) == failure.Exhausted && err != nil {
		return nil, &fetchError{cause: burst.Busy, err: err}
	}
	if err != nil {
		return nil, sourceError(err)
	}
	if err := t.mgr.link.Wait(ctx, link.Down, len(data)); err != nil {
		return nil, sourceError(err)
	}
	return data, nil
}

// chunkFromPeer requests one chunk from a peer. Request and answer also carry the
// hosts' reports of their chunks.
func (t *transfer) chunkFromPeer(ctx context.Context, id string, index, size int) ([]byte, *fetchError) {
	report := t.report()
	req := &wire.ChunkRequest{
		From: t.mgr.cfg.Self, Version: t.version, Index: uint32(index),
		Chunks: report.Held, Drawn: report.OriginFetched, UploadQueue: uint32(report.Queue),
	}
	return t.mgr.requestFromPeer(ctx, id, req, size, func(first *wire.ChunkData) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.core.ReportReceived(t.now(), id, burst.Report{
			Held: first.GetChunks(), OriginFetched: first.GetDrawn(), Queue: int(first.GetUploadQueue()),
		})
	})
}

// requestFromPeer requests one chunk or the manifest from a peer and passes the first
// message of the answer to onFirst.
func (m *Manager) requestFromPeer(ctx context.Context, id string, req *wire.ChunkRequest, limit int,
	onFirst func(first *wire.ChunkData)) ([]byte, *fetchError) {
	client, err := m.client(ctx, id)
	if err != nil {
		return nil, sourceError(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Chunk(ctx, req)
	if err != nil {
		return nil, sourceError(err)
	}
	defer func() { _ = stream.Close() }()
	first, err := stream.Recv()
	if err != nil {
		return nil, sourceError(err)
	}
	onFirst(first)
	if refusal := peerRefusal(first, limit); refusal != nil {
		return nil, refusal
	}
	return m.readPieces(ctx, stream, first, int(first.GetSize()))
}

// peerRefusal returns why a peer's first message starts no chunk; nil if it does.
func peerRefusal(first *wire.ChunkData, limit int) *fetchError {
	switch size := int(first.GetSize()); {
	case first.GetRetryAfterMillis() > 0:
		wait := time.Duration(first.GetRetryAfterMillis()) * time.Millisecond
		return &fetchError{cause: burst.Busy, retryAfter: wait, err: errors.New("the host is busy")}
	case size == 0:
		return &fetchError{cause: burst.NotHeld, err: errors.New("the host does not have the chunk")}
	case size > limit:
		return &fetchError{cause: burst.Corrupt, err: errors.New("the chunk is larger than the manifest says")}
	}
	return nil
}

// readPieces receives a chunk's bytes at the rate of the downlink.
func (m *Manager) readPieces(ctx context.Context, stream wire.DRPCHost_ChunkClient, piece *wire.ChunkData, size int) ([]byte, *fetchError) {
	data := make([]byte, 0, size)
	for {
		if len(data)+len(piece.GetData()) > size {
			return data, &fetchError{cause: burst.Corrupt, err: errors.New("the chunk is larger than announced")}
		}
		data = append(data, piece.GetData()...)
		if err := m.link.Wait(ctx, link.Down, len(piece.GetData())); err != nil {
			return data, sourceError(err)
		}
		if len(data) == size {
			return data, nil
		}
		next, err := stream.Recv()
		if err != nil {
			return data, sourceError(err)
		}
		piece = next
	}
}

// downloadFromOrigin downloads one object from the HTTP origin at the rate of the
// downlink.
func (m *Manager) downloadFromOrigin(ctx context.Context, path string, limit int) ([]byte, *fetchError) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.cfg.OriginURL+path, nil)
	if err != nil {
		return nil, sourceError(err)
	}
	resp, err := m.http.Do(req)
	if err != nil {
		return nil, sourceError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, originRefusal(resp)
	}
	return m.readBody(ctx, resp.Body, limit)
}

// maxRetryAfter bounds the pause that the origin can request by Retry-After.
const maxRetryAfter = time.Minute

// originRefusal converts a response other than 200 OK to an error; 429 means busy.
func originRefusal(resp *http.Response) *fetchError {
	err := &fetchError{cause: burst.Broken, err: failure.New(failure.Unavailable,
		"the origin answered "+resp.Status, "check the origin and that it holds the version")}
	if resp.StatusCode == http.StatusTooManyRequests {
		err.cause = burst.Busy
		seconds, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if parseErr == nil && seconds > 0 {
			err.retryAfter = min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
		}
	}
	return err
}

// readBody reads at most limit bytes of a body at the rate of the downlink.
func (m *Manager) readBody(ctx context.Context, body io.Reader, limit int) ([]byte, *fetchError) {
	data := make([]byte, 0, limit)
	for {
		buf := data[len(data):min(cap(data), len(data)+link.PieceBytes)]
		if len(buf) == 0 {
			return data, nil
		}
		n, err := body.Read(buf)
		data = data[:len(data)+n]
		if waitErr := m.link.Wait(ctx, link.Down, n); waitErr != nil {
			return data, sourceError(waitErr)
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, sourceError(err)
		}
	}
}

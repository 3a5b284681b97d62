package onsite

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync"
	"sync/atomic"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/wire"
)

// digest is the SHA-256 of a chunk.
type digest [sha256.Size]byte

// stage manages the engine's staging area, from which the engine loads weights. The area
// addresses chunks by index and holds one version at a time; stage tracks which chunk is
// at which index. Chunks of the next version are kept in this process's memory until they
// can be staged. Otherwise the hosts that load last would start to fetch that version, and
// to download their share of it from the origin, seconds after the other hosts, which wait
// for that share.
type stage struct {
	engine *platform.Engine
	// verifier reads chunks back on connections of its own.
	verifier *platform.Engine
	guidance *guidanceStore
	memory   *memoryStore
	// manifest returns the manifest of the version being fetched; nil while unknown.
	manifest func() *wire.Manifest
	// onLost is called with the hash of a chunk that this host no longer has because
	// another chunk overwrote it. It may be nil.
	onLost func(hash []byte)
	writes atomic.Uint64 // chunks written to the staging area

	mu              sync.Mutex
	indexesByDigest map[digest][]int // indexes at which a chunk is staged, as far as known
	digestByIndex   map[int]digest   // the inverse of indexesByDigest
}

func newStage(engine *platform.Engine, guidance *guidanceStore, memoryCapacity int) *stage {
	return &stage{engine: engine, verifier: engine, guidance: guidance, memory: newMemoryStore(memoryCapacity), indexesByDigest: map[digest][]int{}, digestByIndex: map[int]digest{}}
}

// fits reports whether a version of this size fits into memory.
func (s *stage) fits(bytes int) bool { return s.memory.fits(bytes) }

// put stages a chunk at each of its indexes in the version being fetched. A chunk that is
// not part of that version is kept in memory.
func (s *stage) put(ctx context.Context, hash, data []byte) error {
	want, ok := s.guidance.newestWanted()
	if !ok {
		return failure.New(failure.Unavailable, "no entry has announced any wanted weights yet", "wait until an entry connects")
	}
	staged := false
	for i, other := range s.manifest().GetChunkHashes() {
		if !slices.Equal(other, hash) {
			continue
		}
		if err := s.stageAt(ctx, want.model, i, digest(hash), data); err != nil {
			return err
		}
		staged = true
	}
	if staged {
		return nil
	}
	return s.memory.addPending(digest(hash), data)
}

// write writes a chunk to an index of the staging area.
func (s *stage) write(ctx context.Context, model string, index int, data []byte) error {
	s.writes.Add(1)
	return s.engine.Stage(ctx, model, index, data)
}

// writeCount returns how many chunks were written to the staging area so far.
func (s *stage) writeCount() uint64 { return s.writes.Load() }

// stageAt stages a chunk at an index and records it.
func (s *stage) stageAt(ctx context.Context, model string, index int, sum digest, data []byte) error {
	if err := s.write(ctx, model, index, data); err != nil {
		return err
	}
	s.memory.markStaged(sum, data)
	s.recordStaged(index, sum)
	return nil
}

// flush stages those chunks of the version being fetched that are in memory but not staged
// yet, so that reading them back afterwards reads the staging area.
func (s *stage) flush(ctx context.Context) error {
	want, ok := s.guidance.newestWanted()
	if !ok {
		return nil
	}
	for i, hash := range s.manifest().GetChunkHashes() {
		if s.isStagedAt(i, digest(hash)) {
			continue
		}
		data, ok := s.memory.get(digest(hash))
		if !ok {
			continue
		}
		if err := s.stageAt(ctx, want.model, i, digest(hash), data); err != nil {
			return err
		}
	}
	return nil
}

// isStagedAt reports whether the chunk was recorded at the index.
func (s *stage) isStagedAt(index int, sum digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.digestByIndex[index]
	return ok && at == sum
}

// recordStaged records which chunk is staged at an index. It reports the chunk that was
// overwritten there as lost if this host has no other copy: a host that goes back to an
// earlier version must know which of its chunks are left.
func (s *stage) recordStaged(index int, sum digest) {
	s.mu.Lock()
	old, ok := s.digestByIndex[index]
	lost := false
	if ok && old != sum {
		s.indexesByDigest[old] = slices.DeleteFunc(s.indexesByDigest[old], func(i int) bool { return i == index })
		if lost = len(s.indexesByDigest[old]) == 0; lost {
			delete(s.indexesByDigest, old)
		}
	}
	if !ok || old != sum {
		s.digestByIndex[index] = sum
		s.indexesByDigest[sum] = append(s.indexesByDigest[sum], index)
	}
	s.mu.Unlock()
	if !lost || s.onLost == nil {
		return
	}
	if _, kept := s.memory.get(old); !kept {
		s.onLost(old[:])
	}
}

// indexesOf returns the indexes at which a chunk is staged.
func (s *stage) indexesOf(sum digest) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.indexesByDigest[sum])
}

// errNotStaged is returned for a chunk that is not in the staging area.
var errNotStaged = failure.New(failure.NotFound, "the chunk is not staged", "it is fetched again")

// get returns a chunk for a peer, from memory or else from the staging area.
func (s *stage) get(ctx context.Context, hash []byte) ([]byte, error) {
	if data, ok := s.memory.get(digest(hash)); ok {
		return data, nil
	}
	return s.read(ctx, s.engine, hash)
}

// beginVerification makes the following calls of readBack use new connections: on a used one, an answer
// to an earlier read of a chunk may be left over.
func (s *stage) beginVerification() { s.verifier.CloseIdleConnections() }

// readBack returns a chunk as it is in the staging area now, which is what the engine
// would load.
func (s *stage) readBack(ctx context.Context, hash []byte) ([]byte, error) {
	return s.read(ctx, s.verifier, hash)
}

// read returns a chunk from the engine's staging area. A corrupted chunk is staged again if memory
// has a copy of it. If the chunk is staged at several indexes, a corrupted one is returned in
// preference to an intact one.
func (s *stage) read(ctx context.Context, engine *platform.Engine, hash []byte) ([]byte, error) {
	want, ok := s.guidance.newestWanted()
	indexes := s.indexesOf(digest(hash))
	if !ok || len(indexes) == 0 {
		return nil, errNotStaged
	}
	var data []byte
	for _, index := range indexes {
		staged, err := s.readOrRepair(ctx, engine, want.model, index, digest(hash))
		if err != nil {
			return nil, err
		}
		if data == nil || sha256.Sum256(staged) != digest(hash) {
			data = staged
		}
	}
	return data, nil
}

// readOrRepair returns what is staged at an index. If that is not the expected chunk and
// memory has a copy of it, the copy is staged and read back first.
func (s *stage) readOrRepair(ctx context.Context, engine *platform.Engine, model string, index int, sum digest) ([]byte, error) {
	staged, err := engine.StagedChunk(ctx, model, index, manifest.MaxChunkBytes)
	if err != nil && failure.KindOf(err) != failure.NotFound {
		return nil, err
	}
	if err == nil && sha256.Sum256(staged) == sum {
		return staged, nil
	}
	backup, ok := s.memory.get(sum)
	if !ok {
		return staged, err
	}
	if err := s.write(ctx, model, index, backup); err != nil {
		return nil, err
	}
	return engine.StagedChunk(ctx, model, index, manifest.MaxChunkBytes)
}

// drop forgets a chunk. Its staged bytes stay until another chunk overwrites them.
func (s *stage) drop(_ context.Context, hash []byte) error {
	s.mu.Lock()
	for _, index := range s.indexesByDigest[digest(hash)] {
		delete(s.digestByIndex, index)
	}
	delete(s.indexesByDigest, digest(hash))
	s.mu.Unlock()
	s.memory.drop(digest(hash))
	return nil
}

// scan reads all chunks in the staging area, records them and returns their hashes.
func (s *stage) scan(ctx context.Context) ([][]byte, error) {
	want, err := s.guidance.awaitWanted(ctx)
	if err != nil {
		return nil, err
	}
	indexes, err := s.engine.Staged(ctx, want.model)
	if err != nil {
		return nil, err
	}
	var found [][]byte
	for _, i := range indexes {
		data, err := s.engine.StagedChunk(ctx, want.model, i, manifest.MaxChunkBytes)
		if err != nil {
			continue
		}
		sum := digest(sha256.Sum256(data))
		s.memory.markStaged(sum, data)
		s.recordStaged(i, sum)
		found = append(found, sum[:])
	}
	return found, nil
}

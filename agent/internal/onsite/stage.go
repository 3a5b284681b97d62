package onsite

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/wire"
)

// digest is the SHA-256 of a chunk.
type digest [sha256.Size]byte

// stage keeps chunks beside the engine, which loads from there. The engine's
// stage knows indexes only and one version at a time; this knows which chunk
// lies at which index. Chunks of the version after it wait in this process's
// memory: the hosts whose turn to load comes last otherwise begin to fetch it, and
// to draw what is their turn of it, seconds after the others, who wait for that.
type stage struct {
	engine   *platform.Engine
	guidance *guidanceStore
	memory   *memoryStore
	// man returns the manifest of the version wanted; nil while unknown.
	manifest func() *wire.Manifest
	// lost is called with the hash of a chunk that is nowhere any more, since another one was
	// laid over it; nil: nobody is.
	onLost func(hash []byte)

	mu              sync.Mutex
	indexesByDigest map[digest][]int // where a chunk lies, as far as known
	digestByIndex   map[int]digest   // the same by index
}

func newStage(engine *platform.Engine, guidance *guidanceStore, memoryCapacity int) *stage {
	return &stage{engine: engine, guidance: guidance, memory: newMemoryStore(memoryCapacity), indexesByDigest: map[digest][]int{}, digestByIndex: map[int]digest{}}
}

// fits reports whether a version may wait in memory.
func (s *stage) fits(bytes int) bool { return s.memory.fits(bytes) }

// put lays a chunk at its indexes in the version wanted, or keeps it in memory
// where that version has none.
func (s *stage) put(ctx context.Context, hash, data []byte) error {
	want, ok := s.guidance.newestWanted()
	if !ok {
		return failure.New(failure.Unavailable, "no weights are wanted", "wait for an entry")
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

// lay stages a chunk at an index.
func (s *stage) stageAt(ctx context.Context, model string, index int, sum digest, data []byte) error {
	if err := s.engine.Stage(ctx, model, index, data); err != nil {
		return err
	}
	s.memory.markStaged(sum, data)
	s.recordStaged(index, sum)
	return nil
}

// flush lays what is in memory of the version wanted, and not there yet, beside the
// engine. What is read back afterwards is what lies there.
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

func (s *stage) isStagedAt(index int, sum digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.digestByIndex[index]
	return ok && at == sum
}

// note remembers what lies at an index, and reports the chunk that lay there if it is
// nowhere else: who goes back to a version must know what is left of it.
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

// places returns the indexes at which a chunk lies.
func (s *stage) indexesOf(sum digest) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.indexesByDigest[sum])
}

// errNotStaged says that a chunk does not lie beside the engine.
var errNotStaged = failure.New(failure.NotFound, "the chunk is not staged", "it is fetched again")

// get returns a chunk for others: from memory, or as it lies beside the engine now.
func (s *stage) get(ctx context.Context, hash []byte) ([]byte, error) {
	if data, ok := s.memory.get(digest(hash)); ok {
		return data, nil
	}
	return s.readBack(ctx, hash)
}

// readBack returns a chunk as it lies beside the engine now, which is what the engine
// loads. Where it turned bad it is laid anew, if it is in memory.
func (s *stage) readBack(ctx context.Context, hash []byte) ([]byte, error) {
	want, ok := s.guidance.newestWanted()
	indexes := s.indexesOf(digest(hash))
	if !ok || len(indexes) == 0 {
		return nil, errNotStaged
	}
	var data []byte
	for _, index := range indexes {
		staged, err := s.readOrRepair(ctx, want.model, index, digest(hash))
		if err != nil {
			return nil, err
		}
		if data == nil || sha256.Sum256(staged) != digest(hash) {
			data = staged
		}
	}
	return data, nil
}

// readMended reads what lies at an index where the chunk should lie, after it was laid
// anew if need be.
func (s *stage) readOrRepair(ctx context.Context, model string, index int, sum digest) ([]byte, error) {
	staged, err := s.engine.Unstage(ctx, model, index, manifest.MaxChunkBytes)
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
	if err := s.engine.Stage(ctx, model, index, backup); err != nil {
		return nil, err
	}
	return s.engine.Unstage(ctx, model, index, manifest.MaxChunkBytes)
}

// drop forgets a chunk; its bytes stay until others overwrite them.
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

// held reads what lies beside the engine and returns the hashes.
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
		data, err := s.engine.Unstage(ctx, want.model, i, manifest.MaxChunkBytes)
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

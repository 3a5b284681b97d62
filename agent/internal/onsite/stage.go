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
// lies at which index.
type stage struct {
	engine *platform.Engine
	guide  *guide
	// man returns the manifest of the version wanted; nil while unknown.
	man func() *wire.Manifest

	mu    sync.Mutex
	index map[digest][]int // where a chunk lies, as far as known
	at    map[int]digest   // the same by index
}

func newStage(engine *platform.Engine, told *guide) *stage {
	return &stage{engine: engine, guide: told, index: map[digest][]int{}, at: map[int]digest{}}
}

// put lays a chunk at its indexes in the version wanted.
func (s *stage) put(ctx context.Context, hash, data []byte) error {
	want, ok := s.guide.weights()
	if !ok {
		return failure.New(failure.Unavailable, "no weights are wanted", "wait for an entry")
	}
	for i, other := range s.man().GetChunkHashes() {
		if !slices.Equal(other, hash) {
			continue
		}
		if err := s.engine.Stage(ctx, want.model, i, data); err != nil {
			return err
		}
		s.note(i, digest(hash))
	}
	return nil
}

func (s *stage) note(index int, sum digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.at[index]; ok {
		s.index[old] = slices.DeleteFunc(s.index[old], func(i int) bool { return i == index })
		if len(s.index[old]) == 0 {
			delete(s.index, old)
		}
	}
	s.at[index] = sum
	s.index[sum] = append(s.index[sum], index)
}

// get reads a chunk back as it lies there now.
func (s *stage) get(ctx context.Context, hash []byte) ([]byte, error) {
	s.mu.Lock()
	places := slices.Clone(s.index[digest(hash)])
	s.mu.Unlock()
	want, ok := s.guide.weights()
	if !ok || len(places) == 0 {
		return nil, failure.New(failure.NotFound, "the chunk is not staged", "it is fetched again")
	}
	return s.engine.Unstage(ctx, want.model, places[0], manifest.MaxChunkBytes)
}

// drop forgets a chunk; its bytes stay until others overwrite them.
func (s *stage) drop(_ context.Context, hash []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, index := range s.index[digest(hash)] {
		delete(s.at, index)
	}
	delete(s.index, digest(hash))
	return nil
}

// held reads what lies beside the engine and returns the hashes.
func (s *stage) held(ctx context.Context) ([][]byte, error) {
	want, err := s.guide.await(ctx)
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
		sum := sha256.Sum256(data)
		s.note(i, sum)
		found = append(found, sum[:])
	}
	return found, nil
}

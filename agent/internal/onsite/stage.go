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
	engine *platform.Engine
	guide  *guide
	// man returns the manifest of the version wanted; nil while unknown.
	man func() *wire.Manifest
	// room bounds the bytes in memory.
	room int

	mu    sync.Mutex
	index map[digest][]int // where a chunk lies, as far as known
	at    map[int]digest   // the same by index
	ahead map[digest][]byte
	// aheadBytes is the size of ahead, at most room.
	aheadBytes int
}

func newStage(engine *platform.Engine, told *guide, room int) *stage {
	return &stage{engine: engine, guide: told, room: room, index: map[digest][]int{}, at: map[int]digest{}, ahead: map[digest][]byte{}}
}

// fits reports whether a version may wait in memory.
func (s *stage) fits(bytes int) bool { return bytes <= s.room }

// put lays a chunk at its indexes in the version wanted, or keeps it in memory
// where that version has none.
func (s *stage) put(ctx context.Context, hash, data []byte) error {
	want, ok := s.guide.weights()
	if !ok {
		return failure.New(failure.Unavailable, "no weights are wanted", "wait for an entry")
	}
	staged := false
	for i, other := range s.man().GetChunkHashes() {
		if !slices.Equal(other, hash) {
			continue
		}
		if err := s.engine.Stage(ctx, want.model, i, data); err != nil {
			return err
		}
		s.note(i, digest(hash))
		staged = true
	}
	if staged {
		return nil
	}
	return s.remember(digest(hash), data)
}

func (s *stage) remember(sum digest, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ahead[sum]; ok {
		return nil
	}
	if s.aheadBytes+len(data) > s.room {
		return failure.New(failure.Exhausted, "no room for a version that is not wanted yet", "it is fetched once it is")
	}
	s.ahead[sum] = slices.Clone(data)
	s.aheadBytes += len(data)
	return nil
}

// forget drops a chunk from memory; s.mu is held.
func (s *stage) forget(sum digest) {
	s.aheadBytes -= len(s.ahead[sum])
	delete(s.ahead, sum)
}

// flush lays what waits in memory of the version wanted beside the engine. What is
// read back afterwards is what lies there.
func (s *stage) flush(ctx context.Context) error {
	for _, hash := range s.man().GetChunkHashes() {
		s.mu.Lock()
		data, ok := s.ahead[digest(hash)]
		s.mu.Unlock()
		if !ok {
			continue
		}
		if err := s.put(ctx, hash, data); err != nil {
			return err
		}
		s.mu.Lock()
		s.forget(digest(hash))
		s.mu.Unlock()
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
	data, waits := s.ahead[digest(hash)]
	s.mu.Unlock()
	if waits {
		return data, nil
	}
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
	s.forget(digest(hash))
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

package weights

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
)

// storeRetryDelay is the pause after a failed access to the host's store.
const storeRetryDelay = time.Second

// chunkHash is the hash of a chunk, BLAKE3 unless Config.Source says otherwise.
type chunkHash [manifest.HashSize]byte

// store tracks which chunks the host has stored. A chunk is used only after this
// process has verified its bytes.
type store struct {
	cfg Config
	log *slog.Logger

	mu       sync.Mutex
	verified map[chunkHash]bool // false: stored before this process started, not yet verified
}

func newStore(cfg Config) *store {
	return &store{cfg: cfg, log: cfg.Log, verified: map[chunkHash]bool{}}
}

// registerStored records the chunks stored by an earlier process as unverified.
func (s *store) registerStored(ctx context.Context) error {
	hashes, err := s.cfg.HeldChunks(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, hash := range hashes {
		if len(hash) != manifest.HashSize {
			continue
		}
		if _, ok := s.verified[chunkHash(hash)]; !ok {
			s.verified[chunkHash(hash)] = false
		}
	}
	return nil
}

// list returns the hashes of all stored chunks, verified or not.
func (s *store) list() []chunkHash {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]chunkHash, 0, len(s.verified))
	for hash := range s.verified {
		all = append(all, hash)
	}
	return all
}

// lookUp reports whether a chunk is stored and whether this process has verified it.
func (s *store) lookUp(hash chunkHash) (kept, verified bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verified, kept = s.verified[hash]
	return kept, verified
}

// put stores bytes that were verified.
func (s *store) put(ctx context.Context, hash chunkHash, data []byte) error {
	if err := s.cfg.PutChunk(ctx, hash[:], data); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verified[hash] = true
	return nil
}

// get reads a chunk and verifies it again, because the host's memory is outside this
// process: a chunk corrupted there would spread to every peer that requests it. A
// corrupt chunk is dropped so that it is fetched again.
func (s *store) get(ctx context.Context, hash chunkHash) ([]byte, error) {
	return s.read(ctx, hash, s.cfg.GetChunk)
}

// readBack is like get, but reads with Config.ReadBack.
func (s *store) readBack(ctx context.Context, hash chunkHash) ([]byte, error) {
	return s.read(ctx, hash, s.cfg.ReadBack)
}

// read reads a chunk with the given function, verifies it and drops it if it is corrupt.
func (s *store) read(ctx context.Context, hash chunkHash, readChunk func(context.Context, []byte) ([]byte, error)) ([]byte, error) {
	data, err := readChunk(ctx, hash[:])
	if err != nil {
		return nil, err
	}
	if !s.cfg.Source.Verify(data, hash[:]) {
		s.drop(ctx, hash)
		return nil, failure.New(failure.Corrupt, "the host's store returned a corrupt chunk",
			"it is fetched again; if this repeats, check the host's memory")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verified[hash] = true
	return data, nil
}

// forget records that a chunk is no longer stored.
func (s *store) forget(hash chunkHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.verified, hash)
}

// drop deletes a chunk from the host's store. After an error it stays recorded.
func (s *store) drop(ctx context.Context, hash chunkHash) {
	if err := s.cfg.DropChunk(ctx, hash[:]); err != nil {
		s.log.Debug("dropping a chunk failed", "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.verified, hash)
}

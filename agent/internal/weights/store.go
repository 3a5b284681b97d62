package weights

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
)

// storeRetry is the pause after the host's store failed.
const storeRetryDelay = time.Second

// chunkHash is the hash of a chunk, BLAKE3 unless Config.Source says otherwise.
type chunkHash [manifest.HashBytes]byte

// store knows what the host keeps. Its bytes are trusted only once this
// process verified them.
type store struct {
	cfg Config
	log *slog.Logger

	mu       sync.Mutex
	verified map[chunkHash]bool // false: kept before this process started, not yet verified
}

func newStore(cfg Config) *store {
	return &store{cfg: cfg, log: cfg.Log, verified: map[chunkHash]bool{}}
}

// load learns what an earlier process left.
func (s *store) registerStored(ctx context.Context) error {
	hashes, err := s.cfg.HeldChunks(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, hash := range hashes {
		if len(hash) != manifest.HashBytes {
			continue
		}
		if _, ok := s.verified[chunkHash(hash)]; !ok {
			s.verified[chunkHash(hash)] = false
		}
	}
	return nil
}

// list returns all hashes kept, verified or not.
func (s *store) list() []chunkHash {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]chunkHash, 0, len(s.verified))
	for hash := range s.verified {
		all = append(all, hash)
	}
	return all
}

func (s *store) lookUp(hash chunkHash) (kept, verified bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verified, kept = s.verified[hash]
	return kept, verified
}

// put keeps bytes that were verified.
func (s *store) put(ctx context.Context, hash chunkHash, data []byte) error {
	if err := s.cfg.PutChunk(ctx, hash[:], data); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verified[hash] = true
	return nil
}

// get reads bytes back and verifies them again, because the host's memory is
// not this process's: a corrupt chunk would spread to every peer that asks. One
// that fails is dropped, so that it is fetched anew.
func (s *store) get(ctx context.Context, hash chunkHash) ([]byte, error) {
	return s.read(ctx, hash, s.cfg.GetChunk)
}

// readBack is get for bytes as the host would use them now.
func (s *store) readBack(ctx context.Context, hash chunkHash) ([]byte, error) {
	return s.read(ctx, hash, s.cfg.ReadBack)
}

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

// forget notes that a chunk is not kept any more.
func (s *store) forget(hash chunkHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.verified, hash)
}

func (s *store) drop(ctx context.Context, hash chunkHash) {
	if err := s.cfg.DropChunk(ctx, hash[:]); err != nil {
		s.log.Debug("a chunk could not be dropped", "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.verified, hash)
}

package engine

import (
	"encoding/hex"
	"sort"
	"sync"

	"github.com/zeebo/blake3"

	"comfreyrelay.example/relay/failure"
)

// Pool shares the bytes of identical chunks between engines of one process to
// save memory. Which chunks an engine holds is decided by its own store.
type Pool struct {
	mu     sync.Mutex
	chunks map[string]*pooledChunk
}

type pooledChunk struct {
	bytes  []byte
	owners int // number of stores that hold the chunk; at least 1
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{chunks: map[string]*pooledChunk{}}
}

// acquire adds an owner to the chunk and returns the shared bytes.
func (p *Pool) acquire(hash string, bytes []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	chunk := p.chunks[hash]
	if chunk == nil {
		chunk = &pooledChunk{bytes: bytes}
		p.chunks[hash] = chunk
	}
	chunk.owners++
	return chunk.bytes
}

// release removes an owner and frees the chunk when none is left.
func (p *Pool) release(hash string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	chunk := p.chunks[hash]
	chunk.owners--
	if chunk.owners == 0 {
		delete(p.chunks, hash)
	}
}

// chunkStore holds the weight chunks of one host, keyed by content hash.
type chunkStore struct {
	pool  *Pool
	limit int64 // bytes

	mu    sync.Mutex
	used  int64 // bytes, never above limit
	bytes map[string][]byte
}

func newChunkStore(pool *Pool, limit int64) *chunkStore {
	return &chunkStore{pool: pool, limit: limit, bytes: map[string][]byte{}}
}

// put verifies a chunk against its hash and stores it.
func (s *chunkStore) put(hash string, bytes []byte) error {
	sum := blake3.Sum256(bytes)
	if hex.EncodeToString(sum[:]) != hash {
		return failure.New(failure.Corrupt, "the bytes do not match chunk "+hash, "fetch the chunk elsewhere")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.bytes[hash]; held {
		return nil
	}
	if s.used+int64(len(bytes)) > s.limit {
		return failure.New(failure.Exhausted, "the host's memory for weights is full", "delete chunks that no version needs")
	}
	s.used += int64(len(bytes))
	s.bytes[hash] = s.pool.acquire(hash, bytes)
	return nil
}

func (s *chunkStore) get(hash string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes, held := s.bytes[hash]
	return bytes, held
}

func (s *chunkStore) remove(hash string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes, held := s.bytes[hash]
	if !held {
		return
	}
	s.used -= int64(len(bytes))
	delete(s.bytes, hash)
	s.pool.release(hash)
}

func (s *chunkStore) removeAll() {
	for _, hash := range s.hashes() {
		s.remove(hash)
	}
}

func (s *chunkStore) hashes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	hashes := make([]string, 0, len(s.bytes))
	for hash := range s.bytes {
		hashes = append(hashes, hash)
	}
	sort.Strings(hashes)
	return hashes
}

package store

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"comfreyrelay.example/relay/document"
)

// maxCachedParts bounds the number of parts in memory.
const maxCachedParts = 4096

// Parts keeps parts of documents by content hash, the lately used ones, within
// a bound of bytes. It is safe for concurrent use.
type Parts struct {
	mu    sync.Mutex
	cache *simplelru.LRU[string, []byte]
	bytes int // sum of the parts' sizes
	limit int // bytes is at most this, but for a single larger part
}

// NewParts returns an empty cache of at most limit bytes.
func NewParts(limit int) *Parts {
	parts := &Parts{limit: limit}
	cache, err := simplelru.NewLRU(maxCachedParts, func(_ string, content []byte) { parts.bytes -= len(content) })
	if err != nil {
		panic("store: " + err.Error()) // Only a size below 1 fails.
	}
	parts.cache = cache
	return parts
}

// Get returns the part's bytes, or nil; the caller does not change them.
func (p *Parts) Get(hash string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	content, _ := p.cache.Get(hash)
	return content
}

// Has reports whether the part is here.
func (p *Parts) Has(hash string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache.Contains(hash)
}

// Add keeps the part where its bytes match the hash and reports whether they
// do: whoever sent them, no wrong byte gets into a document.
func (p *Parts) Add(hash string, content []byte) bool {
	if content == nil || document.HashBytes(content) != hash {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cache.Contains(hash) {
		return true
	}
	p.cache.Add(hash, content)
	p.bytes += len(content)
	for p.bytes > p.limit && p.cache.Len() > 1 {
		p.cache.RemoveOldest()
	}
	return true
}

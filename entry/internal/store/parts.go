package store

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"comfreyrelay.example/relay/document"
)

// maxCachedParts limits the number of parts in the cache.
const maxCachedParts = 4096

// PartCache is an LRU cache of document parts, keyed by content hash and limited in
// bytes. It is safe for concurrent use.
type PartCache struct {
	mu    sync.Mutex
	cache *simplelru.LRU[string, []byte]
	bytes int // sum of the parts' sizes
	limit int // maximum of bytes; a single larger part may exceed it
}

// NewPartCache returns an empty cache that holds at most limit bytes.
func NewPartCache(limit int) *PartCache {
	parts := &PartCache{limit: limit}
	cache, err := simplelru.NewLRU(maxCachedParts, func(_ string, content []byte) { parts.bytes -= len(content) })
	if err != nil {
		panic("store: " + err.Error()) // NewLRU fails only for a size below 1.
	}
	parts.cache = cache
	return parts
}

// Get returns the part's bytes, or nil if it is not cached. The caller must not
// modify them.
func (p *PartCache) Get(hash string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	content, _ := p.cache.Get(hash)
	return content
}

// Has reports whether the part is cached.
func (p *PartCache) Has(hash string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache.Contains(hash)
}

// Add caches the part if its bytes match the hash, and reports whether they do.
// The check keeps corrupt data out of documents, whatever its source.
func (p *PartCache) Add(hash string, content []byte) bool {
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

package engine

import (
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/standin/internal/answer"
)

// maxImported limits the imported KV caches whose request has not arrived yet.
const maxImported = 1024

// KVCache is a KV cache transferred between engines of one version. It carries
// only identifiers, as a simulated engine has no tensors.
type KVCache struct {
	RequestID string `json:"requestId"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
}

// Export returns the KV cache of a running request.
func (e *Engine) Export(id string) (KVCache, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, current := range e.running[id] {
		if current.weights != nil {
			return KVCache{RequestID: id, Version: current.weights.version, Prompt: current.request.Prompt}, nil
		}
	}
	return KVCache{}, failure.New(failure.NotFound, "request "+id+" is not running on this engine", "export while the request runs")
}

// Import registers a KV cache, which gives the request the first-token time of a
// cached prefix.
func (e *Engine) Import(id string, moved KVCache) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loaded == nil || e.loaded.version != moved.Version {
		return failure.New(failure.Conflict, "the KV cache belongs to version "+moved.Version, "import it on a host of that version")
	}
	if len(e.imported) >= maxImported {
		return failure.New(failure.Exhausted, "too many imported KV caches are waiting for their requests", "send their requests first")
	}
	e.imported[id] = true
	e.cache.use(answer.Prefix(moved.Prompt), e.clock.Now())
	return nil
}

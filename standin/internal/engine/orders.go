package engine

import (
	"encoding/hex"
	"fmt"
	"time"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/wire"
)

// Values of Order.Kind.
const (
	orderLoad   = "load"
	orderUnload = "unload"
	orderRole   = "role"
)

// Order is a command from the host's agent to the engine.
type Order struct {
	Fence       uint64         `json:"fence"`
	Order       string         `json:"order"`
	Model       string         `json:"model"`
	Version     string         `json:"version"`
	ChunkHashes []string       `json:"chunkHashes"`
	Adapters    []AdapterOrder `json:"adapters"`
	Role        string         `json:"role"`
}

// AdapterOrder names an adapter to load on top of the base version.
type AdapterOrder struct {
	Name        string   `json:"name"`
	Version     string   `json:"version"`
	ChunkHashes []string `json:"chunkHashes"`
}

// weights is a loaded version with its adapters.
type weights struct {
	model    string
	version  string
	adapters []*adapterWeights
	unloaded chan struct{} // closed when the version is unloaded
}

type adapterWeights struct {
	name     string
	version  string
	unloaded chan struct{} // closed when the adapter is unloaded
}

func (w *weights) adapter(name string) *adapterWeights {
	for _, adapter := range w.adapters {
		if adapter.name == name {
			return adapter
		}
	}
	return nil
}

// Obey executes an order or returns why it was rejected. Orders run one at a time.
func (e *Engine) Obey(order Order) error {
	e.orders.Lock()
	defer e.orders.Unlock()
	if err := e.checkFence(order.Fence); err != nil {
		return err
	}
	if err := e.execute(order); err != nil {
		return err
	}
	e.ledger.order(func(totals *OrderTotals) { totals.Obeyed++ })
	return nil
}

func (e *Engine) execute(order Order) error {
	switch order.Order {
	case orderLoad:
		return e.loadVersion(order)
	case orderUnload:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.unloadLocked()
		return nil
	case orderRole:
		return e.setRole(order.Role)
	}
	return failure.New(failure.Invalid, fmt.Sprintf("the order %q is unknown", order.Order), "order load, unload or role")
}

// checkFence handles an order from a previous lease holder: it rejects the order
// if ChecksFencing is set and only counts it otherwise.
func (e *Engine) checkFence(fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence >= e.fence {
		e.fence = fence
		return nil
	}
	if e.options.ChecksFencing {
		e.ledger.order(func(totals *OrderTotals) { totals.OldRefused++ })
		return failure.New(failure.Stale, fmt.Sprintf("fence %d is older than %d", fence, e.fence), "reacquire the lease before sending orders")
	}
	e.ledger.order(func(totals *OrderTotals) { totals.OldObeyed++ })
	return nil
}

func (e *Engine) setRole(role string) error {
	if role != roleBoth && role != rolePrefill && role != roleDecode {
		return failure.New(failure.Invalid, fmt.Sprintf("the role %q is unknown", role), "use both, prefill or decode")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = role
	return nil
}

// loadVersion unloads the old weights, which interrupts the requests that run on
// them, and serves the new ones after the load time.
func (e *Engine) loadVersion(order Order) error {
	faults := e.Faults()
	if faults.RefuseLoad {
		return failure.New(failure.Unavailable, "the engine refuses to load", "try again later or remove the host")
	}
	if err := e.checkAllChunks(order); err != nil {
		e.ledger.order(func(totals *OrderTotals) { totals.NotWhole++ })
		return err
	}
	if faults.DropLoad {
		return nil
	}
	if e.changeAdapters(order) {
		return nil
	}
	e.mu.Lock()
	e.unloadLocked()
	e.mu.Unlock()
	e.clock.Sleep(time.Duration(float64(e.options.LoadTime) * faults.slowdown()))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Dead {
		return failure.New(failure.Unavailable, "the host died", "send the order to another host")
	}
	e.cache.clear(e.clock.Now())
	e.loaded = &weights{model: order.Model, version: order.Version, unloaded: make(chan struct{})}
	e.loaded.setAdapters(order.Adapters)
	e.ledger.order(func(totals *OrderTotals) { totals.Loads++ })
	return nil
}

// changeAdapters handles a load whose base version is already loaded: only the
// adapters change. It returns false if the base differs.
func (e *Engine) changeAdapters(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loaded == nil || e.loaded.model != order.Model || e.loaded.version != order.Version {
		return false
	}
	e.loaded.setAdapters(order.Adapters)
	return true
}

// setAdapters keeps loaded adapters that are still ordered and unloads the others.
func (w *weights) setAdapters(orders []AdapterOrder) {
	kept := make([]*adapterWeights, 0, len(orders))
	for _, order := range orders {
		adapter := w.adapter(order.Name)
		if adapter == nil || adapter.version != order.Version {
			adapter = &adapterWeights{name: order.Name, version: order.Version, unloaded: make(chan struct{})}
		}
		kept = append(kept, adapter)
	}
	before := w.adapters
	w.adapters = kept
	for _, adapter := range before {
		if w.adapter(adapter.name) != adapter {
			close(adapter.unloaded)
		}
	}
}

func (e *Engine) unloadLocked() {
	if e.loaded == nil {
		return
	}
	for _, adapter := range e.loaded.adapters {
		close(adapter.unloaded)
	}
	close(e.loaded.unloaded)
	e.loaded = nil
}

// checkAllChunks checks that every chunk is stored and that the chunks make up the
// versions named in the order.
func (e *Engine) checkAllChunks(order Order) error {
	if err := e.checkChunks(order.Model, order.Version, "", order.ChunkHashes); err != nil {
		return err
	}
	for _, adapter := range order.Adapters {
		if err := e.checkChunks(order.Model, adapter.Version, order.Version, adapter.ChunkHashes); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engine) checkChunks(model, version, base string, hashes []string) error {
	if len(hashes) == 0 {
		return failure.New(failure.Corrupt, "the order lists no chunks for version "+version, "list all chunks of its manifest")
	}
	sizes := make([]int, len(hashes))
	for i, hash := range hashes {
		bytes, held := e.chunks.get(hash)
		if !held {
			return failure.New(failure.Corrupt, fmt.Sprintf("chunk %d (%s) of version %s is missing", i, hash, version), "upload the chunk and send the order again")
		}
		sizes[i] = len(bytes)
	}
	if len(hashes) == 1 {
		return nil // the manifest's chunk size cannot be derived from a single chunk, which is complete by itself
	}
	if rebuilt := versionOfChunks(model, base, hashes, sizes); rebuilt != version {
		return failure.New(failure.Corrupt, "the chunks do not match version "+version, "list the chunks of one manifest in its order")
	}
	return nil
}

// versionOfChunks returns the version whose manifest lists these chunks.
func versionOfChunks(model, base string, hashes []string, sizes []int) string {
	man := &wire.Manifest{Model: model, Kind: manifest.KindBase, BaseVersion: base, ChunkBytes: uint32(sizes[0])}
	if base != "" {
		man.Kind = manifest.KindAdapter
	}
	for i, hash := range hashes {
		sum, err := hex.DecodeString(hash)
		if err != nil {
			return ""
		}
		man.ChunkHashes = append(man.ChunkHashes, sum)
		man.TotalBytes += uint64(sizes[i])
	}
	encoded, err := manifest.Encode(man)
	if err != nil {
		return ""
	}
	return manifest.Version(encoded)
}

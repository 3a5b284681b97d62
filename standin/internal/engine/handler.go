package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
)

// Limits of the HTTP interface.
const (
	maxBody      = 4 << 20 // bytes; chunks have their own limit
	writeTimeout = 30 * time.Second
)

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/ledger", e.serveLedger)
	router.Post("/faults", e.serveFaults)
	router.Group(func(router chi.Router) {
		router.Use(e.breakWhenDead)
		router.Put("/chunks/{hash}", e.servePutChunk)
		router.Get("/chunks/{hash}", e.serveGetChunk)
		router.Delete("/chunks/{hash}", e.serveDeleteChunk)
		router.Get("/chunks", e.serveChunks)
		router.Post("/orders", e.serveOrder)
		router.Get("/status", e.serveStatus)
		router.Post("/generate", e.serveGenerate)
		router.Post("/cancel", e.serveCancel)
		router.Get("/cache/events", e.serveCacheEvents)
		router.Get("/kvcache/{requestId}", e.serveExport)
		router.Put("/kvcache/{requestId}", e.serveImport)
	})
	return router
}

// breakWhenDead closes connections without a response while the Dead fault is set.
func (e *Engine) breakWhenDead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.Faults().Dead {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) servePutChunk(w http.ResponseWriter, r *http.Request) {
	bytes, err := io.ReadAll(http.MaxBytesReader(w, r.Body, manifest.MaxChunkBytes))
	if err != nil {
		writeError(w, failure.Wrap(err, failure.Invalid, "the chunk cannot be read", "send at most 2 MiB"))
		return
	}
	if err := e.chunks.put(chi.URLParam(r, "hash"), bytes); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) serveGetChunk(w http.ResponseWriter, r *http.Request) {
	bytes, held := e.chunks.get(chi.URLParam(r, "hash"))
	if !held {
		writeError(w, failure.New(failure.NotFound, "the chunk is not stored", "upload it first"))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(bytes)))
	_, _ = w.Write(bytes) // the client went away
}

func (e *Engine) serveDeleteChunk(w http.ResponseWriter, r *http.Request) {
	e.chunks.remove(chi.URLParam(r, "hash"))
	writeJSON(w, struct{}{})
}

func (e *Engine) serveChunks(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, struct {
		Hashes []string `json:"hashes"`
	}{e.chunks.hashes()})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
		return
	}
	if err := e.Obey(order); err != nil {
		e.writeOrderError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

// writeOrderError writes an error; for an outdated fence, the body holds the
// current fence.
func (e *Engine) writeOrderError(w http.ResponseWriter, err error) {
	if failure.KindOf(err) != failure.Stale {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(struct { // the client went away
		Fence uint64 `json:"fence"`
	}{e.Status().Fence})
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Status())
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"requestId"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	found := e.Cancel(body.RequestID)
	writeJSON(w, struct {
		Cancelled bool `json:"cancelled"`
	}{found})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	events, next := e.cache.since(after, e.clock.Now().Add(-e.options.StatusLag))
	e.mu.Unlock()
	writeJSON(w, struct {
		Events []CacheEvent `json:"events"`
		Next   uint64       `json:"next"`
	}{events, next})
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	moved, err := e.Export(chi.URLParam(r, "requestId"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, moved)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var moved KVCache
	if !readJSON(w, r, &moved) {
		return
	}
	if err := e.Import(chi.URLParam(r, "requestId"), moved); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) serveLedger(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, e.Ledger(r.URL.Query().Get("summary") == ""))
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	writeJSON(w, faults)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	if err := decoder.Decode(into); err != nil {
		writeError(w, failure.Wrap(err, failure.Invalid, "the body is not the expected JSON", "see docs/PROTOCOLS.md"))
		return false
	}
	// net/http detects a client disconnect only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client went away
}

func writeError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(err))
	_ = json.NewEncoder(w).Encode(struct { // the client went away
		Error string `json:"error"`
	}{err.Error()})
}

func statusOf(err error) int {
	var problem *failure.Error
	if !errors.As(err, &problem) {
		return http.StatusInternalServerError
	}
	switch problem.Kind() {
	case failure.Invalid:
		return http.StatusBadRequest
	case failure.Corrupt:
		return http.StatusUnprocessableEntity
	case failure.NotFound:
		return http.StatusNotFound
	case failure.Conflict, failure.Stale:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

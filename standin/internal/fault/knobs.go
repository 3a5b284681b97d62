// Package fault implements the fault injection settings (knobs) shared by the
// simulated services.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
)

// maxBodyBytes limits the body of POST /faults.
const maxBodyBytes = 1 << 16

// Knobs holds the fault settings of a simulated service; T is a struct with JSON
// fields. As an HTTP handler it merges a POSTed object into the settings, leaving
// absent fields unchanged, and responds with all settings.
type Knobs[T any] struct {
	// Changed, if set, is called on each change with the new settings and returns
	// them with one-shot settings reset.
	Changed func(T) T

	mu     sync.Mutex
	values T
}

// Get returns the current settings.
func (k *Knobs[T]) Get() T {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.values
}

// Set replaces the settings.
func (k *Knobs[T]) Set(values T) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.set(values)
}

func (k *Knobs[T]) set(values T) {
	if k.Changed != nil {
		values = k.Changed(values)
	}
	k.values = values
}

// clone returns a deep copy. Decoding into the current settings would modify
// slices that readers still use.
func (k *Knobs[T]) clone() T {
	var values T
	text, err := json.Marshal(k.values)
	if err == nil {
		_ = json.Unmarshal(text, &values) // marshaled JSON can be decoded again
	}
	return values
}

// ServeHTTP implements http.Handler.
func (k *Knobs[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Method == http.MethodPost {
		values := k.clone()
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&values); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		k.set(values)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(k.values)
}

// Package fault holds what the stand-ins' fault knobs have in common.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
)

// maxBodyBytes bounds a body of POST /faults.
const maxBodyBytes = 1 << 16

// Knobs holds a stand-in's knobs; T is a struct with JSON fields. As a handler
// it merges a POSTed object into the knobs: a knob that the body leaves out
// stays as it is. It answers with all knobs.
type Knobs[T any] struct {
	// Changed, where set, is called after each change with the new knobs and
	// returns them with one-shot knobs reset.
	Changed func(T) T

	mu     sync.Mutex
	values T
}

// Get returns the knobs as they are now.
func (k *Knobs[T]) Get() T {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.values
}

// Set replaces the knobs.
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

// clone returns a deep copy: decoding into the knobs themselves would change
// lists that readers still look at.
func (k *Knobs[T]) clone() T {
	var values T
	text, err := json.Marshal(k.values)
	if err == nil {
		_ = json.Unmarshal(text, &values) // what was marshalled can be read
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

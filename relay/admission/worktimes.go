package admission

import (
	"sync"
	"time"
)

// workTimeWeight is the weight of a new observation in the usual time of an answer.
const workTimeWeight = 0.05

// WorkTimes learns how long the plain endpoints of each service usually take for an answer. The zero value is
// ready to use; it is safe for concurrent use.
type WorkTimes struct {
	mu    sync.Mutex
	usual map[string]time.Duration
}

// Observe records how long an endpoint of the service took.
func (w *WorkTimes) Observe(service string, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.usual == nil {
		w.usual = map[string]time.Duration{}
	}
	before, known := w.usual[service]
	if !known {
		before = took
	}
	w.usual[service] = before + time.Duration(workTimeWeight*float64(took-before))
}

// Usual returns the usual time of an answer of the service, 0 if none was observed.
func (w *WorkTimes) Usual(service string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usual[service]
}

package protocols

import (
	"strings"
	"sync"
)

// syncBuffer collects the logs of the deployment's processes, which write
// concurrently.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *syncBuffer) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(text)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

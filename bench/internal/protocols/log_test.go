package protocols

import (
	"strings"
	"sync"
)

// lineLog lets the deployment's processes write side by side.
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

package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

// boundedLines is the lines that wait for a slow reader of the logs.
const boundedLines = 4096

// Bounded writes lines without ever making the writer wait: a reader of the logs
// that stalls must not stall requests. Lines that find no room are counted and
// the count is written once there is room.
type Bounded struct {
	lines chan []byte
	lost  atomic.Int64
	done  chan struct{}
}

// NewBounded returns a Bounded before w; Close writes what waits.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

func (b *Bounded) run(w io.Writer) {
	defer close(b.done)
	var batch bytes.Buffer
	for line := range b.lines {
		batch.Reset()
		batch.Write(line)
		for more := len(b.lines); more > 0; more-- {
			batch.Write(<-b.lines)
		}
		if lost := b.lost.Swap(0); lost > 0 {
			fmt.Fprintf(&batch, "level=WARN msg=\"log lines left out\" lines=%d\n", lost)
		}
		_, _ = w.Write(batch.Bytes())
	}
}

// Write takes one line; it never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.lost.Add(1)
	}
	return len(line), nil
}

// Close writes what waits. Nothing may be written afterwards.
func (b *Bounded) Close() error {
	close(b.lines)
	<-b.done
	return nil
}

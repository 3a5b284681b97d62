package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the lines that wait for a slow reader of the logs.
const maxQueuedLines = 4096

// Bounded writes lines without ever making the writer wait: a reader of the logs
// that stalls must not stall requests. Lines that find no room are counted and
// the count is written once there is room.
type Bounded struct {
	lines   chan []byte
	lost    atomic.Int64
	closing chan struct{} // closed by Close
	done    chan struct{} // closed once all that waited is written
}

// NewBounded returns a Bounded before w; Close writes what waits.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run(w)
	return b
}

func (b *Bounded) run(w io.Writer) {
	defer close(b.done)
	var batch bytes.Buffer
	for {
		batch.Reset()
		select {
		case line := <-b.lines:
			batch.Write(line)
		case <-b.closing:
			b.appendQueued(&batch)
			_, _ = w.Write(batch.Bytes())
			return
		}
		b.appendQueued(&batch)
		_, _ = w.Write(batch.Bytes())
	}
}

// appendQueued takes what waits and the count of the lines that found no room.
func (b *Bounded) appendQueued(batch *bytes.Buffer) {
	for more := len(b.lines); more > 0; more-- {
		batch.Write(<-b.lines)
	}
	if lost := b.lost.Swap(0); lost > 0 {
		fmt.Fprintf(batch, "level=WARN msg=\"log lines left out\" lines=%d\n", lost)
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

// Close writes what waits. Requests in progress may still log: what they write afterwards is
// dropped.
func (b *Bounded) Close() error {
	close(b.closing)
	<-b.done
	return nil
}

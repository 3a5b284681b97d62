package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines limits the lines queued for a slow reader of the logs.
const maxQueuedLines = 4096

// Bounded is a writer that queues lines and never blocks, so that a stalled reader
// of the logs does not stall requests. Lines that do not fit in the queue are
// dropped, and their number is written once there is room.
type Bounded struct {
	lines   chan []byte
	lost    atomic.Int64
	closing chan struct{} // closed by Close
	done    chan struct{} // closed once the queue is written
}

// NewBounded returns a Bounded that writes to w until Close.
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

// appendQueued appends the queued lines and the number of dropped ones to batch.
func (b *Bounded) appendQueued(batch *bytes.Buffer) {
	for more := len(b.lines); more > 0; more-- {
		batch.Write(<-b.lines)
	}
	if lost := b.lost.Swap(0); lost > 0 {
		fmt.Fprintf(batch, "level=WARN msg=\"log lines left out\" lines=%d\n", lost)
	}
}

// Write queues one line, or drops it if the queue is full. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.lost.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines. Requests in progress may still log afterwards;
// those lines are dropped.
func (b *Bounded) Close() error {
	close(b.closing)
	<-b.done
	return nil
}

package engine

import (
	"cmp"
	"slices"
	"time"

	"comfreyrelay.example/relay/catalog"
)

// Work is one request at an engine.
type Work struct {
	Prompt int // tokens to read; those written before count where it goes on elsewhere
	Answer int // tokens to write
	Rank   int // 0 the first

	unread   int // prompt tokens left
	written  int
	lastPass int // tokens of the last pass
	arrival  int // of arrival
}

// Written returns the tokens that were written.
func (w *Work) Written() int { return w.written }

// Newest returns the tokens that its last pass wrote.
func (w *Work) Newest() int { return w.lastPass }

// Batch is the discrete model of one engine: it admits what waits into its slots, reads
// prompts in chunks between the steps of those who write, and reports after each pass who
// wrote: those who wrote before, and those whose prompt was read in it. A pass in which
// nobody writes yet has one step. It is pure; the caller asks for the next pass when the
// one before has ended.
//
// Where the memory for requests is declared too, the newest is put back to be read
// again once it runs out.
type Batch struct {
	spec         *catalog.Engine
	maxWaiting   int // requests that may wait
	memoryTokens int // tokens of all that run; 0: unbounded

	waiting     []*Work
	running     []*Work
	nextArrival int
	// inPass: a pass runs; what comes meanwhile waits for the next one.
	inPass  bool
	writers []*Work // of the pass that runs
}

// NewBatch returns an idle engine that lets so many wait; memory is in tokens, 0 where
// it never runs out.
func NewBatch(spec *catalog.Engine, maxWaiting, memoryTokens int) *Batch {
	return &Batch{spec: spec, maxWaiting: maxWaiting, memoryTokens: memoryTokens}
}

// Running returns the requests in slots.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns the requests that wait for a slot.
func (b *Batch) Waiting() int { return len(b.waiting) }

// Add takes a request and reports whether there was room for it.
func (b *Batch) Add(work *Work) bool {
	if len(b.running)+len(b.waiting) >= b.spec.Slots+b.maxWaiting {
		return false
	}
	work.unread, work.written = work.Prompt, 0
	work.arrival = b.nextArrival
	b.nextArrival++
	i, _ := slices.BinarySearchFunc(b.waiting, work, compareTurn)
	b.waiting = slices.Insert(b.waiting, i, work)
	return true
}

func compareTurn(left, right *Work) int {
	return cmp.Or(cmp.Compare(left.Rank, right.Rank), cmp.Compare(left.arrival, right.arrival))
}

// Remove takes a request out, in a pass too.
func (b *Batch) Remove(work *Work) {
	same := func(other *Work) bool { return other == work }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.running = slices.DeleteFunc(b.running, same)
	b.writers = slices.DeleteFunc(b.writers, same)
}

// Begin begins a pass and returns how long it takes; ok is false where nothing is to be
// done or a pass runs.
func (b *Batch) Begin() (duration time.Duration, ok bool) {
	if b.inPass {
		return 0, false
	}
	b.admit()
	if len(b.running) == 0 {
		return 0, false
	}
	b.preempt()
	b.inPass = true
	writers, context := 0, 0
	for _, work := range b.running {
		if work.unread == 0 {
			writers++
			context += work.Prompt + work.written
		}
	}
	steps := max(1, b.spec.Stride)
	if writers == 0 {
		steps = 1
	}
	readTime := b.readPrompts(steps)
	b.writers = b.writers[:0]
	for _, work := range b.running {
		if work.unread == 0 {
			b.writers = append(b.writers, work)
		}
	}
	return readTime + time.Duration(steps)*stepTime(b.spec, max(1, writers), context), true
}

// admit lets those who wait into free slots.
func (b *Batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.spec.Slots {
		if b.memoryTokens > 0 && b.usedMemory()+b.waiting[0].Prompt > b.memoryTokens && len(b.running) > 0 {
			return
		}
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

// held returns the tokens in memory.
func (b *Batch) usedMemory() int {
	tokens := 0
	for _, work := range b.running {
		tokens += work.Prompt + work.written - work.unread
	}
	return tokens
}

// preempt puts the newest requests back while the pass would need more memory than
// there is.
func (b *Batch) preempt() {
	for b.memoryTokens > 0 && len(b.running) > 1 && b.usedMemory()+len(b.running)*max(1, b.spec.Stride) > b.memoryTokens {
		newest := slices.MaxFunc(b.running, func(left, right *Work) int { return cmp.Compare(left.arrival, right.arrival) })
		b.Remove(newest)
		newest.unread = newest.Prompt + newest.written
		i, _ := slices.BinarySearchFunc(b.waiting, newest, compareTurn)
		b.waiting = slices.Insert(b.waiting, i, newest)
	}
}

// read reads prompts in so many steps and returns the time that it takes.
func (b *Batch) readPrompts(steps int) time.Duration {
	budget := steps * b.chunkTokens()
	duration := time.Duration(0)
	for _, work := range b.running {
		if work.unread == 0 || budget == 0 {
			continue
		}
		tokens := min(budget, work.unread)
		read := work.Prompt + work.written - work.unread
		duration += Read(b.spec, read+tokens) - Read(b.spec, read)
		work.unread -= tokens
		budget -= tokens
	}
	return duration
}

// chunk returns the prompt tokens of one step.
func (b *Batch) chunkTokens() int {
	if b.spec.ChunkTokens <= 0 {
		return 1 << 30
	}
	return b.spec.ChunkTokens
}

// End ends the pass that runs: each that writes has up to a stride of tokens more.
// Those in done have their whole answer and left.
func (b *Batch) End() (writers, done []*Work) {
	b.inPass = false
	for _, work := range b.writers {
		work.lastPass = min(work.Answer-work.written, max(1, b.spec.Stride))
		work.written += work.lastPass
		writers = append(writers, work)
		if work.written >= work.Answer {
			done = append(done, work)
		}
	}
	for _, work := range done {
		b.Remove(work)
	}
	b.writers = b.writers[:0]
	return writers, done
}

// Clear drops all requests and the pass, as a crash or an order that cuts over does,
// and returns them.
func (b *Batch) Clear() []*Work {
	dropped := append(b.running, b.waiting...)
	b.running, b.waiting, b.writers, b.inPass = nil, nil, nil, false
	return dropped
}

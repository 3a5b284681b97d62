package engine

import (
	"cmp"
	"slices"
	"time"

	"comfreyrelay.example/relay/catalog"
)

// Work is a request at an engine.
type Work struct {
	Prompt int // tokens to read, including those already written elsewhere for a continued answer
	Answer int // tokens to write
	Rank   int // 0 is the most urgent

	unread   int // prompt tokens not read yet
	written  int
	lastPass int // tokens written in the last pass
	arrival  int // sequence number
}

// Written returns the number of tokens written.
func (w *Work) Written() int { return w.written }

// LastPassTokens returns the number of tokens written in the request's last pass.
func (w *Work) LastPassTokens() int { return w.lastPass }

// Batch is a discrete model of one engine. It admits waiting requests into slots, reads
// prompts in chunks between the steps of the writing requests, and reports after each
// pass which requests wrote: those that were writing before, and those whose prompt was
// finished in the pass. A pass in which no request writes yet has one step. A Batch does
// no I/O and reads no clock; the caller starts the next pass when the previous one has
// ended.
//
// If the memory for requests is declared as well, the newest request is put back when
// memory runs out, and is read again later.
type Batch struct {
	spec         *catalog.Engine
	maxWaiting   int // requests that may wait
	memoryTokens int // tokens of all running requests; 0 if unbounded

	waiting     []*Work
	running     []*Work
	nextArrival int
	// inPass is set during a pass. Requests added meanwhile wait for the next one.
	inPass  bool
	writers []*Work // requests that write in the current pass
}

// NewBatch returns an idle engine. maxWaiting is the number of requests that may wait for
// a slot. memoryTokens is the size of its memory in tokens, or 0 if it is unbounded.
func NewBatch(spec *catalog.Engine, maxWaiting, memoryTokens int) *Batch {
	return &Batch{spec: spec, maxWaiting: maxWaiting, memoryTokens: memoryTokens}
}

// Running returns the number of requests in slots.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns the number of requests waiting for a slot.
func (b *Batch) Waiting() int { return len(b.waiting) }

// Add adds a request and reports whether there was room for it.
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

// compareTurn orders waiting requests by rank, then by arrival.
func compareTurn(left, right *Work) int {
	return cmp.Or(cmp.Compare(left.Rank, right.Rank), cmp.Compare(left.arrival, right.arrival))
}

// Remove removes a request, even during a pass.
func (b *Batch) Remove(work *Work) {
	same := func(other *Work) bool { return other == work }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.running = slices.DeleteFunc(b.running, same)
	b.writers = slices.DeleteFunc(b.writers, same)
}

// Begin starts a pass and returns its duration. ok is false if there is nothing to do or
// a pass is in progress.
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
	steps := max(1, b.spec.StepsPerPass)
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

// admit moves waiting requests into free slots, as far as memory allows.
func (b *Batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.spec.Slots {
		if b.memoryTokens > 0 && b.usedMemory()+b.waiting[0].Prompt > b.memoryTokens && len(b.running) > 0 {
			return
		}
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

// usedMemory returns the number of tokens in memory.
func (b *Batch) usedMemory() int {
	tokens := 0
	for _, work := range b.running {
		tokens += work.Prompt + work.written - work.unread
	}
	return tokens
}

// preempt puts the newest requests back into the queue until the next pass fits into
// memory.
func (b *Batch) preempt() {
	for b.memoryTokens > 0 && len(b.running) > 1 && b.usedMemory()+len(b.running)*max(1, b.spec.StepsPerPass) > b.memoryTokens {
		newest := slices.MaxFunc(b.running, func(left, right *Work) int { return cmp.Compare(left.arrival, right.arrival) })
		b.Remove(newest)
		newest.unread = newest.Prompt + newest.written
		i, _ := slices.BinarySearchFunc(b.waiting, newest, compareTurn)
		b.waiting = slices.Insert(b.waiting, i, newest)
	}
}

// readPrompts reads prompts during the given number of steps and returns the time it
// takes.
func (b *Batch) readPrompts(steps int) time.Duration {
	budget := steps * b.chunkTokens()
	duration := time.Duration(0)
	for _, work := range b.running {
		if work.unread == 0 || budget == 0 {
			continue
		}
		tokens := min(budget, work.unread)
		read := work.Prompt + work.written - work.unread
		duration += ReadTime(b.spec, read+tokens) - ReadTime(b.spec, read)
		work.unread -= tokens
		budget -= tokens
	}
	return duration
}

// chunkTokens returns the number of prompt tokens read per step.
func (b *Batch) chunkTokens() int {
	if b.spec.ChunkTokens <= 0 {
		return 1 << 30
	}
	return b.spec.ChunkTokens
}

// End ends the current pass, in which each writer got up to StepsPerPass tokens.
// Requests in done have their whole answer and were removed.
func (b *Batch) End() (writers, done []*Work) {
	b.inPass = false
	for _, work := range b.writers {
		work.lastPass = min(work.Answer-work.written, max(1, b.spec.StepsPerPass))
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

// Clear removes all requests and aborts the pass, as a crash or a switch to another
// version does. It returns the removed requests.
func (b *Batch) Clear() []*Work {
	dropped := append(b.running, b.waiting...)
	b.running, b.waiting, b.writers, b.inPass = nil, nil, nil, false
	return dropped
}

package engine

import (
	"testing"
	"time"

	"comfreyrelay.example/relay/catalog"
)

// exampleSpec has times that are easy to add up: 10 ms per step, 0.1 ms to read a token.
var exampleSpec = &catalog.Engine{Slots: 2, StepsPerPass: 5, StepMillis: 10, PromptTokensPerSecond: 10000, ChunkTokens: 200}

// run runs passes until the engine is idle and returns the times of each request's events.
func run(b *Batch) map[*Work][]time.Duration {
	events := map[*Work][]time.Duration{}
	now := time.Duration(0)
	for {
		took, ok := b.Begin()
		if !ok {
			return events
		}
		now += took
		wrote, _ := b.End()
		for _, work := range wrote {
			events[work] = append(events[work], now)
		}
	}
}

// The model must reproduce what was observed on an idle engine of the platform with
// prompts of 106 to 3,920 tokens: the first event takes the reading and one step per
// prompt chunk, and each later event takes one pass.
func TestFirstEventOfIdleEngine(t *testing.T) {
	for _, test := range []struct {
		prompt int
		want   time.Duration
	}{{100, 20 * time.Millisecond}, {200, 30 * time.Millisecond}, {300, 50 * time.Millisecond}} {
		b := NewBatch(exampleSpec, 0, 0)
		work := &Work{Prompt: test.prompt, Answer: 15}
		b.Add(work)
		events := run(b)[work]
		if len(events) != 3 || events[0] != test.want {
			t.Errorf("prompt of %d: got events at %v, want three, the first at %v", test.prompt, events, test.want)
			continue
		}
		if got, want := events[2]-events[1], 50*time.Millisecond; got != want {
			t.Errorf("prompt of %d: got %v between events, want %v, one pass", test.prompt, got, want)
		}
	}
}

func TestRequestAddedDuringPassWaitsForNextPass(t *testing.T) {
	b := NewBatch(exampleSpec, 0, 0)
	first, second := &Work{Prompt: 100, Answer: 20}, &Work{Prompt: 100, Answer: 5}
	b.Add(first)
	if _, ok := b.Begin(); !ok {
		t.Fatal("got no pass, want one")
	}
	if !b.Add(second) {
		t.Fatal("got the second request refused, want a free slot")
	}
	if _, ok := b.Begin(); ok {
		t.Error("got a second pass during the first")
	}
	if wrote, _ := b.End(); len(wrote) != 1 || wrote[0] != first {
		t.Errorf("got %d requests that wrote, want only the first", len(wrote))
	}
	// The next pass reads the second prompt between the steps of the first request.
	if took, _ := b.Begin(); took != 60*time.Millisecond {
		t.Errorf("got a pass of %v, want 60ms: five steps and 100 tokens", took)
	}
	wrote, done := b.End()
	if len(wrote) != 2 || len(done) != 1 || done[0] != second {
		t.Errorf("got %d requests that wrote and %d done, want both, and only the second done", len(wrote), len(done))
	}
}

func TestBatchRespectsSlotsQueueAndRank(t *testing.T) {
	b := NewBatch(exampleSpec, 2, 0)
	var works []*Work
	for i := range 5 {
		work := &Work{Prompt: 10, Answer: 5, Rank: 5 - i}
		if got, want := b.Add(work), i < 4; got != want {
			t.Errorf("request %d: got accepted %v, want %v", i, got, want)
		}
		works = append(works, work)
	}
	b.Begin()
	if b.Running() != 2 || b.Waiting() != 2 {
		t.Errorf("got %d running and %d waiting, want two of each", b.Running(), b.Waiting())
	}
	_, done := b.End()
	if len(done) != 2 || done[0] != works[3] || done[1] != works[2] {
		t.Errorf("got other requests done first than the most urgent ones accepted")
	}
	b.Remove(works[0])
	if b.Waiting() != 1 {
		t.Errorf("got %d waiting after one was removed, want one", b.Waiting())
	}
	if left := b.Clear(); len(left) != 1 || left[0] != works[1] {
		t.Errorf("got %d removed, want the remaining one", len(left))
	}
}

// When memory runs out, the newest request is put back, and its prompt and the tokens
// that it wrote are read again.
func TestNewestRequestIsPreemptedWhenMemoryIsFull(t *testing.T) {
	b := NewBatch(exampleSpec, 0, 230)
	older, newer := &Work{Prompt: 100, Answer: 40}, &Work{Prompt: 100, Answer: 40}
	b.Add(older)
	b.Add(newer)
	events := run(b)
	if got := len(events[older]); got != 8 {
		t.Errorf("got %d events of the older request, want 8", got)
	}
	if got := len(events[newer]); got != 8 {
		t.Errorf("got %d events of the newer request, want 8", got)
	}
	last := func(list []time.Duration) time.Duration { return list[len(list)-1] }
	if last(events[newer]) <= last(events[older]) {
		t.Errorf("got the newer request done at %v, the older at %v, want the newer one later", last(events[newer]), last(events[older]))
	}
}

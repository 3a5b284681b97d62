package kvservice

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"comfreyrelay.example/relay/budget"
)

// Line counts the calls of one kind, key prefix and caller.
type Line struct {
	Kind   budget.Kind `json:"kind"`
	Prefix string      `json:"prefix"`
	Caller string      `json:"caller"`
	// Calls counts all calls, Refused those answered with 429 or 503.
	Calls   int `json:"calls"`
	Refused int `json:"refused"`
}

// Second counts the calls within one second of the clock.
type Second struct {
	At     time.Time `json:"at"`
	Reads  int       `json:"reads"`
	Writes int       `json:"writes"`
}

// Ledger is the body of GET /ledger.
type Ledger struct {
	Lines  []Line `json:"lines"`
	Reads  int    `json:"reads"`
	Writes int    `json:"writes"`
	// PeakReadsPerSecond and PeakWritesPerSecond are the most calls within one
	// second of the clock.
	PeakReadsPerSecond  int `json:"peakReadsPerSecond"`
	PeakWritesPerSecond int `json:"peakWritesPerSecond"`
	// Seconds holds the last 600 seconds that had calls, oldest first.
	Seconds []Second `json:"seconds"`
	// LostReplies counts the writes that took effect but got no reply.
	LostReplies int `json:"lostReplies"`
	// Revision is the store's current revision.
	Revision uint64 `json:"revision"`
}

const (
	maxSeconds = 600
	// maxLines limits the ledger's size if callers keep using new names.
	maxLines = 10000
)

type lineKey struct {
	kind           budget.Kind
	prefix, caller string
}

// callRecorder collects the figures of the Ledger.
type callRecorder struct {
	mu          sync.Mutex
	lines       map[lineKey]*Line
	seconds     []Second
	lostReplies int
}

func newCallRecorder() *callRecorder { return &callRecorder{lines: map[lineKey]*Line{}} }

// recordCall counts a call and returns its line. Once maxLines is reached, new
// callers share a line without a name.
func (b *callRecorder) recordCall(now time.Time, kind budget.Kind, key, caller string) *Line {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countSecond(now.Truncate(time.Second), kind)
	prefix, _, _ := strings.Cut(key, "/")
	at := lineKey{kind: kind, prefix: prefix, caller: caller}
	line, found := b.lines[at]
	if !found && len(b.lines) >= maxLines {
		at.caller = ""
		line, found = b.lines[at]
	}
	if !found {
		line = &Line{Kind: kind, Prefix: prefix, Caller: at.caller}
		b.lines[at] = line
	}
	line.Calls++
	return line
}

func (b *callRecorder) countSecond(at time.Time, kind budget.Kind) {
	if n := len(b.seconds); n == 0 || !b.seconds[n-1].At.Equal(at) {
		b.seconds = append(b.seconds, Second{At: at})
	}
	if extra := len(b.seconds) - maxSeconds; extra > 0 {
		b.seconds = b.seconds[extra:]
	}
	last := &b.seconds[len(b.seconds)-1]
	if kind.Writes() {
		last.Writes++
	} else {
		last.Reads++
	}
}

func (b *callRecorder) recordRefusal(line *Line) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line.Refused++
}

func (b *callRecorder) recordLostReply() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lostReplies++
}

func (b *callRecorder) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = map[lineKey]*Line{}
	b.seconds = nil
	b.lostReplies = 0
}

// report returns the ledger with its lines sorted by kind, prefix and caller.
func (b *callRecorder) report() Ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := Ledger{Lines: []Line{}, Seconds: slices.Clone(b.seconds), LostReplies: b.lostReplies}
	for _, line := range b.lines {
		out.Lines = append(out.Lines, *line)
		if line.Kind.Writes() {
			out.Writes += line.Calls
		} else {
			out.Reads += line.Calls
		}
	}
	slices.SortFunc(out.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Caller, b.Caller))
	})
	for _, second := range b.seconds {
		out.PeakReadsPerSecond = max(out.PeakReadsPerSecond, second.Reads)
		out.PeakWritesPerSecond = max(out.PeakWritesPerSecond, second.Writes)
	}
	return out
}

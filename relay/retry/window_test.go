package retry_test

import (
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyrelay.example/relay/retry"
)

// The limit that the simulated processes share.
const (
	testSpan  = 10 * time.Second
	testRatio = 0.2
	testSlack = 30.0
)

// simulation runs processes that share one limit, each with its own Window, and records what they
// receive and repeat.
type simulation struct {
	now       time.Time
	processes []*retry.Window
	requests  []time.Time
	repeats   []time.Time
}

func newSimulation(processes int) *simulation {
	s := &simulation{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	for range processes {
		s.processes = append(s.processes, nil)
	}
	for i := range s.processes {
		s.restart(i)
	}
	return s
}

// restart replaces a process by one that knows nothing of it.
func (s *simulation) restart(process int) { s.processes[process] = retry.NewWindow(testSpan) }

// request has a process receive a request, and send it again up to three times if it fails.
func (s *simulation) request(process int, fails bool) {
	window := s.processes[process]
	s.requests = append(s.requests, s.now)
	window.AddRequest(s.now)
	for range 3 {
		if !fails {
			return
		}
		if allowed, _ := window.AllowRepeat(s.now, testRatio, testSlack/float64(len(s.processes))); !allowed {
			return
		}
		s.repeats = append(s.repeats, s.now)
	}
}

// check compares the repeats in each span with the limit for the requests in that span, the one
// before, or the one half a span before, whichever has most.
func (s *simulation) check(t interface{ Fatalf(string, ...any) }) {
	for i, end := range s.repeats {
		start := end.Add(-testSpan)
		first := sort.Search(len(s.repeats), func(k int) bool { return s.repeats[k].After(start) })
		most := 0
		for _, back := range []time.Duration{0, testSpan / 2, testSpan} {
			most = max(most, s.requestsIn(start.Add(-back), end.Add(-back)))
		}
		if got, want := i-first+1, testRatio*float64(most)+testSlack; float64(got) > want {
			t.Fatalf("got %d repeats in %v up to %v, beside %d requests, want at most %.1f", got, testSpan, end.Sub(s.repeats[0]), most, want)
		}
	}
}

// requestsIn returns the number of requests after start and up to end.
func (s *simulation) requestsIn(start, end time.Time) int {
	first := sort.Search(len(s.requests), func(k int) bool { return s.requests[k].After(start) })
	last := sort.Search(len(s.requests), func(k int) bool { return s.requests[k].After(end) })
	return last - first
}

// Guards against repeats that are forgotten before a whole span is over: endpoints that fail twice,
// almost a span apart, get the limit both times within one span.
func TestRepeatsOfTwoSpellsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(1)
		gap := time.Duration(rapid.IntRange(10, 60).Draw(t, "gapMillis")) * time.Millisecond
		firstSpell := testSpan + time.Duration(rapid.IntRange(0, 3000).Draw(t, "firstMillis"))*time.Millisecond
		secondSpell := firstSpell + time.Duration(rapid.IntRange(5000, 11000).Draw(t, "apartMillis"))*time.Millisecond
		length := time.Duration(rapid.IntRange(300, 1500).Draw(t, "lengthMillis")) * time.Millisecond
		for since := time.Duration(0); since < 3*testSpan; since += gap {
			fails := since >= firstSpell && since < firstSpell+length || since >= secondSpell && since < secondSpell+length
			s.request(0, fails)
			s.now = s.now.Add(gap)
		}
		s.check(t)
	})
}

// Guards against processes that get their whole share of the limit again with each restart,
// whatever they sent before it.
func TestRepeatsOfRestartedProcessesStayWithinTheLimit(t *testing.T) {
	const processes = 5
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(processes)
		for range rapid.IntRange(1, 600).Draw(t, "events") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "gapMillis")) * time.Millisecond)
			process := rapid.IntRange(0, processes-1).Draw(t, "process")
			if rapid.IntRange(0, 19).Draw(t, "restarts") == 0 {
				s.restart(process)
			}
			s.request(process, rapid.Bool().Draw(t, "fails"))
		}
		s.check(t)
	})
}

// Guards against a limit that callers who move between processes can exceed: each process counts
// the same callers for a while.
func TestRepeatsForMovingCallersStayWithinTheLimit(t *testing.T) {
	const processes = 3
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(processes)
		gap := time.Duration(rapid.IntRange(10, 60).Draw(t, "gapMillis")) * time.Millisecond
		moveEvery := time.Duration(rapid.IntRange(2, 12).Draw(t, "moveSeconds")) * time.Second
		failEvery := time.Duration(rapid.IntRange(2, 12).Draw(t, "failSeconds")) * time.Second
		length := time.Duration(rapid.IntRange(100, 1500).Draw(t, "lengthMillis")) * time.Millisecond
		for since := time.Duration(0); since < 4*testSpan; since += gap {
			process := int(since/moveEvery) % processes
			s.request(process, since%failEvery > failEvery-length)
			s.now = s.now.Add(gap)
		}
		s.check(t)
	})
}

func TestRepeatsAreAllowedAgainAfterWindow(t *testing.T) {
	window := retry.NewWindow(10 * time.Second)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i, want := range []bool{true, false} {
		if got, _ := window.AllowRepeat(now, 0.2, 1); got != want {
			t.Errorf("repeat %d with a slack of one: got %v, want %v", i+1, got, want)
		}
	}
	if got, _ := window.AllowRepeat(now.Add(11*time.Second), 0.2, 1); !got {
		t.Errorf("got no repeat after the window, want one")
	}
}

package retry_test

import (
	"math"
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
	now       time.Duration
	processes []*retry.Window
	requests  []time.Duration
	repeats   []time.Duration
}

func newSimulation(processes int) *simulation {
	s := &simulation{processes: make([]*retry.Window, processes)}
	for i := range s.processes {
		s.restart(i)
	}
	return s
}

// restart replaces a process by one that knows nothing of it.
func (s *simulation) restart(process int) { s.processes[process] = retry.NewWindow(s.now) }

// request has a process receive a request, and send it again up to three times if it fails.
func (s *simulation) request(process int, fails bool) {
	window := s.processes[process]
	limit := retry.Limit{Ratio: testRatio, Slack: testSlack / float64(len(s.processes)), Span: testSpan}
	s.requests = append(s.requests, s.now)
	window.AddRequest(s.now, limit)
	for range 3 {
		if !fails {
			return
		}
		if allowed, _ := window.AllowRepeat(s.now, limit); !allowed {
			return
		}
		s.repeats = append(s.repeats, s.now)
	}
}

// check compares the repeats in each span with the limit for the requests in that span, the one
// before, or the one half a span before, whichever has most.
func (s *simulation) check(t interface{ Fatalf(string, ...any) }) {
	for i, end := range s.repeats {
		start := end - testSpan
		first := sort.Search(len(s.repeats), func(k int) bool { return s.repeats[k] > start })
		most := 0
		for _, back := range []time.Duration{0, testSpan / 2, testSpan} {
			most = max(most, s.requestsIn(start-back, end-back))
		}
		if got, want := i-first+1, testRatio*float64(most)+testSlack; float64(got) > want {
			t.Fatalf("got %d repeats in %v up to %v, beside %d requests, want at most %.1f", got, testSpan, end, most, want)
		}
	}
}

// requestsIn returns the number of requests after start and up to end.
func (s *simulation) requestsIn(start, end time.Duration) int {
	first := sort.Search(len(s.requests), func(k int) bool { return s.requests[k] > start })
	last := sort.Search(len(s.requests), func(k int) bool { return s.requests[k] > end })
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
			s.now += gap
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
			s.now += time.Duration(rapid.IntRange(0, 120).Draw(t, "gapMillis")) * time.Millisecond
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
			s.now += gap
		}
		s.check(t)
	})
}

// Repeats are earned by requests and by time, half of the limit in each span.
func TestRepeatsAreEarned(t *testing.T) {
	const span = 10 * time.Second
	for _, test := range []struct {
		name     string
		limit    retry.Limit
		requests int
		after    time.Duration // of the requests, until repeats are asked for
		want     int
	}{
		{"nothing at the start", retry.Limit{Ratio: 0.5, Slack: 40, Span: span}, 0, 0, 0},
		{"by requests", retry.Limit{Ratio: 0.5, Span: span}, 80, 0, 20},
		{"until just before they expire", retry.Limit{Ratio: 0.5, Span: span}, 80, span - 1, 20},
		{"not once they expired", retry.Limit{Ratio: 0.5, Span: span}, 80, span, 0},
		{"by time", retry.Limit{Slack: 40, Span: span}, 0, span / 2, 10},
		{"by no more time than a span", retry.Limit{Slack: 42, Span: span}, 0, 5*span - 1, 20},
	} {
		window := retry.NewWindow(0)
		for range test.requests {
			window.AddRequest(0, test.limit)
		}
		got := 0
		for allowed := true; allowed; got++ {
			allowed, _ = window.AllowRepeat(test.after, test.limit)
		}
		if got--; got != test.want {
			t.Errorf("%s: got %d repeats, want %d", test.name, got, test.want)
		}
	}
}

// A clock that fails returns the largest value, and may be right again later.
func TestWindowBearsAnyReadingOfItsClock(t *testing.T) {
	limit := retry.Limit{Ratio: 1, Slack: 10, Span: testSpan}
	window := retry.NewWindow(0)
	for _, now := range []time.Duration{0, time.Second, math.MaxInt64, math.MaxInt64, time.Second, 2 * time.Second} {
		window.AddRequest(now, limit)
		if _, left := window.AllowRepeat(now, limit); left < 0 || left > 2*limit.Slack {
			t.Errorf("got %.1f left at %v, want at most what two spans earn", left, now)
		}
	}
}

// After the span is changed, what was earned before it counts no more.
func TestChangedSpanStartsAnew(t *testing.T) {
	before := retry.Limit{Ratio: 1, Slack: 10, Span: 10 * time.Second}
	after := retry.Limit{Ratio: 1, Slack: 10, Span: 4 * time.Second}
	window := retry.NewWindow(0)
	for range 10 {
		window.AddRequest(9*time.Second, before)
	}
	if got, left := window.AllowRepeat(9*time.Second, after); got {
		t.Errorf("got %v with %.1f left, want none", got, left)
	}
	if got, left := window.AllowRepeat(11*time.Second, after); !got {
		t.Errorf("got %v with %.1f left after half a span, want one", got, left)
	}
}

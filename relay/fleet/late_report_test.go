package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyrelay.example/relay/fleet"
)

// Guards against requests that wait 1.2 s at each of several engines that don't answer, while
// healthy engines have capacity. The links of eight of a hundred hosts are slowed down for 7 s;
// their agents' reports arrive late or not at all, so that nothing is known to run there. Unknown
// must not mean idle.
func TestEngineWithoutTimelyReportsIsNotAssumedIdle(t *testing.T) {
	late := fleet.EngineState{Alive: true, Delay: 600 * time.Millisecond}
	for name, losesReports := range map[string]func(w *fixture){
		"silent": func(w *fixture) { w.now = w.now.Add(2 * time.Second) },
		"late":   func(w *fixture) { w.observeState(0, late) },
	} {
		for _, home := range []bool{true, false} {
			w := newFixture()
			for i := range 4 {
				w.registerEngine(i, 1)
			}
			w.observeState(0, fleet.EngineState{Alive: true})
			losesReports(w)
			for i := 1; i < 4; i++ {
				w.observeState(i, fleet.EngineState{Alive: true, Running: 10})
			}
			if home {
				w.assignAll()
			}
			sent := 0
			var probe *fleet.Grant
			for range 12 {
				if grant := w.pick(t, fleet.Need{Model: "m", Domain: "d1", Entries: 1}); grant.Address() == address(0) {
					sent++
					probe = grant
				}
			}
			want := map[bool]int{true: 1, false: 0}[home]
			if sent != want {
				t.Errorf("%s, home %v: got %d of 12 requests sent there, want %d", name, home, sent, want)
			}
			if probe == nil {
				continue
			}
			// Once the first request was served, two may be in progress at once.
			probe.Done(fleet.Served)
			sent = 0
			for range 8 {
				grant, verdict := w.fleet.Group("llm").Pick(fleet.Need{Model: "m", Domain: "d1", Entries: 1})
				if verdict == fleet.Granted && grant.Address() == address(0) {
					sent++
				}
			}
			if want := 2; sent != want {
				t.Errorf("%s: got %d requests in progress there after one was served, want %d", name, sent, want)
			}
		}
	}
}

// Guards against a request that starts on an old version after that version's end (VERSION of the
// platform's rules). A host's link is slow and its agent's report arrives 0.7 s late. 1.6 s before
// the end its home entry sends a request there as a probe; the request is held up 1.6 s in the link
// and starts 72 ms after the end, although the entry abandoned it before. A request sent shortly
// before an end must start at once, which is unknown for an engine with late reports.
func TestEngineWithLateReportsGetsNothingBeforeVersionEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		delay time.Duration
		want  fleet.Verdict
	}{"in time": {5 * time.Millisecond, fleet.Granted}, "late": {683 * time.Millisecond, fleet.Full}} {
		w := newFixture()
		for i := range 3 {
			w.registerEngine(i, 1)
			w.observeState(i, fleet.EngineState{Alive: true, Running: 16})
		}
		w.assignAll()
		w.observeState(0, fleet.EngineState{Alive: true, Delay: tc.delay})
		request := need
		request.SoonFloor, request.MaxPendingPrefill = 2, 4000
		if _, got := w.fleet.Group("llm").Pick(request); got != tc.want {
			t.Errorf("%s: got verdict %v, want %v", name, got, tc.want)
		}
	}
}

// An entry that gets reports from hardly any agent is cut off itself, or the agents are down:
// registered engines then serve as before.
func TestEntryWithoutAgentReportsUsesAllEngines(t *testing.T) {
	w := newFixture()
	for i := range 4 {
		w.registerEngine(i, 1)
	}
	used := map[string]bool{}
	for range 16 {
		used[w.pick(t, need).ID()] = true
	}
	if got, want := len(used), 4; got != want {
		t.Errorf("got %d engines used, want %d", got, want)
	}
}

// Guards against entries of other failure domains that overload an engine. Under 1.2 times the load
// that the engines can serve, 34 % of the requests sent to engines of other domains were late,
// against 4 % of those sent to engines of their own. Two slots of an engine become free; the
// entries of the two other domains learn of it at the same moment, and each has requests waiting.
// All see the same engine as the best and send there. The setup is three domains with three entries
// each, where the domain with the fewest engines gets the most requests.
func TestEntriesOfOtherDomainsDoNotOverloadAnEngine(t *testing.T) {
	domains := []string{"d1", "d2", "d3"}
	sent := map[string]int{}
	for _, domain := range domains[1:] {
		entries := []string{domain + "-a", domain + "-b", domain + "-c"}
		for _, self := range entries {
			w := newFixture()
			for i := range 12 {
				w.fleet.Register(fleet.Registration{ID: fmt.Sprintf("e-%d", i), Service: "llm", Address: address(i),
					FailureDomain: domains[i%3], Slots: 16, Loaded: map[string]uint64{"m": 1}})
			}
			w.assign(domain, self, entries...)
			for i := range 12 {
				w.observeState(i, fleet.EngineState{Alive: true, Running: 16})
			}
			w.observeState(0, fleet.EngineState{Alive: true, Running: 14})
			request := need
			request.Domain = domain
			if _, verdict := w.fleet.Group("llm").Pick(request); verdict == fleet.Granted {
				sent[domain]++
			}
			// A resumed request may go to any engine.
			request.Resumed = true
			if _, verdict := w.fleet.Group("llm").Pick(request); verdict != fleet.Granted {
				t.Errorf("%s: got verdict %v for a resumed request, want a grant", self, verdict)
			}
		}
	}
	for _, domain := range domains[1:] {
		if got, want := sent[domain], 1; got != want {
			t.Errorf("%s: got %d of 3 entries sending to the engine with free slots, want %d", domain, got, want)
		}
	}
}

// Guards against refusing half of the requests in the last 1.5 s before a version ends while
// engines have free slots. All engines have the version that ends; each entry is home to one or two
// of them, and only the home entry sends there. The other entries were excluded for as long as in
// the last moments, although at most three entries send to an engine and what they send starts
// within half a second.
func TestNonHomeEntriesSendToEngineWithEndingVersionInTime(t *testing.T) {
	for _, tc := range []struct {
		name   string
		ends   time.Duration
		unread int
		delay  time.Duration
		want   fleet.Verdict
	}{
		{"two seconds", 2 * time.Second, 400, 0, fleet.Granted},
		{"nearly over", 600 * time.Millisecond, 400, 0, fleet.Full},
		{"behind others", 2 * time.Second, 1200, 0, fleet.Full},
		{"late reports", 2 * time.Second, 400, 683 * time.Millisecond, fleet.Full},
	} {
		w := newFixture()
		for i := range 3 {
			w.registerEngine(i, 1)
			w.observeState(i, fleet.EngineState{Alive: true, Running: 16})
		}
		w.assign("d1", "self", "self", "a", "b")
		// This entry is home to one of the three, which is full.
		for i := range 3 {
			request := need
			request.SoonFloor, request.MaxPendingPrefill, request.VersionEndsIn = 2, 4000, tc.ends
			w.observeState(i, fleet.EngineState{Alive: true, Running: 3, PendingPrefill: tc.unread, Delay: tc.delay})
			grant, got := w.fleet.Group("llm").Pick(request)
			if grant != nil && grant.Home() {
				grant.Done(fleet.Served)
				w.observeState(i, fleet.EngineState{Alive: true, Running: 16})
				continue
			}
			if got != tc.want {
				t.Errorf("%s: got verdict %v, want %v", tc.name, got, tc.want)
			}
			w.observeState(i, fleet.EngineState{Alive: true, Running: 16})
		}
	}
}

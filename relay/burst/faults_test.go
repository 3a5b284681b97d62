package burst

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestFaults runs the scripts in testdata/faults. The arguments of a run set the simulation's
// options. Each input line is a fault at a given time, or the bounds that the run must keep; the
// output states which bounds were kept and the value that missed one. Dead hosts stay in every
// host's list of peers for the whole run, as if the list lagged.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, td *datadriven.TestData) string {
		cfg := simConfig{hosts: 45, chunks: 96, copyWindow: 24 * time.Second, seed: 1, originCopies: 2}
		for _, arg := range td.CmdArgs {
			setSimOption(t, &cfg, arg.Key, arg.Vals[0])
		}
		s := newSim(cfg)
		var bounds []string
		for _, line := range strings.Split(strings.TrimSpace(td.Input), "\n") {
			if rest, ok := strings.CutPrefix(line, "expect "); ok {
				bounds = strings.Fields(rest)
				continue
			}
			planFault(t, s, strings.Fields(line))
		}
		s.run()
		t.Logf("%s: %v draws=%d requests=%d", td.Pos, s.result(), s.peakOriginFetches, s.originRequests)
		return checkBounds(t, s, bounds)
	})
}

func setSimOption(t *testing.T, cfg *simConfig, key, value string) {
	t.Helper()
	var err error
	switch key {
	case "hosts":
		cfg.hosts, err = strconv.Atoi(value)
	case "chunks":
		cfg.chunks, err = strconv.Atoi(value)
	case "window":
		cfg.copyWindow, err = time.ParseDuration(value)
	case "limit":
		cfg.limit, err = time.ParseDuration(value)
	case "corrupt":
		cfg.corrupt, err = strconv.ParseFloat(value, 64)
	case "objective":
		cfg.objective = value
	case "copies":
		cfg.originCopies, err = strconv.Atoi(value)
	case "shared":
		cfg.shared, err = strconv.ParseBool(value)
	default:
		t.Fatalf("unknown argument %q", key)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// planFault schedules a fault such as "at 3s kill 6".
func planFault(t *testing.T, s *sim, words []string) {
	t.Helper()
	if len(words) < 4 || words[0] != "at" {
		t.Fatalf("got %q, want: at TIME FAULT OBJECT", words)
	}
	at, err := time.ParseDuration(words[1])
	if err != nil {
		t.Fatal(err)
	}
	s.scheduleFault(at, func() { s.applyFault(t, words[2], words[3]) })
}

func (s *sim) applyFault(t *testing.T, fault, target string) {
	switch fault {
	case "origin":
		s.applyOriginFault(t, target)
	case "cut":
		s.partitioned = func(a, b *simHost) bool { return (a.peer.Region == target) != (b.peer.Region == target) }
		s.isolated = func(host *simHost) bool { return host.peer.Region == target }
	case "join":
		s.partitioned, s.isolated = nil, nil
	case "killDomain":
		for _, host := range s.hosts {
			if host.peer.FailureDomain == target {
				s.kill(host)
			}
		}
	default:
		s.applyHostFaults(t, fault, target)
	}
}

func (s *sim) applyOriginFault(t *testing.T, state string) {
	const copiesPerWindow = 4 // copies that the origin's link carries in copyWindow
	s.originFault = nil
	piece := s.cfg.copyWindow / time.Duration(s.cfg.chunks*piecesPerChunk) / copiesPerWindow
	switch state {
	case "up":
	case "down":
		s.originFault = func(time.Duration) (Cause, time.Duration) { return Broken, 0 }
	case "refuses":
		s.originFault = func(time.Duration) (Cause, time.Duration) { return Busy, 2 * time.Second }
	case "slow":
		piece *= 10
	default:
		t.Fatalf("got origin state %q, want up, down, refuses or slow", state)
	}
	s.origin.link.pieceTime = piece
}

// applyHostFaults applies a fault to the given number of random hosts that no other fault affects.
func (s *sim) applyHostFaults(t *testing.T, fault, number string) {
	count, err := strconv.Atoi(number)
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range s.rng.Perm(len(s.hosts)) {
		host := s.hosts[i]
		if count == 0 {
			return
		}
		if host.dead && host.incarnation > 0 || host.stalled || host.slowed || host.corrupts {
			continue
		}
		count--
		s.applyHostFault(t, fault, host)
	}
}

func (s *sim) applyHostFault(t *testing.T, fault string, host *simHost) {
	switch fault {
	case "kill":
		s.kill(host)
	case "restart":
		s.kill(host)
		s.schedule(500*time.Millisecond, func() { s.start(host) })
	case "stall":
		host.stalled = true
	case "stallFor3s":
		host.stalled = true
		s.scheduleFault(s.now+3*time.Second, func() {
			host.stalled = false
			s.pump(host.sender, host)
		})
	case "slow":
		host.slowed = true
		host.sender.link.pieceTime *= 10
		host.downlink.pieceTime *= 10
	case "mute":
		host.mute = true
	case "corruptAll":
		host.corrupts = true
	default:
		t.Fatalf("unknown fault %q", fault)
	}
}

// checkBounds checks bounds such as "ratio<=1.60" and returns the result of each.
func checkBounds(t *testing.T, s *sim, bounds []string) string {
	t.Helper()
	var out strings.Builder
	res := s.result()
	complete, live := s.countComplete()
	if complete < live {
		fmt.Fprintf(&out, "whole: %d of %d\n", complete, live)
	} else {
		fmt.Fprintln(&out, "whole: all")
	}
	got := map[string]float64{
		"ratio": res.ratio, "copies": res.copies, "draws": float64(s.peakOriginFetches), "requests": float64(s.originRequests),
	}
	for _, bound := range bounds {
		name, limit, _ := strings.Cut(bound, "<=")
		maximum, err := strconv.ParseFloat(limit, 64)
		if err != nil {
			t.Fatal(err)
		}
		if got[name] > maximum {
			fmt.Fprintf(&out, "%s: missed with %.3f\n", bound, got[name])
		} else {
			fmt.Fprintf(&out, "%s: kept\n", bound)
		}
	}
	return out.String()
}

// countComplete counts the live hosts with working links, which must complete the version, and
// those of them that did.
func (s *sim) countComplete() (complete, live int) {
	for _, host := range s.hosts {
		if host.dead || host.stalled || host.slowed {
			continue
		}
		live++
		if host.completeAt > 0 {
			complete++
		}
	}
	return complete, live
}

package rollout_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/rollout"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestScripts runs testdata/rollout. Each line of a "declared" block holds a version
// and the time of its declaration in seconds. The bound is 8 s, a fetch takes 2.6 s.
func TestScripts(t *testing.T) {
	var history []rollout.Declared
	move := rollout.TransferTimes{Host: 2600 * time.Millisecond, Load: 300 * time.Millisecond}
	datadriven.RunTest(t, "testdata/rollout", func(t *testing.T, td *datadriven.TestData) string {
		const bound = 8 * time.Second
		arg := func(key string) float64 {
			var text string
			td.ScanArgs(t, key, &text)
			number, err := strconv.ParseFloat(text, 64)
			if err != nil {
				t.Fatal(err)
			}
			return number
		}
		switch td.Cmd {
		case "declared":
			history = nil
			for _, line := range strings.Split(strings.TrimSpace(td.Input), "\n") {
				var version uint64
				var second float64
				if _, err := fmt.Sscan(line, &version, &second); err != nil {
					t.Fatal(err)
				}
				history = append(history, rollout.Declared{Version: version, At: at(second)})
			}
			return "ok"
		case "floor":
			return fmt.Sprint(rollout.Floor(history, at(arg("now")), bound))
		case "origin":
			// From here on the origin takes this long to send a version.
			move.Origin = time.Duration(arg("seconds") * float64(time.Second))
			return "ok"
		case "target":
			host := rollout.Fetch{Loaded: uint64(arg("loaded")), Current: uint64(arg("current")), Complete: td.HasArg("whole")}
			if td.HasArg("now") {
				host.Now = at(arg("now"))
			}
			host.Progress = progressOf(t, td)
			return fmt.Sprint(rollout.Target(history, host, bound, move))
		case "start":
			deadline, ok := rollout.Deadline(history, uint64(arg("loaded")), bound)
			if !ok {
				return "no deadline"
			}
			loadStart := rollout.Start(history[len(history)-1].At, deadline, move, arg("place"))
			return fmt.Sprintf("%.2f of %.2f", loadStart.Sub(start).Seconds(), deadline.Sub(start).Seconds())
		}
		t.Fatalf("unknown command %s", td.Cmd)
		return ""
	})
}

// progressOf reads "progress=(VERSION:DRAWN:HELD, ...)".
func progressOf(t *testing.T, td *datadriven.TestData) []rollout.Progress {
	var found []rollout.Progress
	for _, arg := range td.CmdArgs {
		if arg.Key != "progress" {
			continue
		}
		for _, text := range arg.Vals {
			var item rollout.Progress
			if _, err := fmt.Sscanf(text, "%d:%f:%f", &item.Version, &item.SentByOrigin, &item.Received); err != nil {
				t.Fatalf("%s: %v", text, err)
			}
			found = append(found, item)
		}
	}
	return found
}

// TestTurnsAreSpreadAndKeepTheDeadline checks that three of four hosts complete
// their load before the deadline and that hosts begin in the order of their places.
func TestTurnsAreSpreadAndKeepTheDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(4, 400).Draw(t, "hosts")
		load := time.Duration(rapid.IntRange(0, 1000).Draw(t, "loadMillis")) * time.Millisecond
		deadline := at(8)
		before := time.Time{}
		onTime := 0
		for i := range hosts {
			loadStart := rollout.Start(start, deadline, rollout.TransferTimes{Host: 2600 * time.Millisecond, Load: load}, float64(i)/float64(hosts))
			if loadStart.Before(before) {
				t.Fatalf("got host %d before host %d, want the order of places", i, i-1)
			}
			before = loadStart
			if loadStart.Add(load).Before(deadline) {
				onTime++
			}
		}
		if 4*onTime < 3*hosts-4 {
			t.Errorf("got %d of %d hosts in time, want three of four", onTime, hosts)
		}
	})
}

func TestPlacesDifferAndStay(t *testing.T) {
	hosts := []string{"a", "b", "c", "d"}
	seen := map[float64]bool{}
	for _, host := range hosts {
		seen[rollout.Place(host, hosts)] = true
	}
	if got, want := len(seen), len(hosts); got != want {
		t.Errorf("got %d places, want %d", got, want)
	}
	if got, want := rollout.Place("e", hosts), rollout.Place("e", append(hosts, "e")); got != want {
		t.Errorf("got place %v for a host that the list lacks, want %v", got, want)
	}
}

func TestPlacesAreThoseOfEachHost(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	places := rollout.Places(hosts)
	for _, host := range hosts {
		if got, want := places[host], rollout.Place(host, hosts); got != want {
			t.Errorf("got place %v for %s, want %v", got, host, want)
		}
	}
}

// Guards against requests that fail because two loads in a row interrupt them, and
// against hosts that postpone their loads until all load at once or too late.
func TestTurnPassesForWhatALoadWouldEndForGood(t *testing.T) {
	move := rollout.TransferTimes{Load: time.Second}
	for _, item := range []struct {
		name            string
		turn, now, ends float64
		want            bool
	}{
		{"at its start time", 2, 2, 8, true},
		{"shortly after its start time", 2, 3.1, 8, true},
		{"postponed for too long", 2, 3.3, 8, false},
		{"latest start before the deadline has passed", 6, 6.4, 8, false},
	} {
		if got := rollout.MayPostpone(at(item.now), at(item.turn), at(item.ends), move); got != item.want {
			t.Errorf("%s: got %v, want %v", item.name, got, item.want)
		}
	}
}

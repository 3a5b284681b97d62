package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/wire"
)

// fixture holds the table of one entry and the inputs that a script changes.
type fixture struct {
	table   *Table
	now     time.Time
	drained map[string]bool
	lost    map[string]bool
}

func newFixture() *fixture {
	return &fixture{
		table:   New(DefaultLimits()),
		now:     time.Date(2026, 1, 7, 9, 0, 0, 0, time.UTC),
		drained: map[string]bool{},
		lost:    map[string]bool{},
	}
}

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := newFixture()
		datadriven.RunTest(t, path, func(t *testing.T, cmd *datadriven.TestData) string { return sc.run(t, cmd) })
	})
}

func (s *fixture) run(t *testing.T, cmd *datadriven.TestData) string {
	text := func(key, fallback string) string {
		cmd.MaybeScanArgs(t, key, &fallback)
		return fallback
	}
	number := func(key string) int {
		value := 0
		cmd.MaybeScanArgs(t, key, &value)
		return value
	}
	node := &wire.Node{Id: text("id", ""), Incarnation: text("incarnation", "i1"), Role: text("role", "agent")}
	switch cmd.Cmd {
	case "host":
		updated := s.table.ObserveHost(&wire.HostReport{
			Node: node, Sequence: uint64(number("sequence")), Leaving: cmd.HasArg("leaving"), Lost: cmd.HasArg("lost"),
			Home: text("home", "self"), AgeMillis: uint32(number("ageMillis")),
		}, s.now)
		return fmt.Sprintf("updated: %t\n", updated)
	case "entry":
		node.Role = "entry"
		updated := s.table.ObserveEntry(&wire.EntryReport{Node: node, Sequence: uint64(number("sequence")), Draining: cmd.HasArg("draining")}, s.now)
		return fmt.Sprintf("updated: %t\n", updated)
	case "list":
		s.list(cmd)
	case "drain":
		s.drained[node.GetId()] = !cmd.HasArg("back")
	case "lostEntry":
		s.lost[node.GetId()] = true
	case "wait":
		s.now = s.now.Add(time.Duration(number("seconds")) * time.Second)
	case "paused":
		s.now = s.now.Add(time.Duration(number("seconds")) * time.Second)
		s.table.ShiftLastSeen(time.Duration(number("seconds")) * time.Second)
	case "show":
	default:
		t.Fatalf("unknown command %s", cmd.Cmd)
	}
	return s.show()
}

// list runs a command such as "list live=(a,b) leaving=(c)".
func (s *fixture) list(cmd *datadriven.TestData) {
	var listed []Listed
	for _, arg := range cmd.CmdArgs {
		for _, id := range arg.Vals {
			listed = append(listed, Listed{Node: &wire.Node{Id: id, Role: "agent"}, State: arg.Key})
		}
	}
	s.table.ObserveList(listed, len(listed), s.now)
}

func (s *fixture) show() string {
	var out strings.Builder
	outlook := ExternalState{Self: "self", Drained: s.drained, LostEntries: s.lost, HostCount: 10}
	hosts := s.table.Hosts(s.now, outlook)
	SortHosts(hosts)
	for _, host := range hosts {
		fmt.Fprintf(&out, "%s/%s%s\n", host.Report().GetNode().GetId(), host.Report().GetNode().GetIncarnation(), statusText(host.Leaving(), host.Lost()))
	}
	entries := s.table.Entries(s.now, 2)
	SortEntries(entries)
	for _, entry := range entries {
		fmt.Fprintf(&out, "entry %s/%s%s\n", entry.Report().GetNode().GetId(), entry.Report().GetNode().GetIncarnation(), statusText(entry.Leaving(), entry.Lost()))
	}
	return out.String()
}

func statusText(leaving, lost bool) string {
	out := ""
	if leaving {
		out += " leaving"
	}
	if lost {
		out += " lost"
	}
	if out == "" {
		return " usable"
	}
	return out
}

// TestOrderOfReportsDoesNotMatter checks that the newest report of the newest
// incarnation wins, since reports reach an entry over several paths, in any order
// and more than once.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := newFixture()
		newest := &wire.HostReport{}
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			report := &wire.HostReport{
				Node:     &wire.Node{Id: "a", Incarnation: fmt.Sprintf("i%d", rapid.IntRange(1, 3).Draw(t, "incarnation"))},
				Sequence: uint64(rapid.IntRange(1, 5).Draw(t, "sequence")),
			}
			if newest.GetNode() == nil || Newer(report.GetNode().GetIncarnation(), report.GetSequence(),
				newest.GetNode().GetIncarnation(), newest.GetSequence()) {
				newest = report
			}
			sc.table.ObserveHost(report, sc.now)
		}
		stored := sc.table.Hosts(sc.now, ExternalState{})[0].Report()
		if stored.GetNode().GetIncarnation() != newest.GetNode().GetIncarnation() || stored.GetSequence() != newest.GetSequence() {
			t.Fatalf("got %s/%d, want %s/%d", stored.GetNode().GetIncarnation(), stored.GetSequence(),
				newest.GetNode().GetIncarnation(), newest.GetSequence())
		}
	})
}

package sitesoak

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"comfreyrelay.example/bench/internal/site"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/failure"
)

// TestChecks runs testdata/checks. Each input line is a recorded event with times in seconds,
// and the output lists the violated rules.
//
//	strike KIND MEMBER FROM TO
//	stop ENTRY AT
//	version NUMBER AT
//	revoked KEY AT
//	try ID route=NAME entry=NAME sent=S ended=S status=N [whole] [left] [broken] [key=KEY] [wrong]
//	run ID endpoint=NAME arrived=S [began=S] [ended=S] end=END [version=N]
//	load ENGINE VERSION AT [bad]
//	leave ENDPOINT AT
//	change AT [probe0]
//	probe ENTRY SENT there|absent
func TestChecks(t *testing.T) {
	datadriven.RunTest(t, "testdata/checks", func(t *testing.T, d *datadriven.TestData) string {
		j := newScriptedRun()
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			if err := j.apply(strings.Fields(line)); err != nil {
				t.Fatalf("%s: %q: %v", d.Pos, line, err)
			}
		}
		result := Result{Failures: map[string]int{}}
		j.run.checkRecords(&result)
		var out strings.Builder
		for _, rule := range slices.Sorted(maps.Keys(result.Broken)) {
			fmt.Fprintf(&out, "%s %d\n", rule, result.Broken[rule])
		}
		if out.Len() == 0 {
			return "nothing\n"
		}
		return out.String()
	})
}

// scriptedRun is a run assembled from the lines of a script.
type scriptedRun struct {
	run     *run
	callers *callers
}

func newScriptedRun() *scriptedRun {
	var members []*site.Member
	for _, kind := range []string{site.Store, site.Entry, site.Engine, site.App, site.Agent} {
		for i := range 2 {
			members = append(members, &site.Member{Kind: kind, Name: fmt.Sprint(kind, i), ID: fmt.Sprint(kind, i), IP: fmt.Sprintf("127.0.0.%d", i+1)})
		}
	}
	r := &run{broken: map[string]int{}, site: site.Of(members), operator: &operator{routes: routes(), revoked: map[string]time.Time{}}}
	group := newCallers("d1", nil, 1)
	r.callers = []*callers{group}
	return &scriptedRun{run: r, callers: group}
}

func (j *scriptedRun) member(name string) *site.Member {
	if name == "all" {
		return nil
	}
	for _, kind := range []string{site.Store, site.Entry, site.Engine, site.App, site.Agent} {
		for _, m := range j.run.site.Members(kind) {
			if m.Name == name {
				return m
			}
		}
	}
	panic("no member " + name)
}

func parseTime(text string) time.Time {
	var seconds float64
	if _, err := fmt.Sscan(text, &seconds); err != nil {
		panic(err)
	}
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// fields splits words like "sent=2" and "whole" into names and values.
func fields(words []string) map[string]string {
	found := map[string]string{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		found[name] = value
	}
	return found
}

func (j *scriptedRun) apply(words []string) error {
	r := j.run
	switch words[0] {
	case "strike":
		r.faultLog = append(r.faultLog, &faultRecord{kind: kind(words[1]), member: j.member(words[2]), from: parseTime(words[3]), to: parseTime(words[4])})
	case "stop":
		from := parseTime(words[2])
		r.stops.list = append(r.stops.list, faultRecord{member: j.member(words[1]), from: from, to: from.Add(bounds.Grace + time.Second)})
	case "version":
		var number uint64
		if _, err := fmt.Sscan(words[1], &number); err != nil {
			return err
		}
		r.operator.declaredVersions = append(r.operator.declaredVersions, declaredVersion{version: number, from: parseTime(words[2]), at: parseTime(words[2])})
	case "revoked":
		r.operator.revoked[words[1]] = parseTime(words[2])
	case "try":
		return j.addTry(words[1], fields(words[2:]))
	case "run":
		return j.addRun(words[1], fields(words[2:]))
	case "load":
		load := platformtest.Load{At: parseTime(words[3]).UnixNano(), Digest: "bad"}
		if _, err := fmt.Sscan(words[2], &load.Version); err != nil {
			return err
		}
		r.loads = append(r.loads, engineLoad{Load: load, member: j.member(words[1])})
	case "leave", "removed":
		r.departures = append(r.departures, departure{endpoint: words[1], at: parseTime(words[2]), removed: words[0] == "removed"})
	case "change":
		r.operator.changes = append(r.operator.changes, configChange{sentAt: parseTime(words[1]), ackedAt: parseTime(words[1]), probes: [probeRoutes]bool{len(words) > 2}})
	case "probe":
		sent := parseTime(words[2])
		r.probes = append(r.probes, probe{entry: j.member(words[1]), sent: sent, ended: sent, routeExists: words[3] == "there"})
	default:
		return fmt.Errorf("%s is unknown", words[0])
	}
	return nil
}

func (j *scriptedRun) addTry(id string, values map[string]string) error {
	nanos := func(name string) int64 { return parseTime(values[name]).UnixNano() }
	try := &Try{ID: id, Entry: j.member(values["entry"]).Callers(), Key: values["key"], Sent: nanos("sent"), Ended: nanos("ended"), Deadline: 6 * time.Second}
	if _, err := fmt.Sscan(values["status"], &try.Status); err != nil {
		return err
	}
	if _, cut := values["cutWhileSending"]; !cut {
		try.SentWhole = try.Sent
	}
	_, try.Whole = values["whole"]
	_, try.Left = values["left"]
	if _, broken := values["broken"]; broken {
		try.Broken = "EOF"
	}
	if _, wrong := values["wrong"]; wrong {
		try.Wrong = "another's"
	}
	for _, known := range j.run.operator.routes {
		if known.name == values["route"] {
			try.request = &request{route: known}
			try.Route = known.name
		}
	}
	j.callers.tries = append(j.callers.tries, try)
	return nil
}

func (j *scriptedRun) addRun(id string, values map[string]string) error {
	execution := platformtest.Run{ID: id, Endpoint: values["endpoint"], Arrived: parseTime(values["arrived"]).UnixNano(), End: platformtest.End(values["end"])}
	for name, into := range map[string]*int64{"began": &execution.Began, "ended": &execution.Ended} {
		if values[name] != "" {
			*into = parseTime(values[name]).UnixNano()
		}
	}
	if values["version"] != "" {
		if _, err := fmt.Sscan(values["version"], &execution.Version); err != nil {
			return err
		}
	}
	j.run.runs = append(j.run.runs, execution)
	return nil
}

// TestPlanRepeats checks that a plan depends only on its arguments and that an hour's plan has
// events of every kind.
func TestPlanRepeats(t *testing.T) {
	counts := map[string]int{site.Entry: 9, site.Agent: 14, site.Engine: 14, site.App: 3, site.Store: 1, site.Origin: 1}
	from := slices.Concat(planned, hiccups, faults, silences, agentFreezes, hostFreezes, copies, anything)
	first, second := drawEvents(3, time.Hour, time.Second, from, counts, maxBusyFraction), drawEvents(3, time.Hour, time.Second, from, counts, maxBusyFraction)
	if !slices.Equal(first, second) {
		t.Error("got two different plans for one seed, want the same")
	}
	seen := map[kind]bool{}
	for _, event := range first {
		seen[event.kind] = true
	}
	wanted := map[kind]bool{} // a kind may stand in several sets
	for _, rule := range from {
		wanted[rule.kind] = true
	}
	if got, want := len(seen), len(wanted); got != want {
		t.Errorf("got %d kinds in an hour, want %d", got, want)
	}
}

// A misspelt kind must not give a run without events.
func TestUnknownKindIsAnError(t *testing.T) {
	if _, err := Run(t.Context(), Options{Kinds: []string{"killApp", "lateCopy"}}); failure.KindOf(err) != failure.Invalid {
		t.Errorf("got %v, want an error of kind Invalid", err)
	}
}

// binEnv names the environment variable, set by make, that holds the directory of the built
// programs.
const binEnv = "COMFREY_BIN"

// TestShortSoak runs eleven seeds: one with planned operations and hiccups, one with faults too, one
// with the failures that strain the retry budget, one with connections to the store that go
// silent, one with answers of endpoints that belong to no request, one with answers that mislead
// about what ran, one with these, kills, pauses and links of plain endpoints, one with agents that
// stand still right after a staged chunk was corrupted, one with changes of a large
// configuration that all entries read over one link, one with late copies of answers and former
// registrations, and one with random answers.
func TestShortSoak(t *testing.T) {
	bin := os.Getenv(binEnv)
	if bin == "" {
		t.Skip("the programs are not built: run make test")
	}
	for name, options := range map[string]Options{
		"planned and hiccups": {Seed: 3, Planned: true, Hiccups: true},
		"all":                 {Seed: 5, Planned: true, Hiccups: true, Faults: true},
		"failures":            {Seed: 1, Failures: true},
		"silences":            {Seed: 69, Planned: true, Silences: true},
		"answers":             {Seed: 4, Planned: true, Answers: true},
		"misleading":          {Seed: 5, Planned: true, Misleading: true},
		"apps":                {Seed: 3, Planned: true, Answers: true, Misleading: true, AppFaults: true, Gap: 350 * time.Millisecond},
		"agent freezes":       {Seed: 1, AgentFreezes: true},
		"large changes":       {Seed: 1, LargeChanges: true, Entries: 15, Gap: 3 * time.Second},
		"copies":              {Seed: 1, Copies: true, Entries: 3, Load: 2, Gap: 400 * time.Millisecond},
		"anything":            {Seed: 1, Anything: true, Entries: 3, Load: 2, Gap: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			options.Bin, options.Log, options.Progress = bin, io.Discard, slog.New(slog.DiscardHandler)
			options.Length, options.Gap, options.Load = 25*time.Second, cmp.Or(options.Gap, 700*time.Millisecond), cmp.Or(options.Load, 0.6)
			options.Entries, options.Engines = cmp.Or(options.Entries, 6), 8
			result, err := Run(t.Context(), options)
			if err != nil {
				t.Fatal(err)
			}
			if len(result.Broken) > 0 || result.Served == 0 {
				t.Errorf("got %d served and rules broken %v, %v; want some and none", result.Served, result.Broken, result.Examples)
			}
		})
	}
}

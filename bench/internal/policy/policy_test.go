package policy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/failure"
)

// small returns the built-in load with few machines and a short duration.
func smallLoad(t *testing.T, entries, engines int) *Load {
	t.Helper()
	load, err := DefaultLoad().Sized(entries, engines, 3)
	if err != nil {
		t.Fatal(err)
	}
	load.Seconds, load.WarmSeconds = 14, 2
	return load
}

func options(rate float64, without ...string) Options {
	opts := Options{Seed: 1, Rate: rate, Shares: deal.DefaultShares, Gaps: DefaultGaps, Without: map[string]bool{}}
	for _, name := range without {
		opts.Without[name] = true
	}
	return opts
}

func TestSameSeedGivesEqualResults(t *testing.T) {
	for _, without := range [][]string{nil, {"forecast"}, {"states", "dealing"}, {"homes", "unread", "reading"}} {
		first, second := Simulate(smallLoad(t, 9, 24), options(0.8, without...)), Simulate(smallLoad(t, 9, 24), options(0.8, without...))
		first.WallSeconds, second.WallSeconds = 0, 0
		if got, want := mustMarshal(t, first), mustMarshal(t, second); got != want {
			t.Errorf("without %v: got %s and %s, want equal results", without, got, want)
		}
	}
}

// Guards against requests that never end or are counted twice: the shares of the
// outcomes must add up to 1.
func TestEveryRequestEnds(t *testing.T) {
	load := smallLoad(t, 9, 24)
	load.Events = []Event{
		{Kind: "dark", AtSeconds: 3, ForSeconds: 2, Share: 0.2}, {Kind: "slow", AtSeconds: 3, ForSeconds: 4, Share: 0.2, Factor: 4},
		{Kind: "load", AtSeconds: 4, ForSeconds: 3}, {Kind: "add", AtSeconds: 2, ForSeconds: 2, Share: 0.5},
		{Kind: "gone", AtSeconds: 5, Share: 0.1}, {Kind: "burst", AtSeconds: 6, ForSeconds: 1, Factor: 1.5},
	}
	s := newSim(load, options(1))
	s.run()
	asked := 0
	for _, counts := range s.tally.byClass {
		asked += counts.total()
	}
	if got := s.tally.all.total(); got == 0 || got != asked {
		t.Errorf("got %d ended requests in total and %d summed over classes, want equal counts above 0", got, asked)
	}
	if minWorth := 0.0; s.tally.maxWorth <= minWorth || s.tally.worth > s.tally.maxWorth {
		t.Errorf("got worth %v of at most %v, want a positive maximum that is not exceeded", s.tally.worth, s.tally.maxWorth)
	}
	result := s.tally.result()
	if sum := result.InAim + result.Late + result.Refused + result.Failed; sum < 0.999 || sum > 1.001 {
		t.Errorf("got outcome shares that add up to %v, want 1", sum)
	}
}

// Guards against engines that saturate at three quarters of their capacity. This
// happened when all entries of a failure domain sent to all its engines: twenty
// entries saw the same free slot in a state 20 to 50 ms old, each sent its next
// request there, and the prompts queued behind one another. The load has 60 entries
// and 141 engines in three domains at the limit of what the engines can serve,
// prompts of 600 to 1,300 tokens and targets of 500 to 800 ms.
func TestLimitedSendersServeMoreInAimThanAll(t *testing.T) {
	load := smallLoad(t, 60, 141)
	limited, all := options(0.68), options(0.68)
	all.Shares = deal.Shares{Near: 1000, Senders: 1000, Far: deal.DefaultShares.Far}
	got, baseline := Simulate(load, limited), Simulate(load, all)
	if got.InAim < baseline.InAim+0.02 {
		t.Errorf("got share %.3f in aim with limited senders and %.3f with all, want at least 0.02 more", got.InAim, baseline.InAim)
	}
	if got.StatesPerS > baseline.StatesPerS/2 {
		t.Errorf("got %.0f state messages per entry and second with limited senders and %.0f with all, want at most half", got.StatesPerS, baseline.StatesPerS)
	}
}

// Guards against a message rate per entry that grows with the size of the fleet.
func TestMessageRatePerEntryDoesNotGrowWithFleet(t *testing.T) {
	base := Simulate(smallLoad(t, 18, 42), options(0.5))
	grown := Simulate(smallLoad(t, 72, 168), options(0.5))
	if got, bound := grown.MessagesPerS, 1.25*base.MessagesPerS; got > bound {
		t.Errorf("got %.0f messages per entry and second at four times the size, want at most %.0f", got, bound)
	}
	if grown.InAim < base.InAim-0.01 {
		t.Errorf("got share %.3f in aim at four times the size and %.3f at the base size, want at most 0.01 less", grown.InAim, base.InAim)
	}
}

func TestParseErrorsNameLineFieldAndRemedy(t *testing.T) {
	good, err := os.ReadFile("usual.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ old, replacement, want string }{
		{`"regions": 5`, `"regions": 0`, "line 3: /regions: "},
		{`"chunkTokens"`, `"chunkTokenz"`, `"chunkTokenz" is not known`},
		{`"seconds": 30,`, `"seconds": 30`, "line 4"},
		{`"callers":`, `"events": [{"kind": "fire", "atSeconds": 1}], "callers":`, "give add, gone, dark, slow, load or burst"},
	} {
		text := strings.Replace(string(good), test.old, test.replacement, 1)
		_, err := Parse([]byte(text))
		if err == nil || failure.KindOf(err) != failure.Invalid || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got %v, want an error of kind invalid with %q", test.replacement, err, test.want)
		}
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); failure.KindOf(err) != failure.Invalid {
		t.Errorf("got %v for a missing file, want kind invalid", err)
	}
}

func TestPlotIsDrawn(t *testing.T) {
	results := []Result{{Rate: 1, AskedPerS: 10, InAim: 0.9, FluidPerS: 12}, {Rate: 2, AskedPerS: 20, InAim: 0.5, FluidPerS: 12}}
	file := filepath.Join(t.TempDir(), "curve.svg")
	if err := Plot(results, file); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(file); err != nil || !strings.Contains(string(text), "<svg") {
		t.Errorf("got no SVG image: %v", err)
	}
	if err := Plot(results, filepath.Join(t.TempDir(), "none", "curve.svg")); failure.KindOf(err) != failure.Invalid {
		t.Errorf("got %v for a missing folder, want kind invalid", err)
	}
}

// Guards against a load file that does not match the schema or whose name differs
// from its file name.
func TestLoadFilesCanBeRead(t *testing.T) {
	files, err := filepath.Glob("../../loads/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("got files %v, %v; want at least one file", files, err)
	}
	for _, file := range files {
		load, err := Read(file)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if got, want := load.Name, strings.TrimSuffix(filepath.Base(file), ".json"); got != want {
			t.Errorf("got name %q in %s, want %q", got, file, want)
		}
	}
}

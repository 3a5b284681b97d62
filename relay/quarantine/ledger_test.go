package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// fingerprintsOf returns the fingerprints of requests with these names.
func fingerprintsOf(names []string) []Fingerprint {
	var fps []Fingerprint
	for _, name := range names {
		fps = append(fps, NewFingerprint("customer", "POST", "host", "/"+name, nil))
	}
	return fps
}

// partsOf returns the fingerprints of parts of prompts with these names.
func partsOf(names []string) []Fingerprint {
	var fps []Fingerprint
	for _, name := range names {
		fps = append(fps, NewPartFingerprint(name))
	}
	return fps
}

// TestLedger runs the scripts testdata/ledger, of requests, and testdata/parts, of parts of their
// prompts.
func TestLedger(t *testing.T) {
	for _, script := range []string{"ledger", "parts"} {
		t.Run(script, func(t *testing.T) { testLedger(t, "testdata/"+script) })
	}
}

func testLedger(t *testing.T, script string) {
	now := time.Unix(1000, 0)
	led := NewLedger(func() time.Time { return now })
	datadriven.RunTest(t, script, func(t *testing.T, td *datadriven.TestData) string {
		names := func(key string) []string {
			if !td.HasArg(key) {
				return nil
			}
			var text string
			td.ScanArgs(t, key, &text)
			return strings.Split(text, "+")
		}
		switch td.Cmd {
		case "new":
			led = NewLedger(func() time.Time { return now })
		case "end":
			var id string
			td.ScanArgs(t, "of", &id)
			notified, proven := false, 0
			led.NotifyMaybeHeld(func() { notified = true })
			led.NotifyProven(func(parts []Fingerprint) { proven += len(parts) })
			led.Observe(Report{
				End: End{Endpoint: id}, Suspects: fingerprintsOf(names("suspects")), Running: fingerprintsOf(names("running")), Parts: partsOf(names("parts")),
			})
			switch {
			case notified:
				return "notified"
			case proven > 0:
				return fmt.Sprintf("%d reported as proven", proven)
			}
		case "served":
			led.Served(fingerprintsOf(names("what"))[0])
		case "survived":
			if led.PartSurvived(partsOf(names("what"))[0]) {
				return "to be reported"
			}
		case "reported":
			led.Observe(Report{ProvenParts: partsOf(names("proven")), SurvivedParts: partsOf(names("survived"))})
		case "wait":
			var seconds int
			td.ScanArgs(t, "seconds", &seconds)
			now = now.Add(time.Duration(seconds) * time.Second)
		case "renew":
			fp := append(fingerprintsOf(names("what")), partsOf(names("part"))...)[0]
			reports := led.Renew(fp)
			for _, report := range reports {
				led.Observe(report)
			}
			return fmt.Sprintf("%d reports", len(reports))
		case "held":
			var held []string
			for _, name := range names("of") {
				if until, ok := led.Held(fingerprintsOf([]string{name})[0]); ok {
					held = append(held, fmt.Sprintf("%s for %v", name, until.Sub(now)))
				}
			}
			for _, name := range names("parts") {
				if until, ok := led.Held(NewPartFingerprint(name)); ok {
					held = append(held, fmt.Sprintf("part %s for %v", name, until.Sub(now)))
				}
			}
			if len(held) == 0 {
				return "none"
			}
			return strings.Join(held, "\n")
		}
		return ""
	})
}

// Reports that arrive in another order, twice or late must give the same result.
func TestOrderOfReportsChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		var reports []Report
		for i := range rapid.IntRange(1, 8).Draw(t, "ends") {
			report := Report{End: End{Endpoint: fmt.Sprintf("i-%d", i)}}
			for _, fp := range fingerprintsOf(names) {
				switch rapid.IntRange(0, 2).Draw(t, "part") {
				case 1:
					report.Suspects = append(report.Suspects, fp)
				case 2:
					report.Running = append(report.Running, fp)
				}
			}
			reports = append(reports, report)
		}
		held := func(reports []Report) string {
			led := NewLedger(func() time.Time { return time.Unix(1, 0) })
			for _, report := range reports {
				led.Observe(report)
			}
			var found []bool
			for _, fp := range fingerprintsOf(names) {
				_, ok := led.Held(fp)
				found = append(found, ok)
			}
			return fmt.Sprint(found)
		}
		want := held(reports)
		again := rapid.Permutation(slices.Concat(reports, reports)).Draw(t, "order")
		if got := held(again); got != want {
			t.Fatalf("got %s in another order, want %s", got, want)
		}
	})
}

// Requests that end endpoints and differ each time must not exhaust memory.
func TestLedgerIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	led := NewLedger(func() time.Time { return now })
	for i := range 3 * maxObservations {
		led.Observe(Report{End: End{Endpoint: fmt.Sprintf("i-%d", i/12)}, Suspects: fingerprintsOf([]string{fmt.Sprint(i)})})
	}
	if requests, ends := led.Size(); requests > maxObservations || ends > maxObservations || len(led.queue) > maxQueueLength {
		t.Errorf("got %d requests, %d ends and %d queue entries, want %d at most", requests, ends, len(led.queue), maxObservations)
	}
	now = now.Add(HoldTime)
	led.Observe(Report{End: End{Endpoint: "last"}, Suspects: fingerprintsOf([]string{"last"})})
	if requests, ends := led.Size(); requests != 1 || ends != 1 || led.observationCount != 1 {
		t.Errorf("got %d requests, %d ends and %d observations, want only the last", requests, ends, led.observationCount)
	}
}

func TestReportJSONRoundTrip(t *testing.T) {
	fps := fingerprintsOf([]string{"a", "b", "c"})
	want := []Report{
		{End: End{Endpoint: "i-1", Born: 7}, Suspects: fps[:1], Running: fps[1:]},
		{Served: fps},
	}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got []Report
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
	for _, bad := range []string{`[{"suspects":["12"]}]`, `[{"suspects":["zz00112233445566778899aabbccddee"]}]`, `[{"end":7}]`, `{}`} {
		if err := json.Unmarshal([]byte(bad), &got); err == nil {
			t.Errorf("got no error for %s, want one", bad)
		}
	}
}

// Requests whose parts only concatenate to the same text must have different fingerprints.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	seen := map[Fingerprint]string{}
	for _, parts := range [][5]string{
		{"c", "POST", "h", "/a", "b"}, {"cP", "OST", "h", "/a", "b"}, {"c", "POST", "h/", "a", "b"}, {"c", "POST", "h", "/ab", ""},
		{"c", "POST", "h", "/a?b", ""}, {"", "POST", "h", "/a", "b"}, {"c", "GET", "h", "/a", "b"},
	} {
		fp := NewFingerprint(parts[0], parts[1], parts[2], parts[3], []byte(parts[4]))
		if other, ok := seen[fp]; ok {
			t.Errorf("got one fingerprint for %v and %s", parts, other)
		}
		seen[fp] = fmt.Sprint(parts)
	}
}

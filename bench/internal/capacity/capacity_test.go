package capacity

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"comfreyrelay.example/relay/failure"
)

// committedMeasurements returns the measurements in docs/measurements, from which
// the table in docs/CAPACITY.md is generated.
func committedMeasurements(t *testing.T) []byte {
	t.Helper()
	names, err := filepath.Glob("../../../docs/measurements/*.jsonl")
	if err != nil || len(names) == 0 {
		t.Fatalf("got no measurements (%v), want those of docs/measurements", err)
	}
	var all bytes.Buffer
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		all.Write(text)
	}
	return all.Bytes()
}

// TestPageIsMadeFromItsMeasurements guards against a table that was edited by
// hand or not regenerated after measurements or rows changed, and so shows
// figures that were not measured. Run make capacity to regenerate it.
func TestPageIsMadeFromItsMeasurements(t *testing.T) {
	want, err := Table(committedMeasurements(t))
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), tableBegin)
	if got, _, _ := strings.Cut(rest, tableEnd); got != string(want) {
		t.Errorf("got a table in docs/CAPACITY.md that differs from its measurements'; run make capacity")
	}
}

func TestEveryRowIsMeasured(t *testing.T) {
	records, err := parse(committedMeasurements(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows() {
		if evaluate(r, records).missing {
			t.Errorf("got no points for %q of the %s, want a bench that gives them", r.quantity, r.role)
		}
	}
}

func TestWritePutsTheTableBetweenTheMarkers(t *testing.T) {
	name := filepath.Join(t.TempDir(), "page.md")
	page := "before\n" + tableBegin + "stale figures\n" + tableEnd + "after\n"
	if err := os.WriteFile(name, []byte(page), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := Write(nil, name); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	got := string(text)
	if !strings.HasPrefix(got, "before\n"+tableBegin+"| role |") || !strings.HasSuffix(got, tableEnd+"after\n") || strings.Contains(got, "stale figures") {
		t.Errorf("got page %q, want the table in place of the old one", got)
	}
	if _, err := replaceTable([]byte("no markers"), nil); failure.KindOf(err) != failure.Invalid {
		t.Errorf("got %v for a page without markers, want kind invalid", err)
	}
}

func TestBadLinesAreNamed(t *testing.T) {
	_, err := Table([]byte("{\"bench\":\"slopes\"}\n\nnot JSON\n"))
	if failure.KindOf(err) != failure.Invalid || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("got %v, want kind invalid that names line 3", err)
	}
}

package capacity

import (
	"strings"
	"testing"
)

func lines(t *testing.T, text string) []record {
	t.Helper()
	records, err := parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return records
}

const sampleLines = `{"bench":"slopes","case":"cost/hosts","size":10,"value":30}
{"bench":"slopes","case":"cost/hosts","size":20,"value":50}
{"bench":"slopes","case":"cost/hosts","size":30,"value":9999,"error":"it broke"}
{"bench":"slopes","case":"other/hosts","size":20,"value":9999}
`

func TestJudge(t *testing.T) {
	records := lines(t, sampleLines)
	grown := *slope("cost/hosts")
	for _, test := range []struct {
		name    string
		row     row
		figure  string
		verdict string
	}{
		{"within", row{unit: "B", budget: 300, terms: []term{{series: &grown, size: 100, factor: 1}}}, "210 ± 0 B", "fits"},
		{"beyond", row{unit: "B", budget: 200, terms: []term{{series: &grown, size: 100, factor: 1}}}, "210 ± 0 B", "**does not fit yet**"},
		{"sum with a constant", row{unit: "B", terms: []term{{series: &grown, size: 100, factor: 2}, {factor: 5}}}, "425 ± 0 B", ""},
		{"the rise only", row{unit: "B", terms: []term{{series: &grown, size: 100, factor: 1, slopeOnly: true}}}, "200 ± 0 B", ""},
		{"no points", row{unit: "B", budget: 1, terms: []term{{series: slope("none/hosts"), size: 1, factor: 1}}}, "", "not measured"},
	} {
		out := evaluate(test.row, records)
		if out.figure() != test.figure || out.verdict() != test.verdict {
			t.Errorf("%s: got %q %q, want %q %q", test.name, out.figure(), out.verdict(), test.figure, test.verdict)
		}
	}
}

func TestSeriesScales(t *testing.T) {
	records := lines(t, sampleLines)
	scaled := *slope("cost/hosts")
	scaled.divisor, scaled.sqrt, scaled.minX = 5, true, 15
	points := scaled.points(records)
	if len(points) != 1 || points[0] != (point{2, 50}) {
		t.Errorf("got points %v, want only (2, 50): the root of 20/5", points)
	}
	if got, want := scaled.axis(), "√hosts an entry"; got != want {
		t.Errorf("got axis %q, want %q", got, want)
	}
}

func TestTableNamesWhatIsMissing(t *testing.T) {
	table, err := Table(nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Count(string(table), "\n"), len(rows())+2; got != want {
		t.Errorf("got %d lines, want %d", got, want)
	}
	if !strings.Contains(string(table), "not measured") {
		t.Error("got no line that is not measured, want all")
	}
}

func TestRound(t *testing.T) {
	for value, want := range map[float64]string{
		0: "0", 1: "1", 12.2: "12.2", 0.000163234: "0.000163", 1234567: "1,230,000", 999.6: "1,000",
		-1234: "-1,230", 256: "256", 2.9: "2.9", 100: "100",
	} {
		if got := round(value); got != want {
			t.Errorf("got %q for %g, want %q", got, value, want)
		}
	}
}

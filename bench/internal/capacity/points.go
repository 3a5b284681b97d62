package capacity

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"

	"comfreyrelay.example/relay/failure"
)

// record is one JSON line of benchmark output.
type record map[string]any

func (r record) text(name string) string {
	value, _ := r[name].(string)
	return value
}

func (r record) number(name string) (float64, bool) {
	value, ok := r[name].(float64)
	return value, ok
}

// maxLine is the largest accepted length of a JSON line, in bytes.
const maxLine = 1 << 20

// parse decodes the JSON lines of the benchmarks. It skips lines with an error,
// since a case that did not complete has no valid figures.
func parse(measured []byte) ([]record, error) {
	var records []record
	lines := bufio.NewScanner(bytes.NewReader(measured))
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		rec := record{}
		if err := json.Unmarshal(lines.Bytes(), &rec); err != nil {
			return nil, failure.Wrap(err, failure.Invalid, fmt.Sprintf("line %d of the measurements is not a JSON object", n),
				"pass the benchmarks' JSON lines unmodified")
		}
		if rec.text("error") == "" {
			records = append(records, rec)
		}
	}
	return records, lines.Err()
}

// point is one measurement of y at x.
type point struct{ x, y float64 }

// series selects the records and fields that provide the points of one fit.
type series struct {
	bench string
	// cases lists the cases to include; empty includes all.
	cases []string
	x, y  string
	// divisor divides x if positive, for example to get the agents per entry of a
	// deployment.
	divisor float64
	// minX excludes points with a smaller x, where the cost follows another rule.
	minX float64
	// sqrt fits against the square root of x, for costs that grow with it.
	sqrt bool
}

// points returns the points of the series in records.
func (s series) points(records []record) []point {
	var points []point
	for _, rec := range records {
		if rec.text("bench") != s.bench || !s.covers(rec.text("case")) {
			continue
		}
		x, hasX := rec.number(s.x)
		y, hasY := rec.number(s.y)
		if hasX && hasY && x >= s.minX {
			points = append(points, point{s.scale(x), y})
		}
	}
	return points
}

// scale converts a size to the x coordinate of the fit.
func (s series) scale(x float64) float64 {
	if s.divisor > 0 {
		x /= s.divisor
	}
	if s.sqrt {
		x = math.Sqrt(x)
	}
	return x
}

// covers reports whether the series includes the named case.
func (s series) covers(name string) bool {
	return len(s.cases) == 0 || slices.Contains(s.cases, name)
}

// axis returns the label of the x coordinate.
func (s series) axis() string {
	name := s.x
	if s.bench == slopesBench {
		_, name, _ = strings.Cut(s.cases[0], "/")
	}
	if s.divisor > 0 {
		name += " an entry"
	}
	if s.sqrt {
		return "√" + name
	}
	return name
}

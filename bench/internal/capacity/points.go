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

// record is one JSON line of a bench.
type record map[string]any

func (r record) text(name string) string {
	value, _ := r[name].(string)
	return value
}

func (r record) number(name string) (float64, bool) {
	value, ok := r[name].(float64)
	return value, ok
}

// maxLine bounds one JSON line, bytes.
const maxLine = 1 << 20

// parse reads JSON lines. Those of cases that did not come to their end hold no
// figures and are left out.
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
			return nil, failure.Wrap(err, failure.Invalid, fmt.Sprintf("line %d of the measurements is no JSON object", n),
				"give the JSON lines of the benches as they were printed")
		}
		if rec.text("error") == "" {
			records = append(records, rec)
		}
	}
	return records, lines.Err()
}

// point is one measurement of y at x.
type point struct{ x, y float64 }

// series says where the points of one slope stand in the lines.
type series struct {
	bench string
	// cases that count; all where empty.
	cases []string
	x, y  string
	// over divides x, so that a deployment is compared by agents an entry.
	over float64
	// least leaves out points with a smaller x: below it another rule holds.
	least float64
	// root takes the square root of x, where the cost grows so.
	root bool
}

func (s series) points(records []record) []point {
	var points []point
	for _, rec := range records {
		if rec.text("bench") != s.bench || !s.covers(rec.text("case")) {
			continue
		}
		x, hasX := rec.number(s.x)
		y, hasY := rec.number(s.y)
		if hasX && hasY && x >= s.least {
			points = append(points, point{s.scaled(x), y})
		}
	}
	return points
}

// scaled turns a size into the x of the line.
func (s series) scaled(x float64) float64 {
	if s.over > 0 {
		x /= s.over
	}
	if s.root {
		x = math.Sqrt(x)
	}
	return x
}

func (s series) covers(name string) bool {
	return len(s.cases) == 0 || slices.Contains(s.cases, name)
}

// axis names the x of the line.
func (s series) axis() string {
	name := s.x
	if s.bench == slopesBench {
		_, name, _ = strings.Cut(s.cases[0], "/")
	}
	if s.over > 0 {
		name += " an entry"
	}
	if s.root {
		return "√" + name
	}
	return name
}

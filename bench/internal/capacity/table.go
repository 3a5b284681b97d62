package capacity

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"comfreyrelay.example/relay/failure"
)

// Markers that enclose the table in the page.
const (
	tableBegin = "<!-- capacity: begin -->\n"
	tableEnd   = "<!-- capacity: end -->\n"
)

// row is one line of the table. It compares the sum of its terms with a budget.
type row struct {
	role, quantity, unit string
	terms                []term
	budget               float64 // 0: none
	minimum              float64 // required minimum, in place of a budget; 0: none
	mechanism            string  // mechanism that keeps the figure low, or the one needed for it
}

// term is a fit evaluated at one size, times a factor. Without a series its value is
// the factor, a constant that follows from the code.
type term struct {
	name   string
	series *series
	size   float64
	factor float64
	// slopeOnly omits the intercept, which another term includes.
	slopeOnly bool
}

// rowResult is a row with its computed figures.
type rowResult struct {
	row
	fits        []fit
	value       float64
	uncertainty float64
	missing     bool // a slope has no points
}

// evaluate fits the terms of a row to the records and sums them at full size.
func evaluate(r row, records []record) rowResult {
	out := rowResult{row: r}
	variance := 0.0
	for _, part := range r.terms {
		if part.series == nil {
			out.fits = append(out.fits, fit{})
			out.value += part.factor
			continue
		}
		line := leastSquares(part.series.points(records))
		out.missing = out.missing || line.points == 0
		out.fits = append(out.fits, line)
		value, uncertainty := line.at(part.series.scale(part.size))
		if part.slopeOnly {
			value, uncertainty = line.slope*part.series.scale(part.size), line.slopeError*part.series.scale(part.size)
		}
		out.value += value * part.factor
		variance += uncertainty * uncertainty * part.factor * part.factor
	}
	out.uncertainty = math.Sqrt(variance)
	return out
}

// verdict states whether the value meets the budget or the required minimum. It is
// empty for a measured row that has neither.
func (r rowResult) verdict() string {
	switch {
	case r.missing:
		return "not measured"
	case r.budget == 0 && r.minimum == 0:
		return ""
	case r.budget > 0 && r.value <= r.budget, r.minimum > 0 && r.value >= r.minimum:
		return "fits"
	}
	return "**does not fit yet**"
}

// figure formats the value with its standard error and unit.
func (r rowResult) figure() string {
	if r.missing {
		return ""
	}
	return fmt.Sprintf("%s ± %s %s", round(r.value), round(r.uncertainty), r.unit)
}

// limit formats the budget or the required minimum.
func (r row) limit() string {
	switch {
	case r.budget > 0:
		return round(r.budget) + " " + r.unit
	case r.minimum > 0:
		return "at least " + round(r.minimum) + " " + r.unit
	}
	return ""
}

// slopes formats the fits of all terms.
func (r rowResult) slopes() string {
	var parts []string
	for i, part := range r.terms {
		parts = append(parts, part.describe(r.fits[i]))
	}
	return strings.Join(parts, "; ")
}

// describe formats the fit and factor of a term.
func (t term) describe(line fit) string {
	if t.series == nil {
		return t.name + ": " + round(t.factor)
	}
	text := fmt.Sprintf("%s: %s (n=%d)", t.name, round(line.intercept), line.points)
	if line.slope != 0 {
		text = fmt.Sprintf("%s: %s + %s·%s (± %s, n=%d) at %s", t.name, round(line.intercept), round(line.slope),
			t.series.axis(), round(line.slopeError), line.points, round(t.series.scale(t.size)))
	}
	if t.slopeOnly {
		text += ", the rise only"
	}
	if t.factor != 1 {
		text += ", times " + round(t.factor)
	}
	return text
}

// Table computes the Markdown table from the benchmarks' JSON lines.
func Table(measured []byte) ([]byte, error) {
	records, err := parse(measured)
	if err != nil {
		return nil, err
	}
	out := &bytes.Buffer{}
	out.WriteString("| role | line | at full size | budget | | slope (intercept + slope·x, standard error of the slope, points) | carried by |\n")
	out.WriteString("|---|---|---|---|---|---|---|\n")
	for _, r := range rows() {
		line := evaluate(r, records)
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s | %s |\n",
			line.role, line.quantity, line.figure(), line.limit(), line.verdict(), line.slopes(), line.mechanism)
	}
	return out.Bytes(), nil
}

// round formats value with three significant digits and commas between thousands.
func round(value float64) string {
	if value == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(value)))))
	text := strconv.FormatFloat(value, 'f', digits, 64)
	whole, fraction, _ := strings.Cut(text, ".")
	if digits == 0 {
		scale := math.Pow(10, math.Floor(math.Log10(math.Abs(value)))-2)
		whole = strconv.FormatFloat(math.Round(value/scale)*scale, 'f', 0, 64)
	}
	for i := len(whole) - 3; i > 0 && whole[i-1] != '-'; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if fraction = strings.TrimRight(fraction, "0"); fraction != "" {
		return whole + "." + fraction
	}
	return whole
}

// replaceTable replaces the text between the markers of page with table.
func replaceTable(page, table []byte) ([]byte, error) {
	before, rest, found := bytes.Cut(page, []byte(tableBegin))
	_, after, closed := bytes.Cut(rest, []byte(tableEnd))
	if !found || !closed {
		return nil, failure.New(failure.Invalid, "the page has no markers for the table",
			"put the lines "+strings.TrimSpace(tableBegin)+" and "+strings.TrimSpace(tableEnd)+" into it")
	}
	return bytes.Join([][]byte{before, []byte(tableBegin), table, []byte(tableEnd), after}, nil), nil
}

package cmd

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"comfreyrelay.example/relay/failure"
)

// page is the template data of the HTML report.
type page struct {
	Began    time.Time
	Rows     []row
	Reasons  []reason
	Pictures []picture
}

// picture is a rendered chart with its title.
type picture struct {
	Title string
	SVG   template.HTML // safe to embed: the plot library generates it from fixed labels and numbers
}

// curve is a named line in a chart.
type curve struct {
	name   string
	points plotter.XYs
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>How requests ended</title>
<style>body{font-family:sans-serif;max-width:60em;margin:1em auto}td,th{padding:.1em .8em;text-align:right}td.text{text-align:left}svg{width:100%;height:auto}</style>
<h1>How requests ended</h1>
<p>Seconds since {{.Began.Format "2006-01-02T15:04:05.999Z07:00"}}.</p>
{{range .Pictures}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}<h2>Why not in time</h2>
<table><tr><th>count<th>class<th>reason
{{range .Reasons}}<tr><td>{{.Count}}<td class="text">{{.Class}}<td class="text">{{.Reason}}
{{end}}</table>
<h2>By time</h2>
<table><tr><th>at<th>answered<th>in time<th>late<th>refused<th>failed
{{range .Rows}}<tr><td>{{.At.Format "15:04:05"}}<td>{{.Answered}}<td>{{.InTime}}<td>{{.Late}}<td>{{.Refused}}<td>{{.Failed}}
{{end}}</table>
</html>
`))

// writePage writes the report as a self-contained HTML page.
func writePage(file string, lines []logLine, rows []row, reasons []reason) error {
	data := page{Began: rows[0].At, Rows: rows, Reasons: reasons}
	for _, one := range buildCharts(lines, rows) {
		svg, err := renderChart(one)
		if err != nil {
			return err
		}
		data.Pictures = append(data.Pictures, picture{Title: one.title, SVG: svg})
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, data); err != nil {
		return failure.Wrap(err, failure.Internal, "the page cannot be rendered", "report it")
	}
	if err := os.WriteFile(file, out.Bytes(), 0o644); err != nil {
		return failure.Wrap(err, failure.Invalid, "the page cannot be written", "name a file in a folder that exists")
	}
	return nil
}

// chart is the data of a chart before it is rendered.
type chart struct {
	title, unit string
	curves      []curve
}

// buildCharts returns the charts of the report, without curves and charts that
// have no points.
func buildCharts(lines []logLine, rows []row) []chart {
	start := rows[0].At
	interval := rowInterval(rows)
	charts := []chart{
		{title: "Requests answered, by how they ended", unit: "requests a row", curves: []curve{
			countCurve("in time", rows, start, func(r row) int { return r.InTime }),
			countCurve("late", rows, start, func(r row) int { return r.Late }),
			countCurve("refused", rows, start, func(r row) int { return r.Refused }),
			countCurve("failed", rows, start, func(r row) int { return r.Failed }),
		}},
		{title: "First event of streams", unit: "ms", curves: percentileCurves(lines, start, interval, "firstMillis", func(l logLine) bool { return l.intField("events") > 0 })},
		{title: "Waiting for a place", unit: "ms", curves: percentileCurves(lines, start, interval, "heldMillis", answered)},
		{title: "Age of what entries knew", unit: "ms", curves: percentileCurves(lines, start, interval, "ageMillis", answered)},
		{title: "What processes learned of endpoints and weights", unit: "lines so far", curves: []curve{
			eventCurve("endpoints ended", lines, start, func(l logLine) bool { return l.fields["msg"] == "endpoint looked at" && l.fields["ended"] == "true" }),
			eventCurve("versions whole on a host", lines, start, func(l logLine) bool { return l.fields["msg"] == "version whole" }),
			eventCurve("loads ordered", lines, start, func(l logLine) bool { return l.fields["msg"] == "order" }),
			eventCurve("dependencies lost", lines, start, func(l logLine) bool { return l.fields["msg"] == "dependency lost" }),
		}},
	}
	for i := range charts {
		charts[i].curves = slices.DeleteFunc(charts[i].curves, func(one curve) bool { return len(one.points) == 0 })
	}
	return slices.DeleteFunc(charts, func(one chart) bool { return len(one.curves) == 0 })
}

func answered(line logLine) bool { return line.fields["msg"] == "answered" }

// rowInterval returns the shortest time between two rows, or one second if there is
// only one row.
func rowInterval(rows []row) time.Duration {
	least := time.Duration(math.MaxInt64)
	for i := range rows[1:] {
		least = min(least, rows[i+1].At.Sub(rows[i].At))
	}
	if len(rows) < 2 {
		return time.Second
	}
	return least
}

// countCurve returns a curve of one count per row.
func countCurve(name string, rows []row, start time.Time, count func(row) int) curve {
	found := curve{name: name}
	for _, one := range rows {
		found.points = append(found.points, plotter.XY{X: one.At.Sub(start).Seconds(), Y: float64(count(one))})
	}
	return found
}

// percentileCurves returns the 50th, 90th and 99th percentile of a field per row,
// over the answered requests that include selects.
func percentileCurves(lines []logLine, start time.Time, interval time.Duration, field string, include func(logLine) bool) []curve {
	curves := []curve{{name: "p50"}, {name: "p90"}, {name: "p99"}}
	byRow := map[int64][]int{}
	for _, line := range lines {
		if include(line) && answered(line) {
			at := int64(line.at.Sub(start) / interval)
			byRow[at] = append(byRow[at], line.intField(field))
		}
	}
	var order []int64
	for at := range byRow {
		order = append(order, at)
	}
	slices.Sort(order)
	for _, at := range order {
		slices.Sort(byRow[at])
		for i, quantile := range []float64{0.5, 0.9, 0.99} {
			value := byRow[at][int(quantile*float64(len(byRow[at])-1))]
			curves[i].points = append(curves[i].points, plotter.XY{X: float64(at) * interval.Seconds(), Y: float64(value)})
		}
	}
	return curves
}

// eventCurve returns the cumulative count of the lines that include selects.
func eventCurve(name string, lines []logLine, start time.Time, include func(logLine) bool) curve {
	found := curve{name: name}
	for _, line := range lines {
		if include(line) {
			found.points = append(found.points, plotter.XY{X: line.at.Sub(start).Seconds(), Y: float64(len(found.points) + 1)})
		}
	}
	return found
}

// Size of a chart on the page.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 2.6 * vg.Inch
	// legendHeadroom scales the Y axis so that the legend fits above the curves.
	legendHeadroom = 1.4
)

// renderChart renders a chart as an SVG element.
func renderChart(one chart) (template.HTML, error) {
	figure := plot.New()
	figure.X.Label.Text = "s"
	figure.Y.Label.Text = one.unit
	figure.Y.Min = 0
	figure.Legend.Top, figure.Legend.Left = true, true
	var args []any
	for _, line := range one.curves {
		args = append(args, line.name, line.points)
	}
	err := plotutil.AddLines(figure, args...)
	figure.Y.Max *= legendHeadroom
	var svg io.WriterTo
	if err == nil {
		svg, err = figure.WriterTo(plotWidth, plotHeight, "svg")
	}
	var out bytes.Buffer
	if err == nil {
		_, err = svg.WriteTo(&out)
	}
	if err != nil {
		return "", failure.Wrap(err, failure.Internal, fmt.Sprintf("the plot %q cannot be drawn", one.title), "report it")
	}
	// Drop the XML prolog, which is only valid in a standalone SVG file.
	text := out.Bytes()
	return template.HTML(text[max(0, bytes.Index(text, []byte("<svg"))):]), nil
}

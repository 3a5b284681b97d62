package policy

import (
	"fmt"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"comfreyrelay.example/relay/failure"
)

// Plot draws the rates of answers in aim and of all complete answers against the
// request rate, averaged over the seeds, and the throughput limit of the engines.
// The format follows from the extension of file.
func Plot(results []Result, file string) error {
	byRate := map[float64][]Result{}
	for _, result := range results {
		byRate[result.Rate] = append(byRate[result.Rate], result)
	}
	var inAim, complete, limit plotter.XYs
	for _, rate := range slices.Sorted(maps.Keys(byRate)) {
		group := byRate[rate]
		arrivalRate := mean(group, func(r Result) float64 { return r.AskedPerS })
		inAim = append(inAim, plotter.XY{X: arrivalRate, Y: mean(group, func(r Result) float64 { return r.AskedPerS * r.InAim })})
		complete = append(complete, plotter.XY{X: arrivalRate, Y: mean(group, func(r Result) float64 { return r.AskedPerS * (r.InAim + r.Late) })})
		limit = append(limit, plotter.XY{X: arrivalRate, Y: min(arrivalRate, mean(group, func(r Result) float64 { return r.FluidPerS }))})
	}
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("%s: %d entries, %d engines", results[0].Load, results[0].Entries, results[0].Engines)
	chart.X.Label.Text = "requests per second"
	chart.Y.Label.Text = "answers per second"
	err := plotutil.AddLinePoints(chart, "in aim", inAim, "whole", complete, "throughput limit of the engines", limit)
	if err == nil {
		err = chart.Save(6*vg.Inch, 4*vg.Inch, file)
	}
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "cannot write the plot", "name a file that ends with .svg or .png, in a folder that exists")
	}
	return nil
}

func mean(results []Result, of func(Result) float64) float64 {
	sum := 0.0
	for _, result := range results {
		sum += of(result)
	}
	return sum / float64(len(results))
}

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
	for _, one := range results {
		byRate[one.Rate] = append(byRate[one.Rate], one)
	}
	var inAim, whole, bound plotter.XYs
	for _, rate := range slices.Sorted(maps.Keys(byRate)) {
		group := byRate[rate]
		asked := mean(group, func(r Result) float64 { return r.AskedPerS })
		inAim = append(inAim, plotter.XY{X: asked, Y: mean(group, func(r Result) float64 { return r.AskedPerS * r.InAim })})
		whole = append(whole, plotter.XY{X: asked, Y: mean(group, func(r Result) float64 { return r.AskedPerS * (r.InAim + r.Late) })})
		bound = append(bound, plotter.XY{X: asked, Y: min(asked, mean(group, func(r Result) float64 { return r.FluidPerS }))})
	}
	picture := plot.New()
	picture.Title.Text = fmt.Sprintf("%s: %d entries, %d engines", results[0].Load, results[0].Entries, results[0].Engines)
	picture.X.Label.Text = "requests asked a second"
	picture.Y.Label.Text = "answers a second"
	err := plotutil.AddLinePoints(picture, "in aim", inAim, "whole", whole, "bound of the engines", bound)
	if err == nil {
		err = picture.Save(6*vg.Inch, 4*vg.Inch, file)
	}
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "the plot can't be drawn", "name a file that ends with .svg or .png, in a folder that exists")
	}
	return nil
}

func mean(results []Result, of func(Result) float64) float64 {
	sum := 0.0
	for _, one := range results {
		sum += of(one)
	}
	return sum / float64(len(results))
}

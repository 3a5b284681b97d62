package capacity

import (
	"math"
	"testing"
)

func approxEqual(got, want float64) bool { return math.Abs(got-want) <= 1e-9*max(1, math.Abs(want)) }

// The example is Anscombe's first data set, whose fit is in every textbook:
// 3.0001 + 0.5001·x, standard error of the slope 0.1179.
func TestLeastSquares(t *testing.T) {
	xs := []float64{10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5}
	ys := []float64{8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68}
	points := make([]point, len(xs))
	for i := range xs {
		points[i] = point{xs[i], ys[i]}
	}
	line := leastSquares(points)
	for _, test := range []struct {
		name      string
		got, want float64
	}{
		{"intercept", line.intercept, 3.00009},
		{"slope", line.slope, 0.50009},
		{"standard error", line.slopeError, 0.11791},
		{"residual", line.residual, 1.23660},
	} {
		if math.Abs(test.got-test.want) > 1e-4 {
			t.Errorf("got %s %g, want %g", test.name, test.got, test.want)
		}
	}
	value, uncertainty := line.at(9) // the mean: s/√n
	if !approxEqual(uncertainty, line.residual/math.Sqrt(11)) || math.Abs(value-7.5009) > 1e-3 {
		t.Errorf("got %g ± %g at the mean, want 7.5009 ± %g", value, uncertainty, line.residual/math.Sqrt(11))
	}
}

func TestLeastSquaresOfFewPoints(t *testing.T) {
	for _, test := range []struct {
		name      string
		points    []point
		at        float64
		value     float64
		deviation float64
	}{
		{"none", nil, 5, 0, 0},
		{"one", []point{{2, 7}}, 100, 7, 0},
		{"two", []point{{1, 1}, {3, 5}}, 10, 19, 0},
		{"the same x", []point{{4, 1}, {4, 3}}, 100, 2, 1},
	} {
		value, deviation := leastSquares(test.points).at(test.at)
		if !approxEqual(value, test.value) || !approxEqual(deviation, test.deviation) {
			t.Errorf("%s: got %g ± %g, want %g ± %g", test.name, value, deviation, test.value, test.deviation)
		}
	}
}

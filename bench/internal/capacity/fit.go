package capacity

import "math"

// fit is a straight line fitted to points by least squares.
type fit struct {
	intercept, slope float64
	slopeError       float64 // standard error
	residual         float64 // standard deviation of the points from the line
	points           int
	meanX, spreadX   float64 // spreadX is the sum of squared distances from meanX
}

// leastSquares fits a line to points. A single point, or points that all have the
// same x, give a horizontal line at their mean.
func leastSquares(points []point) fit {
	line := fit{points: len(points)}
	if line.points == 0 {
		return line
	}
	count := float64(line.points)
	meanY := 0.0
	for _, p := range points {
		line.meanX += p.x / count
		meanY += p.y / count
	}
	products := 0.0
	for _, p := range points {
		line.spreadX += (p.x - line.meanX) * (p.x - line.meanX)
		products += (p.x - line.meanX) * (p.y - meanY)
	}
	parameters := 1
	if line.spreadX > 0 {
		line.slope = products / line.spreadX
		parameters = 2
	}
	line.intercept = meanY - line.slope*line.meanX
	line.residual = residual(points, line, parameters)
	if line.spreadX > 0 {
		line.slopeError = line.residual / math.Sqrt(line.spreadX)
	}
	return line
}

// residual returns the standard deviation of the points from the line, with the
// degrees of freedom reduced by the number of fitted parameters.
func residual(points []point, line fit, parameters int) float64 {
	if len(points) <= parameters {
		return 0
	}
	sum := 0.0
	for _, p := range points {
		distance := p.y - line.intercept - line.slope*p.x
		sum += distance * distance
	}
	return math.Sqrt(sum / float64(len(points)-parameters))
}

// at returns the value of the line at x and the standard error of that value.
func (f fit) at(x float64) (value, uncertainty float64) {
	if f.points == 0 {
		return 0, 0
	}
	variance := 1 / float64(f.points)
	if f.spreadX > 0 {
		variance += (x - f.meanX) * (x - f.meanX) / f.spreadX
	}
	return f.intercept + f.slope*x, f.residual * math.Sqrt(variance)
}

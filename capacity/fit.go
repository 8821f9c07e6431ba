package capacity

import (
	"math"

	"github.com/rotisserie/eris"
)

// ErrTooFewPoints means that there are too few points to fit a line.
var ErrTooFewPoints = eris.New("fitting a line needs points with at least two different x values")

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a least-squares fit y = Base + Slope*x.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// RelativeResidual is the largest absolute residual, relative to the largest
	// absolute y value.
	RelativeResidual float64 `json:"spread"`
	// MaxX is the largest measured x value.
	MaxX float64 `json:"max_x"`
}

// Fit returns the least-squares line through points. Error: ErrTooFewPoints.
func Fit(points []Point) (Line, error) {
	meanX, meanY := means(points)
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.X - meanX) * (p.Y - meanY)
		variance += (p.X - meanX) * (p.X - meanX)
	}
	if variance == 0 {
		return Line{}, ErrTooFewPoints
	}
	line := Line{Slope: covariance / variance}
	line.Base = meanY - line.Slope*meanX
	line.RelativeResidual = relativeResidual(line, points)
	for _, p := range points {
		line.MaxX = max(line.MaxX, p.X)
	}
	return line, nil
}

func means(points []Point) (x, y float64) {
	for _, p := range points {
		x += p.X / float64(len(points))
		y += p.Y / float64(len(points))
	}
	return x, y
}

func relativeResidual(line Line, points []Point) float64 {
	var largest, distance float64
	for _, p := range points {
		largest = max(largest, math.Abs(p.Y))
		distance = max(distance, math.Abs(p.Y-line.At(p.X)))
	}
	if largest == 0 {
		return 0
	}
	return distance / largest
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Extrapolation returns the ratio of x to the largest measured x, or one if x is
// not beyond it.
func (l Line) Extrapolation(x float64) float64 {
	if l.MaxX <= 0 || x <= l.MaxX {
		return 1
	}
	return x / l.MaxX
}

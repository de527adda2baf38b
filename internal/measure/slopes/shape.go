package slopes

import "math"

// Shape says how a value grows with the size.
type Shape string

// The shapes.
const (
	Flat      Shape = "flat"
	Sublinear Shape = "sublinear"
	Linear    Shape = "linear"
	Worse     Shape = "worse"
)

// The bounds between shapes, as exponents of the size between the first and the last point. They leave room for the
// scatter of a measurement: over two decades, 0.15 is a factor of 2.
const (
	flatBound      = 0.15
	sublinearBound = 0.75
	linearBound    = 1.2
)

// ShapeOf fits value = a * size^k by least squares over the logarithms and names the exponent. Sizes are above 0.
func ShapeOf(points []Point) Shape {
	exponent := Exponent(points)

	switch {
	case exponent < flatBound:
		return Flat
	case exponent < sublinearBound:
		return Sublinear
	case exponent < linearBound:
		return Linear
	default:
		return Worse
	}
}

// Exponent returns the k of the fit value = a * size^k. Values of 0 and below count as the smallest positive one.
func Exponent(points []Point) float64 {
	var sumX, sumY, sumXX, sumXY float64

	floor := smallest(points)

	for _, point := range points {
		x := math.Log(float64(point.Size))
		y := math.Log(max(point.Value, floor))
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}

	count := float64(len(points))
	spread := count*sumXX - sumX*sumX

	if spread == 0 {
		return 0
	}

	return (count*sumXY - sumX*sumY) / spread
}

func smallest(points []Point) float64 {
	floor := math.Inf(1)

	for _, point := range points {
		if point.Value > 0 {
			floor = min(floor, point.Value)
		}
	}

	if math.IsInf(floor, 1) {
		return 1
	}

	return floor
}

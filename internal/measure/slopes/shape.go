package slopes

import "math"

// Shape classifies how a value grows with the size.
type Shape string

// The values of Shape, by increasing growth.
const (
	Flat        Shape = "flat"
	Sublinear   Shape = "sublinear"
	Linear      Shape = "linear"
	Superlinear Shape = "worse"
)

// The bounds between shapes, as exponents of the size. They leave a margin for measurement noise: over two decades, 0.15 is a
// factor of 2.
const (
	flatBound      = 0.15
	sublinearBound = 0.75
	linearBound    = 1.2
)

// ShapeOf returns the shape for the exponent of the points. Sizes must be above 0.
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
		return Superlinear
	}
}

// Exponent fits value = a * size^k by least squares over the logarithms and returns k. Values of 0 and below count as the
// smallest positive one.
func Exponent(points []Point) float64 {
	var sumX, sumY, sumXX, sumXY float64

	smallestPositive := smallestPositiveValue(points)

	for _, point := range points {
		x := math.Log(float64(point.Size))
		y := math.Log(max(point.Value, smallestPositive))
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}

	count := float64(len(points))
	denominator := count*sumXX - sumX*sumX

	if denominator == 0 {
		return 0
	}

	return (count*sumXY - sumX*sumY) / denominator
}

func smallestPositiveValue(points []Point) float64 {
	minimum := math.Inf(1)

	for _, point := range points {
		if point.Value > 0 {
			minimum = min(minimum, point.Value)
		}
	}

	if math.IsInf(minimum, 1) {
		return 1
	}

	return minimum
}

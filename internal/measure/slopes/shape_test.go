package slopes_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/measure/slopes"
)

// Guards against growth that is reported as the wrong shape.
func TestShapeOf(t *testing.T) {
	cases := map[string]struct {
		value func(size float64) float64
		want  slopes.Shape
	}{
		"constant":               {func(float64) float64 { return 7 }, slopes.Flat},
		"falling":                {func(size float64) float64 { return 1 / size }, slopes.Flat},
		"root":                   {math.Sqrt, slopes.Sublinear},
		"proportional":           {func(size float64) float64 { return 3 * size }, slopes.Linear},
		"proportional with base": {func(size float64) float64 { return 5 + size }, slopes.Linear},
		"square":                 {func(size float64) float64 { return size * size }, slopes.Superlinear},
		"nothing":                {func(float64) float64 { return 0 }, slopes.Flat},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sizes := []int{22, 220, 880}
			points := make([]slopes.Point, 0, len(sizes))

			for _, size := range sizes {
				points = append(points, slopes.Point{Name: name, Size: size, Value: tc.value(float64(size)), Unit: slopes.Bytes})
			}

			assert.Equal(t, slopes.ShapeOf(points), tc.want, "exponent %.2f", slopes.Exponent(points))
		})
	}
}

// Guards against output lines that scripts cannot parse.
func TestPointIsOneLineOfFourFields(t *testing.T) {
	point := slopes.Point{Name: "memory.document/adapters", Size: 40_000, Value: 9_380_000, Unit: slopes.Bytes}

	assert.Equal(t, point.String(), "memory.document/adapters 40000 9.38e+06 B")
}

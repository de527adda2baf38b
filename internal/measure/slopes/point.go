// Package slopes measures how memory, CPU time and message sizes grow with the size of the fleet.
package slopes

import (
	"fmt"
	"io"
)

// Units of values.
const (
	Bytes        = "B"
	BytesPerSec  = "B/s"
	Microseconds = "us"
	Milliseconds = "ms"
	// PercentOfCore is CPU time as a percentage of elapsed time.
	PercentOfCore = "%"
)

// Point is one measured value at one size.
type Point struct {
	Name string
	// Size is the number of the objects that the name ends with, such as adapters.
	Size  int
	Value float64
	Unit  string
}

// String returns the line "name size value unit".
func (p Point) String() string {
	return fmt.Sprintf("%s %d %.4g %s", p.Name, p.Size, p.Value, p.Unit)
}

// report prints points and keeps them, so that the shape of each name can be printed at the end.
type report struct {
	out    io.Writer
	names  []string
	points map[string][]Point
}

func newReport(out io.Writer) *report {
	return &report{out: out, points: map[string][]Point{}}
}

func (r *report) add(name string, size int, value float64, unit string) {
	point := Point{Name: name, Size: size, Value: value, Unit: unit}

	if len(r.points[name]) == 0 {
		r.names = append(r.names, name)
	}

	r.points[name] = append(r.points[name], point)
	_, _ = fmt.Fprintln(r.out, point)
}

// shapes prints the shape of each name that was measured at several sizes.
func (r *report) shapes() {
	for _, name := range r.names {
		if points := r.points[name]; len(points) > 1 {
			_, _ = fmt.Fprintf(r.out, "shape %s %s\n", name, ShapeOf(points))
		}
	}
}

package slopes

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Run takes all measurements and prints one line "name size value unit" for each point, then the shape of each name. It panics
// if a measured call fails.
func Run(out io.Writer) {
	logrus.SetOutput(io.Discard)

	r := newReport(out)

	memory(r)
	decisions(r)
	configuration(r)
	polls(r)
	messages(r)
	requests(r)
	idle(r)
	r.shapes()
}

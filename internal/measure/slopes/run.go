package slopes

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Run measures everything and prints one line "name size value unit" for each figure, then the shape of each name.
func Run(out io.Writer) {
	logrus.SetOutput(io.Discard)

	r := newReport(out)

	memory(r)
	decisions(r)
	configuration(r)
	polls(r)
	peers(r)
	requests(r)
	r.shapes()
}

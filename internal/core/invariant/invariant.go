// Package invariant checks conditions that must hold under all failures.
package invariant

import (
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Violations counts failed checks; it is registered as "invariant.violation".
var Violations = metrics.GetOrRegisterCounter("invariant.violation", metrics.DefaultRegistry)

// Check logs and counts a violation if ok is false. In tests it also panics, so that the test fails.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}

	Violations.Inc(1)

	message := fmt.Sprintf(format, args...)

	logrus.WithFields(logrus.Fields{"component": "invariant", "name": name}).Error(message)

	if testing.Testing() {
		panic("invariant " + name + ": " + message)
	}
}

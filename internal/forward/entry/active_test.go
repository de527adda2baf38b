package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
)

// Guards against requests that the end of the process cuts off without a line that tells why they had been taken, and against lines without
// number.
func TestRequestsCutOffAreReported(t *testing.T) {
	e := testEntry(nil)
	log, lines := test.NewNullLogger()
	e.Log = log

	signal := time.Now()
	e.Drain(signal, signal.Add(time.Second))

	for i := range maxCutOffLines + 10 {
		j := testJob(catalog.AtMostOnce)
		j.active.request.ID = fmt.Sprint("r", i)
		j.active.request.Arrived = signal.Add(time.Duration(i-1) * time.Second)
		e.active.add(j.active)
	}

	late := testJob(catalog.AtMostOnce)
	late.active.request.Arrived = signal.Add(time.Hour)
	late.active.ground = groundForecast
	late.active.sentTo("a")
	late.active.begin()
	e.active.add(late.active)

	answered := testJob(catalog.AtMostOnce)
	e.active.add(answered.active)
	e.active.remove(answered.active)

	assert.Equal(t, e.ReportCutOff(), maxCutOffLines+11)
	assert.Equal(t, len(lines.AllEntries()), maxCutOffLines)

	first := lines.AllEntries()[0].Data
	assert.Equal(t, first["ground"], groundForecast)
	assert.Equal(t, first["server"], "a")
	assert.Equal(t, first["begun"], true)
	assert.Assert(t, first["since"].(int64) > 0, "%v", first)
}

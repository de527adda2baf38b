package entry

import (
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/lateness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// countLateness counts a completed stream once, by whether it was on time and why not. Streams of routes without targets are not counted.
func (e *Entry) countLateness(j *job) {
	targets := lateness.Targets{First: j.route.Objective, Gap: j.route.GapTarget}

	if targets == (lateness.Targets{}) || !j.route.Stream || !j.eventStream {
		return
	}

	if j.request.LastEventID != message.NoEventID {
		// The first event of a stream that the client takes up was that of an earlier request.
		targets.First = 0
	}

	switch j.lateness.Cause(targets) {
	case lateness.OnTime:
		metric.Count(e.Metrics, "stream.ontime")
	case lateness.First:
		metric.Count(e.Metrics, "stream.late.first")
	case lateness.Gap:
		metric.Count(e.Metrics, "stream.late.gap")
	case lateness.Forward:
		metric.Count(e.Metrics, "stream.late.forward")
	}
}

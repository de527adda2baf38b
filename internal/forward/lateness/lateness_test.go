package lateness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/lateness"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// event is an event that was received and written after the given times in milliseconds, when the process had stood still for the given time.
func event(received, written, stood int) lateness.Event {
	return lateness.Event{Received: at(received), Written: at(written), Stalled: time.Duration(stood) * time.Millisecond}
}

// Guards against a pause of the server that counts as late forwarding, and against a slow client or a standstill of the process for which the
// server is blamed.
func TestCause(t *testing.T) {
	const (
		first = 800
		gap   = 300
	)

	cases := map[string]struct {
		events  []lateness.Event
		want    lateness.Cause
		longest int
	}{
		"on time":                {events: []lateness.Event{event(700, 700, 0), event(900, 900, 0)}, want: lateness.OnTime, longest: 200},
		"late first event":       {events: []lateness.Event{event(801, 801, 0), event(900, 900, 0)}, want: lateness.First, longest: 99},
		"pause of the server":    {events: []lateness.Event{event(700, 700, 0), event(1001, 1001, 0)}, want: lateness.Gap, longest: 301},
		"both":                   {events: []lateness.Event{event(801, 801, 0), event(1201, 1201, 0)}, want: lateness.First, longest: 400},
		"slow write":             {events: []lateness.Event{event(700, 700, 0), event(900, 1050, 0)}, want: lateness.Forward, longest: 350},
		"received after a write": {events: []lateness.Event{event(100, 100, 0), event(200, 700, 0), event(700, 700, 0)}, want: lateness.Forward, longest: 600},
		"standstill":             {events: []lateness.Event{event(700, 700, 0), event(1100, 1100, 250)}, want: lateness.Forward, longest: 400},
		"pause and standstill":   {events: []lateness.Event{event(700, 700, 50), event(1400, 1400, 300)}, want: lateness.Gap, longest: 700},
		"standstill at first":    {events: []lateness.Event{event(1000, 1000, 400)}, want: lateness.Forward},
		"slow first write":       {events: []lateness.Event{event(700, 900, 0)}, want: lateness.Forward},
		"no event":               {want: lateness.OnTime},
		"at the targets":         {events: []lateness.Event{event(800, 800, 0), event(1100, 1100, 0)}, want: lateness.OnTime, longest: 300},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var stream lateness.Stream

			stream.Begin(start, 0)

			for _, observed := range c.events {
				stream.Observe(observed)
			}

			assert.Equal(t, stream.Cause(lateness.Targets{First: first * time.Millisecond, Gap: gap * time.Millisecond}), c.want)
			assert.Equal(t, stream.LongestGap(), time.Duration(c.longest)*time.Millisecond)
			assert.Equal(t, stream.Cause(lateness.Targets{}), lateness.OnTime, "a route without targets")
		})
	}
}

// BenchmarkObserve measures what is done for each event.
func BenchmarkObserve(b *testing.B) {
	var stream lateness.Stream

	stream.Begin(start, 0)

	for b.Loop() {
		stream.Observe(event(100, 100, 0))
	}
}

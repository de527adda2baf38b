package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// delayedSink takes a while for one of its writes.
type delayedSink struct {
	bodySink
	// slowWrite is the number of the write that takes delay.
	writes, slowWrite int
	delay             time.Duration
}

func (s *delayedSink) Write(data []byte) error {
	s.writes++

	if s.writes == s.slowWrite {
		time.Sleep(s.delay)
	}

	return s.bodySink.Write(data)
}

// Guards against streams that are late and counted as on time, counted more than once, or counted for the wrong cause.
func TestCompletedStreamsAreCountedByLateness(t *testing.T) {
	const (
		ontime  = "stream.ontime"
		first   = "stream.late.first"
		gap     = "stream.late.gap"
		forward = "stream.late.forward"
	)

	cases := map[string]struct {
		// pauses are the times in milliseconds before each event.
		pauses []int
		sink   delayedSink
		change func(j *job)
		want   string
	}{
		"on time":             {pauses: []int{500, 200, 200}, want: ontime},
		"late first event":    {pauses: []int{1001, 200}, want: first},
		"pause of the server": {pauses: []int{500, 301}, want: gap},
		"late twice":          {pauses: []int{1001, 301, 301}, want: first},
		"slow client":         {pauses: []int{500, 200, 200}, sink: delayedSink{slowWrite: 2, delay: 150 * time.Millisecond}, want: forward},
		"taken up":            {pauses: []int{1001, 200}, change: func(j *job) { j.request.LastEventID = 3 }, want: ontime},
		"no targets":          {pauses: []int{1001, 301}, change: func(j *job) { j.route.Objective, j.route.GapTarget = 0, 0 }},
		"no stream":           {pauses: []int{1001, 301}, change: func(j *job) { j.route.Stream = false }},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := testEntry(nil)
				j := testJob(catalog.Resumable)
				j.sink = &c.sink
				j.route.GapTarget = 300 * time.Millisecond

				if c.change != nil {
					c.change(j)
				}

				response := &response{entry: e, job: j}
				assert.NilError(t, response.handle(head(200, "text/event-stream")))

				for _, pause := range c.pauses {
					time.Sleep(time.Duration(pause) * time.Millisecond)
					assert.NilError(t, response.handle(message.Data{Bytes: []byte("data: a\n")}))
					assert.NilError(t, response.handle(message.Data{Bytes: []byte("\n")}))
				}

				e.reportEnd(j, nil)

				for _, name := range []string{ontime, first, gap, forward} {
					count := int64(0)
					if name == c.want {
						count = 1
					}

					assert.Equal(t, metrics.GetOrRegisterCounter(name, e.Metrics).Count(), count, name)
				}
			})
		})
	}
}

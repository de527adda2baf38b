package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server that sends parts of an event, and whose pauses are then not seen in the log.
func TestPauseMeter(t *testing.T) {
	type piece struct {
		ms   int
		data string
	}

	cases := map[string]struct {
		pieces []piece
		want   time.Duration
	}{
		"no event":       {},
		"one event":      {pieces: []piece{{100, "data: a\n\n"}}},
		"two events":     {pieces: []piece{{100, "data: a\n\n"}, {350, "data: b\n\n"}}, want: 250 * time.Millisecond},
		"parts":          {pieces: []piece{{100, "data: a\n\n"}, {200, "da"}, {400, "ta: b\n\n"}}, want: 300 * time.Millisecond},
		"longest counts": {pieces: []piece{{0, "data: a\n\n"}, {300, "data: b\n\n"}, {350, "data: c\n\n"}}, want: 300 * time.Millisecond},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var meter pauseMeter

			for _, piece := range c.pieces {
				meter.observe(time.Unix(1000, 0).Add(time.Duration(piece.ms)*time.Millisecond), []byte(piece.data))
			}

			assert.Equal(t, meter.longest, c.want)
		})
	}
}

package events_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/events"
)

// Guards against bytes that count as progress although they complete no event, and against events that are not seen because their
// end is split or has carriage returns.
func TestProgress(t *testing.T) {
	cases := map[string]struct {
		pieces   []string
		complete []bool
	}{
		"whole event":       {[]string{"id: 1\ndata: a\n\n"}, []bool{true}},
		"split end":         {[]string{"data: a\n", "\n"}, []bool{false, true}},
		"carriage returns":  {[]string{"data: a\r\n\r", "\n"}, []bool{false, true}},
		"single bytes":      {[]string{"d", "a", "t", "a"}, []bool{false, false, false, false}},
		"event and a part":  {[]string{"data: a\n\nda", "ta", "\n\n"}, []bool{true, false, true}},
		"only line ends":    {[]string{"\n", "\n", "\n"}, []bool{false, false, false}},
		"lines without end": {[]string{":\n", ":\n", ":\n"}, []bool{false, false, false}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var progress events.Progress

			for i, piece := range c.pieces {
				complete, err := progress.Scan([]byte(piece))
				assert.NilError(t, err)
				assert.Equal(t, complete, c.complete[i], "piece %d", i)
			}
		})
	}
}

// Guards against memory that grows with an event without end.
func TestEventTooLong(t *testing.T) {
	var progress events.Progress

	piece := []byte(strings.Repeat("x", 64<<10))

	for range 16 {
		_, err := progress.Scan(piece)
		assert.NilError(t, err)
	}

	_, err := progress.Scan(piece)
	assert.ErrorIs(t, err, events.ErrTooLong)
}

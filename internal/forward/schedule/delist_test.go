package schedule_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// Guards against requests that wait for a server and are sent to it after it has left the list, and against a server that gets none because
// an earlier process of it has left.
func TestRequestsThatWaitForADelistedServer(t *testing.T) {
	cases := map[string]struct {
		startedAt int64
		after     time.Duration
		refused   bool
	}{
		"at once":            {startedAt: 1, refused: true},
		"still on their way": {startedAt: 1, after: 1900 * time.Millisecond, refused: true},
		"listed again later": {startedAt: 1, after: 2 * time.Second},
		"an earlier process": {startedAt: 0},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := ready()
			s.Delist(start, c.startedAt)

			now := start.Add(c.after)
			s.Add(request("", now))

			actions := s.Dispatch(now)
			assert.Equal(t, len(actions), 1)

			refuse, refused := actions[0].(schedule.Refuse)
			assert.Equal(t, refused, c.refused)

			if refused {
				assert.Equal(t, refuse.Err.Kind, fault.Draining)
			}
		})
	}
}

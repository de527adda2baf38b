package usage_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
)

// Guards against windows that are fixed early by a clock that is ahead, and against reports that stay late, or windows that are skipped for long,
// since the row has a wrong offset or the store's clock began anew.
func TestAnchorLimitsTheTime(t *testing.T) {
	const (
		hour    = time.Hour
		latency = 20 * time.Millisecond
	)

	anchor := lease.Anchor{Offset: offset, At: hour}
	cases := map[string]struct {
		anchor lease.Anchor
		// clock is the store's clock at the earliest, and ahead the error of the clock of this process.
		clock, ahead time.Duration
		// limit and fixedUpTo are differences to the true time.
		limit, fixedUpTo time.Duration
		next             lease.Anchor
	}{
		"right":              {anchor: anchor, clock: hour, next: anchor},
		"a minute ahead":     {anchor: anchor, clock: hour, ahead: time.Minute, next: anchor, fixedUpTo: time.Minute},
		"a minute behind":    {anchor: anchor, clock: hour, ahead: -time.Minute, limit: -time.Minute, next: anchor, fixedUpTo: -usage.FixDelay},
		"rises slowly":       {anchor: anchor, clock: hour + 20*time.Second, ahead: time.Minute, limit: 400 * time.Millisecond, next: lease.Anchor{Offset: offset + 400*time.Millisecond, At: hour + 20*time.Second}, fixedUpTo: time.Minute},
		"falls more slowly":  {anchor: anchor, clock: hour + 20*time.Second, ahead: -time.Minute, limit: -time.Minute, next: lease.Anchor{Offset: offset - 20*time.Millisecond, At: hour + 20*time.Second}, fixedUpTo: 400*time.Millisecond - usage.FixDelay},
		"recovers":           {anchor: lease.Anchor{Offset: offset - time.Minute, At: hour}, clock: hour + 55*time.Minute, next: lease.Anchor{Offset: offset, At: hour + 55*time.Minute}, fixedUpTo: 6*time.Second - usage.FixDelay},
		"clock began anew":   {anchor: anchor, clock: time.Minute, next: lease.Anchor{Offset: offset, At: time.Minute}},
		"another clock":      {anchor: lease.Anchor{Offset: offset - hour, At: hour}, clock: 2 * hour, next: lease.Anchor{Offset: offset, At: 2 * hour}},
		"no anchor":          {clock: hour, ahead: time.Minute, limit: time.Minute, next: lease.Anchor{Offset: offset + time.Minute, At: hour}, fixedUpTo: time.Minute},
		"ten minutes ahead":  {anchor: anchor, clock: hour, ahead: 10 * time.Minute, limit: 10 * time.Minute, next: lease.Anchor{Offset: offset + 10*time.Minute, At: hour}, fixedUpTo: 10 * time.Minute},
		"ten minutes behind": {anchor: anchor, clock: hour, ahead: -10 * time.Minute, limit: -10 * time.Minute, next: lease.Anchor{Offset: offset - 10*time.Minute, At: hour}, fixedUpTo: -10 * time.Minute},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			book := usage.Book{Length: length, Due: due}
			book.Adopt(lease.Content{NextWindow: 3, Anchor: c.anchor})

			now := c.clock + offset
			assert.Equal(t, book.FixedUpTo(now+c.ahead, c.clock)-now, c.fixedUpTo)
			assert.Equal(t, book.Limit(now+c.ahead, c.clock, c.clock+latency)-now, c.limit)
			assert.Equal(t, book.Content().Anchor, c.next)
		})
	}
}

// Guards against an offset that rises at each attempt to write the same row.
func TestAnchorFollowsTheRow(t *testing.T) {
	anchor := lease.Anchor{Offset: offset, At: time.Hour}
	book := usage.Book{Length: length, Due: due}
	book.Adopt(lease.Content{NextWindow: 3, Anchor: anchor})

	for range 3 {
		clock := time.Hour + 20*time.Second
		book.Limit(clock+offset+time.Minute, clock, clock)
		assert.Equal(t, book.WithFixed(nil, nil).Anchor.Offset, offset+400*time.Millisecond)
	}
}

package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// Guards against more adapters than the server has places for: an order that got no answer is carried out after a restart of the server,
// whose count of orders is the same again.
func TestLateOrderAfterARestartHasAPlace(t *testing.T) {
	// The server has two places.
	cases := map[string]struct {
		// expected is the number of orders that the late order names.
		expected int64
		outcome  schedule.Outcome
		after    time.Duration
		want     schedule.OrderKind
	}{
		"may be carried out":           {expected: 1, outcome: schedule.Unknown, after: time.Second, want: schedule.Unload},
		"count has passed":             {expected: 0, outcome: schedule.Unknown, after: time.Second, want: schedule.Load},
		"long ago":                     {expected: 1, outcome: schedule.Unknown, after: 14 * time.Second, want: schedule.Load},
		"rejected":                     {expected: 1, outcome: schedule.Rejected, after: time.Second, want: schedule.Load},
		"may be carried out, just now": {expected: 1, outcome: schedule.Unknown, after: 12 * time.Second, want: schedule.Unload},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := ready()
			s.RecordOutcome(start, schedule.Order{Kind: schedule.Load, Adapter: adapter("late"), ExpectedOrders: c.expected}, c.outcome)

			now := start.Add(c.after)
			restarted := reportWith(1, adapterVersion("a1", 1))
			restarted.StartedAt = 2
			s.Observe(now, restarted)
			s.Add(&schedule.Request{Adapter: adapter("a2"), InputTokens: 100, MaxOutputTokens: 100, Arrived: now, Expires: now.Add(time.Second)})

			order, ok := s.NextOrder(now)
			assert.Assert(t, ok)
			assert.Equal(t, order.Kind, c.want, fmt.Sprint(order))
		})
	}
}

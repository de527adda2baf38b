package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/publish"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// Guards against entries that take a slow server for one of the usual pace, because its state does not say so.
func TestStateHasThePace(t *testing.T) {
	a := &Agent{}
	state := schedule.State{Rate: 15_000, Slowness: 250, SlownessAge: 120 * time.Millisecond}

	message := a.stateMessage(state, &watcher{}, publish.Unchanged{})
	assert.Equal(t, message.GetRate(), 15_000.0)
	assert.Equal(t, message.GetSlowness(), int32(250))
	assert.Equal(t, message.GetSlowAgeMs(), int64(120))
}

// Guards against an entry that takes an empty queue for an agent of the previous version, which does not state the urgencies.
func TestQueuedTokensAreAlwaysStated(t *testing.T) {
	cases := map[string]struct {
		queued [schedule.UrgencyClasses]int64
		want   []int64
	}{
		"nothing waits":      {want: []int64{0}},
		"most urgent only":   {queued: [schedule.UrgencyClasses]int64{700}, want: []int64{700}},
		"less urgent only":   {queued: [schedule.UrgencyClasses]int64{2: 500}, want: []int64{0, 0, 500}},
		"least urgent class": {queued: [schedule.UrgencyClasses]int64{9: 1}, want: []int64{0, 0, 0, 0, 0, 0, 0, 0, 0, 1}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, queuedTokens(&schedule.State{QueuedTokens: c.queued}), c.want)
		})
	}
}

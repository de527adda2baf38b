package holder_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
)

// clocks holds the differences that agents state.
type clocks struct {
	mu          sync.Mutex
	differences []time.Duration
	records     []time.Duration
	last        []usage.Window
}

func (c *clocks) set(differences ...time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.differences = differences
}

// newCounting returns a Counting on a VM whose time of day is ahead of the agents' by the given time, with the clocks of the agents.
func newCounting(ahead time.Duration) (*holder.Counting, *clocks) {
	begun := time.Now()
	agents := &clocks{}
	counting := &holder.Counting{
		Counter: &usage.Counter{Length: windowLength, Due: due}, Clock: func() time.Duration { return time.Since(begun) },
		Own: func() time.Duration { return time.Duration(begun.UnixNano()) + ahead },
		Differences: func() []time.Duration {
			agents.mu.Lock()
			defer agents.mu.Unlock()

			return append([]time.Duration(nil), agents.differences...)
		},
		Record: func(_ context.Context, windows []usage.Window) {
			agents.mu.Lock()
			defer agents.mu.Unlock()

			agents.records = append(agents.records, time.Duration(time.Now().UnixNano())%windowLength)
			agents.last = windows
		},
	}

	return counting, agents
}

// Guards against a true time that is taken from a clock which is wrong, that is known too early or never, or that changes when agents are lost.
func TestTrueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counting, agents := newCounting(time.Hour)
		right := time.Duration(time.Now().UnixNano())
		now := func() time.Duration { return time.Duration(time.Now().UnixNano()) }

		_, known := counting.Now()
		assert.Assert(t, !known)

		agents.set(right)
		time.Sleep(time.Second)

		_, known = counting.Now()
		assert.Assert(t, !known, "of two clocks either may be wrong")

		agents.set(right, right, right-time.Minute)

		got, known := counting.Now()
		assert.Assert(t, known)
		assert.Equal(t, got, now())

		agents.set()

		got, _ = counting.Now()
		assert.Equal(t, got, now(), "the time stays without agents")

		alone, _ := newCounting(0)
		_, known = alone.Now()
		assert.Assert(t, !known)
		time.Sleep(3 * time.Second)

		got, known = alone.Now()
		assert.Assert(t, known, "a VM without agents goes by its own clock")
		assert.Equal(t, got, now())
	})
}

// Guards against counts that reach agents only after the holder reads them, and against requests of the time before the true time was known that are
// lost.
func TestCountsArePassedOnBeforeTheyAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counting, agents := newCounting(0)
		time.Sleep(time.Until(time.Now().Truncate(windowLength).Add(windowLength + time.Second)))

		right := time.Duration(time.Now().UnixNano()) - counting.Clock()
		counting.Begin("acme")

		ctx, stop := context.WithCancel(t.Context())
		go counting.Run(ctx)

		time.Sleep(300 * time.Millisecond)
		agents.set(right, right, right)
		time.Sleep(300 * time.Millisecond)
		counting.Begin("acme")
		time.Sleep(windowLength)

		agents.mu.Lock()
		assert.Equal(t, agents.last[0].Counts["acme"], int64(2))

		sent := 0
		for _, at := range agents.records {
			if at < usage.FixDelay {
				sent++
			}
		}

		agents.mu.Unlock()

		assert.Assert(t, sent >= 2, "%v", agents.records)

		counting.Begin("acme")
		stop()
		synctest.Wait()
		counting.Flush(t.Context())
		assert.Equal(t, agents.last[1].Counts["acme"], int64(1))
	})
}

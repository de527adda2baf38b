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

package agent

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// RegisterGauges registers gauges of the last known state of the model server and of the number of entries that watch it.
func (a *Agent) RegisterGauges() {
	gauge := func(name string, value func(state schedule.State) int) {
		metric.Gauge(a.Metrics, name, func() int64 {
			a.mu.Lock()
			defer a.mu.Unlock()

			return int64(value(a.scheduler.State(time.Now())))
		})
	}

	gauge("queue.waiting", func(state schedule.State) int { return state.Waiting })
	gauge("queue.running", func(state schedule.State) int { return state.Running })
	gauge("adapters.held", func(state schedule.State) int { return len(state.Adapters) })
	gauge("adapters.idle", func(state schedule.State) int { return state.IdleAdapterSlots })
	gauge("pace.rate", func(state schedule.State) int { return int(state.Rate) })
	gauge("pace.slowness", func(state schedule.State) int { return state.Slowness })
	// The watchers are the entries that receive each change of the state.
	gauge("entries.linked", func(schedule.State) int { return len(a.watchers) })
}

package agent

import (
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/holdings"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/publish"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// queuedTokens returns the prompt tokens that wait by urgency, without the urgencies after the last for which some wait. It is never empty, so
// that an entry knows that the agent states them.
func queuedTokens(state *schedule.State) []int64 {
	count := len(state.QueuedTokens)
	for count > 1 && state.QueuedTokens[count-1] == 0 {
		count--
	}

	return slices.Clone(state.QueuedTokens[:count])
}

// stateMessage returns the state of the model server and the latest confirmations as a message for one entry, without what is
// unchanged. The lock must be held.
func (a *Agent) stateMessage(state schedule.State, w *watcher, unchanged publish.Unchanged) *relay.State {
	_, longest := publish.Intervals(len(a.watchers))

	wire := &relay.State{
		Ready:      state.Ready,
		Leaving:    state.Draining,
		Running:    int32(state.Running),
		Backlog:    state.Backlog,
		Waiting:    queuedTokens(&state),
		Prefilling: state.PrefillTokens,
		Idle:       int32(state.IdleAdapterSlots),
		Fetching:   int32(state.Fetches),
		Entries:    int32(len(a.watchers)),
		Unchanged:  unchanged.Holdings,
		IntervalMs: longest.Milliseconds(),
		ClockMs:    freshness.Clock().Milliseconds(),
		Reader:     w.reader,
		DelayMs:    state.StartDelay.Milliseconds(),
		SpacingMs:  state.StartSpacing.Milliseconds(),
		Rate:       state.Rate,
		Slowness:   int32(state.Slowness),
		SlowAgeMs:  state.SlownessAge.Milliseconds(),

		EvidenceUnchanged: unchanged.Evidence,
		LimitsUnchanged:   unchanged.Limits,
		ConfigVersion:     a.configVersion,
		UnixMs:            time.Now().UnixMilli(),
	}

	wire.Software, wire.Sole = a.history.Sole(time.Now())

	if confirmation, ok := a.operator.Get(); ok {
		wire.Operator = convert.ConfirmationToWire(confirmation, &w.peer)
	}

	if confirmation, ok := a.servers.Get(); ok {
		wire.Servers = convert.ConfirmationToWire(confirmation, &w.peer)
	}

	now := time.Now()

	if unchanged.Evidence {
		wire.Sound = convert.SoundToWire(now, a.monitor.SoundSince(unchanged.Sound))
	} else {
		evidence := a.monitor.Evidence(now)
		wire.Crashes = convert.CrashesToWire(now, evidence.Crashes)
		wire.Holds = convert.HoldsToWire(now, evidence.Holds)
		wire.Sound = convert.SoundToWire(now, evidence.Sound)
	}

	if !unchanged.Limits {
		wire.Limits = convert.StatementsToWire(now, a.limits.Statements())
	}

	switch {
	case unchanged.Holdings:
	case w.changes:
		holdings.WriteChanges(wire, &state, unchanged.Adapters)
	default:
		holdings.Write(wire, &state)
	}

	return wire
}

package schedule

import (
	"cmp"
	"slices"
	"time"
)

// UrgencyClasses is the number of urgencies that are told apart.
const UrgencyClasses = 10

// State is the state of the server that the agent sends to entries.
type State struct {
	// Ready is true if the server answers and takes requests.
	Ready    bool
	Draining bool
	Running  int
	Waiting  int
	// Backlog is the number of prompt tokens that wait for prefill or are in it.
	Backlog int64
	// QueuedTokens is the part of Backlog that waits, by urgency; the last element counts all less urgent requests too. PrefillTokens is the
	// part that is in prefill.
	QueuedTokens  [UrgencyClasses]int64
	PrefillTokens int64
	Models        []string
	// Adapters is sorted by model and name.
	Adapters []HeldAdapter
	// Fetches is the number of adapters that are being fetched from the weight store or wait for it.
	Fetches int
	// IdleAdapterSlots is the number of adapter slots whose adapter, if any, is neither in use nor being loaded.
	IdleAdapterSlots int
	// StartDelay is the time until one more request could start within the limit that the server has named, and StartSpacing the mean
	// time between two; both are 0 without a limit.
	StartDelay   time.Duration
	StartSpacing time.Duration
	// Rate is how many prompt tokens the server usually prefills in a second; 0 if it is not known.
	Rate float64
	// Slowness is how long work took at the latest statement of the server, in percent of what is usual for it, and SlownessAge the age of
	// that statement; Slowness is 0 if there is none.
	Slowness    int
	SlownessAge time.Duration
}

// HeldAdapter is an adapter that the server holds or will hold.
type HeldAdapter struct {
	Adapter Adapter
	Version int64
	// Loading is true if the adapter is being loaded or requests wait for its load.
	Loading bool
}

// Compare orders adapters by model and name.
func (a Adapter) Compare(other Adapter) int {
	return cmp.Or(cmp.Compare(a.Model, other.Model), cmp.Compare(a.Name, other.Name))
}

// Ready reports whether the server answers and takes requests.
func (s *Scheduler) Ready() bool {
	return s.reachable && s.Configured() && !s.resting && !s.draining() && !s.closed
}

// State returns the state at the time now.
func (s *Scheduler) State(now time.Time) State {
	state := State{
		Ready:            s.Ready(),
		Draining:         s.draining() || s.closed,
		Running:          s.running,
		Waiting:          len(s.queue),
		IdleAdapterSlots: s.limits.AdapterSlots,
		StartDelay:       s.limiter.Wait(now, len(s.queue)),
		StartSpacing:     s.limiter.Spacing(),
		Rate:             s.pace.Rate(),
	}

	state.Slowness, state.SlownessAge = s.pace.Stated(now)

	state.Backlog, state.PrefillTokens = s.prefillTokens, s.prefillTokens
	awaited := map[Adapter]bool{}

	for _, request := range s.queue {
		state.Backlog += request.InputTokens
		state.QueuedTokens[min(max(request.Urgency, 0), UrgencyClasses-1)] += request.InputTokens

		if s.needsLoad(request) && !awaited[request.Adapter] {
			awaited[request.Adapter] = true
			state.Adapters = append(state.Adapters, HeldAdapter{Adapter: request.Adapter, Loading: true})
		}
	}

	state.Fetches = len(awaited) + s.activeFetches()

	for _, model := range s.report.Models {
		state.Models = append(state.Models, model.Name)
	}

	for adapter, found := range s.adapters {
		if found.version == 0 && !found.loading || awaited[adapter] {
			continue
		}

		state.Adapters = append(state.Adapters, HeldAdapter{Adapter: adapter, Version: found.version, Loading: found.loading})

		if found.users > 0 || found.loading {
			state.IdleAdapterSlots--
		}
	}

	slices.SortFunc(state.Adapters, func(a, b HeldAdapter) int { return a.Adapter.Compare(b.Adapter) })

	return state
}

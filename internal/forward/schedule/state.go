package schedule

// State is what entries learn of the server.
type State struct {
	// Ready says that the server answers and takes requests.
	Ready    bool
	Draining bool
	Running  int
	Waiting  int
	// Backlog is the number of prompt tokens that wait to be read or are being read.
	Backlog  int64
	Models   []string
	Adapters []HeldAdapter
	// Fetches is the number of adapters that are fetched from the weight store or wait for that.
	Fetches int
	// Idle is the number of places without an adapter in use or in transit.
	IdleAdapterSlots int
}

// Held is an adapter that the server holds or will hold.
type HeldAdapter struct {
	Adapter Adapter
	Version int64
	// Loading says that the adapter is in transit or that requests wait for its load.
	Loading bool
}

// State returns the present state.
func (s *Scheduler) State() State {
	state := State{
		Ready:            s.reported && s.Configured() && !s.report.Draining && !s.closed,
		Draining:         s.report.Draining || s.closed,
		Running:          s.running,
		Waiting:          len(s.queue),
		IdleAdapterSlots: s.limits.AdapterSlots,
	}

	state.Backlog = s.prompts
	awaited := map[Adapter]bool{}

	for _, ticket := range s.queue {
		state.Backlog += ticket.InputTokens

		if s.missing(ticket) && !awaited[ticket.Adapter] {
			awaited[ticket.Adapter] = true
			state.Adapters = append(state.Adapters, HeldAdapter{Adapter: ticket.Adapter, Loading: true})
		}
	}

	state.Fetches = len(awaited) + s.fetching()

	for _, model := range s.report.Models {
		state.Models = append(state.Models, model.Name)
	}

	for name, found := range s.held {
		if found.version == 0 && !found.loading || awaited[name] {
			continue
		}

		state.Adapters = append(state.Adapters, HeldAdapter{Adapter: name, Version: found.version, Loading: found.loading})

		if found.users > 0 || found.loading {
			state.IdleAdapterSlots--
		}
	}

	return state
}

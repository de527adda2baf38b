package link

import (
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// Adapter names an adapter of a model.
type Adapter struct {
	Model string
	Name  string
}

// State is the last state that an agent reported.
type State struct {
	// Ready is true if the model server accepts requests.
	Ready   bool
	Running int
	// Backlog is the number of prompt tokens that wait for prefill or are in it.
	Backlog int64
	Models  []string
	// Loaded holds the versions of the loaded adapters, and Loading the adapters that are being loaded.
	Loaded  map[Adapter]int64
	Loading map[Adapter]bool
	// Fetches is the number of adapters that are being fetched from the weight store or wait for it.
	Fetches int
	// IdleAdapterSlots is the number of adapter slots without an adapter in use or being loaded.
	IdleAdapterSlots int
	// Entries is the number of entries that are connected to the agent.
	Entries int
	// Sent counts the requests that this entry has sent since the report, and SentTokens their prompt tokens.
	Sent       int
	SentTokens int64
}

// State returns the last state that the agent of a server reported; false if it is not connected.
func (l *Links) State(id string) (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	found := l.links[id]
	if found == nil || !found.connected {
		return State{}, false
	}

	return found.state, true
}

// updateState replaces the state of a link, and marks it as connected.
func (l *Links) updateState(agent *link, from *relay.State) {
	state := State{
		Ready:            from.GetReady() && !from.GetLeaving(),
		Running:          int(from.GetRunning()),
		Backlog:          from.GetBacklog(),
		Models:           from.GetModels(),
		Loaded:           make(map[Adapter]int64, len(from.GetAdapters())),
		Loading:          map[Adapter]bool{},
		Fetches:          int(from.GetFetching()),
		IdleAdapterSlots: int(from.GetIdle()),
		Entries:          int(from.GetEntries()),
	}

	for _, held := range from.GetAdapters() {
		name := Adapter{Model: held.GetModel(), Name: held.GetName()}

		if held.GetLoading() {
			state.Loading[name] = true
		} else {
			state.Loaded[name] = held.GetVersion()
		}
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if !agent.connected || agent.state.Ready != state.Ready {
		l.Log.WithField("server", agent.id).WithField("ready", state.Ready).Info("agent in touch")
	}

	agent.connected = true
	agent.state = state
}

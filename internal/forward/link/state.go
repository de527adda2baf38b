package link

import (
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// Adapter names an adapter of a model.
type Adapter struct {
	Model string
	Name  string
}

// State is what an agent last said.
type State struct {
	// Ready says that the model server takes requests.
	Ready   bool
	Running int
	// Backlog is the number of prompt tokens that wait to be read.
	Backlog int64
	Models  []string
	// Loaded holds the versions of the loaded adapters, and Loading the adapters that are being loaded.
	Loaded  map[Adapter]int64
	Loading map[Adapter]bool
	// Fetches is the number of adapters that are fetched from the weight store or wait for that.
	Fetches          int
	IdleAdapterSlots int
	Entries          int
	// Sent counts the requests that this entry has sent since the report, and SentTokens their prompt tokens.
	Sent       int
	SentTokens int64
}

// State returns what the agent of a server last said; false if it is not in touch.
func (l *Links) State(id string) (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	found := l.links[id]
	if found == nil || !found.up {
		return State{}, false
	}

	return found.state, true
}

func (l *Links) take(opened *link, from *relay.State) {
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

	if !opened.up || opened.state.Ready != state.Ready {
		l.Log.WithField("server", opened.id).WithField("ready", state.Ready).Info("agent in touch")
	}

	opened.up = true
	opened.state = state
}

package link

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/pace"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// Adapter names an adapter of a model.
type Adapter = schedule.Adapter

// State is the last state that an agent reported. Its maps are not changed after they were set.
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
	// StartDelay is how long after the report one more request could start within the limit of the server, and StartSpacing the mean time
	// between two; both are 0 without a limit.
	StartDelay   time.Duration
	StartSpacing time.Duration
	// Rate is how many prompt tokens the server usually prefills in a second; 0 if it is not known.
	Rate float64
	// Slowness is how long work took at the server at SlownessAt, in percent of what is usual for it; 0 if it is not known.
	Slowness   int
	SlownessAt time.Time
	// Entries is the number of entries that are connected to the agent.
	Entries int
	// Reader is true if this entry is to watch the store for others.
	Reader bool
	// Waiting holds the prompt tokens that wait for prefill by urgency, of which the last element counts all less urgent ones too, and
	// Prefilling those that are in it. Waiting is empty if the agent does not state it; Backlog is their sum.
	Waiting    []int64
	Prefilling int64
	// Sent counts the requests that this entry has sent since the report, and SentTokens their prompt tokens by urgency, of which the last
	// element counts all less urgent ones too.
	Sent       int
	SentTokens [urgencies]int64
}

// urgencies is the number of urgencies that are told apart.
const urgencies = 10

// Ahead returns the number of prompt tokens that are prefilled before those of a request of the given urgency, as the agent has reported them, and
// that of those which this entry has sent since. Less urgent requests wait behind it, unless the agent does not tell them apart.
func (s *State) Ahead(urgency int) (reported, sent int64) {
	sent = upTo(s.SentTokens[:], urgency)

	if len(s.Waiting) == 0 {
		return s.Backlog, sent
	}

	return s.Prefilling + upTo(s.Waiting, urgency), sent
}

// upTo returns the tokens of the given urgency and of more urgent ones; the first element is always among them.
func upTo(tokens []int64, urgency int) int64 {
	total := int64(0)

	for _, count := range tokens[:clampUrgency(urgency, len(tokens))+1] {
		total += count
	}

	return total
}

// clampUrgency returns the index of an urgency in a list of the given length.
func clampUrgency(urgency, length int) int {
	return min(max(urgency, 0), length-1)
}

// SlownessNow returns how long work is expected to take at the server, in percent of what is usual for it.
func (s *State) SlownessNow(now time.Time) int {
	if s.Slowness <= 0 {
		return pace.Usual
	}

	return pace.Age(s.Slowness, pace.Usual, now.Sub(s.SlownessAt))
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
	if l.replaceState(agent, from) {
		l.updateReader()
	}
}

// replaceState replaces the state of a link, and reports whether the role of this entry may have changed. The models and adapters are taken
// over before the lock is held, since the list may be long.
func (l *Links) replaceState(agent *link, from *relay.State) bool {
	agent.held = agent.held.Apply(from)

	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()
	state := State{
		Ready:            from.GetReady() && !from.GetLeaving(),
		Running:          int(from.GetRunning()),
		Backlog:          from.GetBacklog(),
		Models:           agent.held.Models,
		Loaded:           agent.held.Loaded,
		Loading:          agent.held.Loading,
		Fetches:          int(from.GetFetching()),
		IdleAdapterSlots: int(from.GetIdle()),
		Entries:          int(from.GetEntries()),
		Reader:           from.GetReader(),
		StartDelay:       time.Duration(from.GetDelayMs()) * time.Millisecond,
		StartSpacing:     time.Duration(from.GetSpacingMs()) * time.Millisecond,
		Waiting:          from.GetWaiting(),
		Prefilling:       from.GetPrefilling(),
		Rate:             from.GetRate(),
		Slowness:         int(from.GetSlowness()),
		SlownessAt:       now.Add(-time.Duration(from.GetSlowAgeMs()) * time.Millisecond),
	}

	if !agent.connected || agent.state.Ready != state.Ready {
		l.Log.WithField("server", agent.id).WithField("ready", state.Ready).Info("agent in touch")
	}

	l.entries.Hear(now, state.Entries)

	roleChanged := !agent.connected || agent.state.Reader != state.Reader
	agent.connected = true
	agent.state = state

	return roleChanged
}

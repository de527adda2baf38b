package play

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/refuse"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// entry is an entry VM. It holds the last state of each server that it received, to which it adds what it has sent there since.
type entry struct {
	simulation *simulation
	domain     string
	states     map[*server]*link.State
}

// send chooses a server and sends the request to it, or refuses the request.
func (e *entry) send(c *clientRequest) {
	sim := e.simulation

	var (
		candidates []place.ModelServer
		servers    []*server
	)

	for _, s := range sim.servers {
		if s.lost || c.refusedBy[s] {
			continue
		}

		servers = append(servers, s)
		candidates = append(candidates, e.candidate(s, c))
	}

	query := place.Query{
		Adapter: modelName + "/" + c.adapter.Name, Domain: e.domain, PromptTokens: c.promptTokens, MaxGap: c.kind.GapTarget,
		Entries: len(sim.entries),
	}
	maxWait := c.maxWait(sim.clock.now)
	index, wait := sim.policy.choose(sim.rng, query, candidates, maxWait)
	refused := refuse.CheckModelRequest(refuse.Candidate{
		ID: c.id(), Found: index >= 0, ExpectedWait: wait, MaxWait: maxWait, Objective: c.kind.Objective,
	})
	if refused != nil {
		e.refuse(c, refused)
		return
	}

	e.recordSent(servers[index], c)
	servers[index].add(c, c.schedulerRequest(sim.clock.now))
}

// recordSent adds a request to the state of a server, as link.Links does.
func (e *entry) recordSent(s *server, c *clientRequest) {
	state := e.states[s]
	state.Sent++
	state.SentTokens[min(c.kind.Urgency, len(state.SentTokens)-1)] += c.promptTokens
}

// refuse makes the client retry after the delay of the error. A request that was retried already ends as refused.
func (e *entry) refuse(c *clientRequest, err *fault.Error) {
	if c.retried {
		c.finish(outcomeRefused)
		return
	}

	c.retried = true
	c.refusals = 0
	clear(c.refusedBy)
	e.simulation.clock.after(err.RetryDelay(), func() {
		c.lastSent = e.simulation.clock.now
		e.send(c)
	})
}

// candidate describes a server as the entries of the programs do in internal/forward/entry.
func (e *entry) candidate(s *server, c *clientRequest) place.ModelServer {
	state := e.states[s]
	reported, sent := state.Ahead(c.kind.Urgency)

	candidate := place.ModelServer{
		ID:               s.id,
		Domain:           s.domain,
		Backlog:          reported,
		Sent:             sent,
		Rate:             state.Rate,
		Slowness:         state.SlownessNow(e.simulation.clock.now),
		Running:          state.Running + state.Sent,
		Fetches:          state.Fetches,
		IdleAdapterSlots: state.IdleAdapterSlots,
	}

	if _, loaded := state.Loaded[c.adapter]; loaded {
		candidate.Residency = place.Present
	} else if state.Loading[c.adapter] {
		candidate.Residency = place.Loading
	}

	return candidate
}

// receivedState returns the state of a server as entries receive it.
func receivedState(now time.Time, from *schedule.State) link.State {
	state := link.State{
		Running:          from.Running,
		Backlog:          from.Backlog,
		Waiting:          from.QueuedTokens[:],
		Prefilling:       from.PrefillTokens,
		Rate:             from.Rate,
		Slowness:         from.Slowness,
		SlownessAt:       now.Add(-from.SlownessAge),
		Fetches:          from.Fetches,
		IdleAdapterSlots: from.IdleAdapterSlots,
		Loaded:           map[link.Adapter]int64{},
		Loading:          map[link.Adapter]bool{},
	}

	for _, held := range from.Adapters {
		if held.Loading {
			state.Loading[held.Adapter] = true
		} else {
			state.Loaded[held.Adapter] = held.Version
		}
	}

	return state
}

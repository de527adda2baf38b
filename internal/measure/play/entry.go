package play

import (
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/refuse"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// entry is an entry VM. It counts what it has sent to each server since the last state of that server.
type entry struct {
	simulation *simulation
	domain     string
	sent       map[*server]sentCount
	// states holds the last state of each server that the entry received.
	states map[*server]schedule.State
}

type sentCount struct {
	requests int
	tokens   int64
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
		candidates = append(candidates, e.candidate(s, c.adapter))
	}

	query := place.Query{
		Adapter: modelName + "/" + c.adapter.Name, Domain: e.domain, PromptTokens: c.promptTokens, MaxGap: sim.workload.GapTarget,
		Entries: len(sim.entries),
	}
	index, wait := sim.policy.choose(sim.rng, query, candidates)
	refused := refuse.CheckModelRequest(refuse.Candidate{
		ID: c.id(), Found: index >= 0, ExpectedWait: wait, MaxWait: c.maxWait(sim.clock.now), Objective: c.kind.Objective,
	})
	if refused != nil {
		e.refuse(c, refused)
		return
	}

	count := e.sent[servers[index]]
	count.requests++
	count.tokens += c.promptTokens
	e.sent[servers[index]] = count

	servers[index].add(c, c.schedulerRequest(sim.clock.now))
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

func (e *entry) candidate(s *server, adapter schedule.Adapter) place.ModelServer {
	state, own := e.states[s], e.sent[s]

	candidate := place.ModelServer{
		ID:               s.id,
		Domain:           s.domain,
		Backlog:          state.Backlog,
		Sent:             own.tokens,
		Rate:             state.Rate,
		Running:          state.Running + own.requests,
		Fetches:          state.Fetches,
		IdleAdapterSlots: state.IdleAdapterSlots,
	}

	for _, held := range state.Adapters {
		if held.Adapter == adapter {
			candidate.Residency = place.Present
			if held.Loading {
				candidate.Residency = place.Loading
			}
		}
	}

	return candidate
}

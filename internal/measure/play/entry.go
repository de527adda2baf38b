package play

import (
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/refuse"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// entry is an entry VM with what it has sent since the last state of each server.
type entry struct {
	world  *world
	domain string
	sent   map[*server]sent
}

type sent struct {
	requests int
	tokens   int64
}

// send places a request and sends it, or refuses it.
func (e *entry) send(c *call) {
	w := e.world

	var (
		engines []place.ModelServer
		servers []*server
	)

	for _, s := range w.servers {
		if s.gone || c.passed[s] {
			continue
		}

		servers = append(servers, s)
		engines = append(engines, e.engine(s, c.adapter))
	}

	query := place.Query{Adapter: modelName + "/" + c.adapter.Name, Domain: e.domain}
	at, wait := w.policy.choose(w.rng, query, engines)
	refused := refuse.CheckModelRequest(refuse.Candidate{
		ID: c.id(), Found: at >= 0, ExpectedWait: wait, MaxWait: c.patience(w.clock.now, w.load), Objective: w.load.Objective,
	})
	if refused != nil {
		e.refuse(c, refused)
		return
	}

	count := e.sent[servers[at]]
	count.requests++
	count.tokens += c.input
	e.sent[servers[at]] = count

	servers[at].add(c, c.ticket(w.clock.now, w.load))
}

// refuse tells a caller when to come back, and ends the request when it was refused before.
func (e *entry) refuse(c *call, err *fault.Error) {
	if c.again {
		c.finish(outcomeRefused)
		return
	}

	c.again = true
	c.refusals = 0
	clear(c.passed)
	e.world.clock.after(err.RetryDelay(), func() {
		c.asked = e.world.clock.now
		e.send(c)
	})
}

func (e *entry) engine(s *server, name schedule.Adapter) place.ModelServer {
	state, own := s.published, e.sent[s]

	engine := place.ModelServer{
		ID:               s.id,
		Domain:           s.domain,
		Backlog:          state.Backlog + own.tokens,
		Running:          state.Running + own.requests,
		Fetches:          state.Fetches,
		IdleAdapterSlots: state.IdleAdapterSlots,
	}

	for _, held := range state.Adapters {
		if held.Adapter == name {
			engine.Residency = place.Present
			if held.Loading {
				engine.Residency = place.Loading
			}
		}
	}

	return engine
}

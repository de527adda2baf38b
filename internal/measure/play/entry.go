package play

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
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
		engines []place.Engine
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
	patience := c.patience(w.clock.now, w.load.Objective)

	if at < 0 || wait > patience && wait > w.load.Objective {
		e.refuse(c, wait)
		return
	}

	count := e.sent[servers[at]]
	count.requests++
	count.tokens += c.input
	e.sent[servers[at]] = count

	servers[at].add(c, c.ticket(w.clock.now, w.load.Objective))
}

// refuse tells a caller to come back once after the wait, and ends the request when it was refused before.
func (e *entry) refuse(c *call, wait time.Duration) {
	if c.again {
		c.finish(outcomeRefused)
		return
	}

	c.again = true
	c.refusals = 0
	clear(c.passed)
	e.world.clock.after(max(wait, shortestRetry), func() {
		c.asked = e.world.clock.now
		e.send(c)
	})
}

func (e *entry) engine(s *server, name schedule.Adapter) place.Engine {
	state, own := s.published, e.sent[s]

	engine := place.Engine{
		ID:      s.id,
		Domain:  s.domain,
		Backlog: state.Backlog + own.tokens,
		Running: state.Running + own.requests,
		Fetches: state.Fetches,
		Idle:    state.Idle,
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

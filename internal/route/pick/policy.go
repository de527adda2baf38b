package pick

import (
	"math/rand/v2"
	"slices"

	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
)

// Policy is the rule by which a server is chosen; it is one of the types of this package.
type Policy interface {
	policy()
}

// Spill takes the first ranked server that has the adapter resident and room, else the first with room, else the least
// loaded one. A hot adapter gets further candidates while all known ones are full.
type Spill struct{}

// Rendezvous takes the first ranked server whatever its load.
type Rendezvous struct{}

// LeastLoaded takes the least loaded server without regard to adapters.
type LeastLoaded struct{}

// Random takes any server.
type Random struct {
	// Rand draws; nil uses the global source.
	Rand *rand.Rand
}

func (Spill) policy()       {}
func (Rendezvous) policy()  {}
func (LeastLoaded) policy() {}
func (Random) policy()      {}

func (p *Picker) decide(query Query) *member.Server {
	switch policy := p.Policy.(type) {
	case nil, Spill:
		return p.spill(query)
	case Rendezvous:
		return p.first(query)
	case LeastLoaded:
		return p.least(p.view.Serving(query.Offer), query)
	case Random:
		return p.random(policy, query)
	default:
		return nil
	}
}

func (p *Picker) spill(query Query) *member.Server {
	size := firstCandidates

	for {
		candidates := p.candidates(query, size)
		if server := p.withRoom(candidates, query); server != nil {
			return server
		}

		if len(candidates) >= len(p.view.Serving(query.Offer)) || len(candidates) >= mostCandidates {
			return p.least(candidates, query)
		}

		size = 2 * len(candidates)
	}
}

// withRoom returns the first candidate with the adapter resident and room, or else the first with room.
func (p *Picker) withRoom(candidates []*member.Server, query Query) *member.Server {
	var first *member.Server

	for _, server := range candidates {
		if skip(server, query) {
			continue
		}

		state := p.hint(server.Name).state(query.Resident, query.Now)
		if !state.room || state.draining {
			continue
		}

		if state.resident {
			return server
		}

		if first == nil {
			first = server
		}
	}

	return first
}

// least returns the least loaded server. Draining servers and those that are set aside come last, but are not excluded,
// because what is known of them may be out of date.
func (p *Picker) least(servers []*member.Server, query Query) *member.Server {
	var best *member.Server

	var lowest float64

	for _, server := range servers {
		if slices.Contains(query.Tried, server.Name) {
			continue
		}

		load := p.penalty(server, query)

		if best == nil || load < lowest || (load == lowest && p.distance(server) < p.distance(best)) {
			best, lowest = server, load
		}
	}

	return best
}

func (p *Picker) penalty(server *member.Server, query Query) float64 {
	const drainingPenalty, asidePenalty = 1e6, 1e9

	state := p.hint(server.Name).state(query.Resident, query.Now)
	load := state.load

	if state.draining {
		load += drainingPenalty
	}

	if server.Contact.Aside(query.Now) {
		load += asidePenalty
	}

	return load
}

// distance is 0 in this process's failure domain, 1 in its region, and 2 elsewhere.
func (p *Picker) distance(server *member.Server) int {
	switch {
	case server.Domain == p.Domain:
		return 0
	case server.Region == p.Region:
		return 1
	default:
		return 2
	}
}

func (p *Picker) first(query Query) *member.Server {
	candidates := p.candidates(query, firstCandidates)

	for _, server := range candidates {
		if !skip(server, query) {
			return server
		}
	}

	return p.least(candidates, query)
}

func (p *Picker) random(policy Random, query Query) *member.Server {
	servers := p.view.Serving(query.Offer)
	if len(servers) == 0 {
		return nil
	}

	draw := rand.IntN
	if policy.Rand != nil {
		draw = policy.Rand.IntN
	}

	start := draw(len(servers))

	for i := range servers {
		server := servers[(start+i)%len(servers)]
		if !skip(server, query) {
			return server
		}
	}

	return p.least(servers, query)
}

func skip(server *member.Server, query Query) bool {
	return slices.Contains(query.Tried, server.Name) || server.Contact.Aside(query.Now)
}

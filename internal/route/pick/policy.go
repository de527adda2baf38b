package pick

import (
	"math/rand/v2"
	"slices"
)

// Policy is the rule by which a server is chosen; it is one of the types of this package.
type Policy interface {
	policy()
}

// Spillover takes the first ranked server that has the adapter resident and a short queue, else the first with room, else the least
// loaded one. A hot adapter gets further candidates while all known ones are full.
type Spillover struct{}

// Rendezvous takes the first ranked server whatever its load.
type Rendezvous struct{}

// LeastLoaded takes the least loaded server without regard to adapters.
type LeastLoaded struct{}

// Random takes any server.
type Random struct {
	// Rand draws; nil uses the global source.
	Rand *rand.Rand
}

func (Spillover) policy()   {}
func (Rendezvous) policy()  {}
func (LeastLoaded) policy() {}
func (Random) policy()      {}

func (p *Picker) decide(query Query) *candidate {
	switch policy := p.Policy.(type) {
	case nil, Spillover:
		return p.spill(query)
	case Rendezvous:
		return p.first(query)
	case LeastLoaded:
		return p.least(p.everyone(query), query)
	case Random:
		return p.random(policy, query)
	default:
		return nil
	}
}

func (p *Picker) spill(query Query) *candidate {
	size := firstCandidates

	for {
		candidates := p.candidates(query, size)
		if server := withRoom(candidates, query); server != nil {
			return server
		}

		if len(candidates) >= len(p.view.Serving(query.Capability)) || len(candidates) >= mostCandidates {
			return p.least(candidates, query)
		}

		size = 2 * len(candidates)
	}
}

// withRoom returns the first candidate with the adapter resident and a short queue, or else the first with room.
func withRoom(candidates []candidate, query Query) *candidate {
	var first *candidate

	now := query.Now.UnixNano()

	for i := range candidates {
		server := &candidates[i]
		if !server.hint.shortQueue(now) || skip(server, query) {
			continue
		}

		if server.hint.has(query.Adapter) {
			return server
		}

		if first == nil && server.hint.room(now) {
			first = server
		}
	}

	return first
}

// The penalties rank servers that are draining or set aside behind all others. They are not excluded, because what is known
// of them may be out of date.
const (
	drainingPenalty = 1e6
	asidePenalty    = 1e9
)

// least returns the least loaded server, with penalties.
func (p *Picker) least(servers []candidate, query Query) *candidate {
	var best *candidate

	var lowest float64

	now := query.Now.UnixNano()

	for i := range servers {
		server := &servers[i]
		load := server.hint.share(now)

		if server.hint.draining(now) {
			load += drainingPenalty
		}

		// Most servers end here, before their contact is read.
		if best != nil && load > lowest || slices.Contains(query.Tried, server.Name) {
			continue
		}

		if server.Breaker.Open(query.Now) {
			load += asidePenalty
		}

		if best == nil || load < lowest || (load == lowest && p.distance(server) < p.distance(best)) {
			best, lowest = server, load
		}
	}

	return best
}

// distance is 0 in this process's failure domain, 1 in its region, and 2 elsewhere.
func (p *Picker) distance(server *candidate) int {
	switch {
	case server.Domain == p.Domain:
		return 0
	case server.Region == p.Region:
		return 1
	default:
		return 2
	}
}

func (p *Picker) first(query Query) *candidate {
	candidates := p.candidates(query, firstCandidates)

	for i := range candidates {
		if !skip(&candidates[i], query) {
			return &candidates[i]
		}
	}

	return p.least(candidates, query)
}

func (p *Picker) random(policy Random, query Query) *candidate {
	servers := p.everyone(query)
	if len(servers) == 0 {
		return nil
	}

	draw := rand.IntN
	if policy.Rand != nil {
		draw = policy.Rand.IntN
	}

	start := draw(len(servers))

	for i := range servers {
		server := &servers[(start+i)%len(servers)]
		if !skip(server, query) {
			return server
		}
	}

	return p.least(servers, query)
}

func skip(server *candidate, query Query) bool {
	return slices.Contains(query.Tried, server.Name) || server.Breaker.Open(query.Now)
}

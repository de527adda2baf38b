package pick

import (
	"math/rand/v2"
	"slices"
)

// Policy is the rule by which a server is chosen. Only the types of this package implement it.
type Policy interface {
	policy()
}

// Spillover selects the first ranked server that has the adapter resident and a short queue, else the first with room, else
// the least loaded one. The number of candidates for an adapter grows while all present ones are full.
type Spillover struct{}

// Rendezvous selects the first ranked server regardless of its load.
type Rendezvous struct{}

// LeastLoaded selects the least loaded server regardless of adapters.
type LeastLoaded struct{}

// Random selects a random server.
type Random struct {
	// Rand is the source of random numbers; nil means the global one.
	Rand *rand.Rand
}

func (Spillover) policy()   {}
func (Rendezvous) policy()  {}
func (LeastLoaded) policy() {}
func (Random) policy()      {}

func (p *Picker) decide(query Query) *candidate {
	switch policy := p.Policy.(type) {
	case nil, Spillover:
		return p.spillover(query)
	case Rendezvous:
		return p.firstRanked(query)
	case LeastLoaded:
		return p.leastLoaded(p.allServing(query), query)
	case Random:
		return p.random(policy, query)
	default:
		return nil
	}
}

// spillover implements Spillover.
func (p *Picker) spillover(query Query) *candidate {
	size := firstCandidates

	for {
		candidates := p.candidates(query, size)
		if server := withRoom(candidates, query); server != nil {
			return server
		}

		if len(candidates) >= len(p.view.Serving(query.Capability)) || len(candidates) >= maxCandidates {
			return p.leastLoaded(candidates, query)
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
		if !server.state.hasShortQueue(now) || skip(server, query) {
			continue
		}

		if server.state.hasResident(query.Adapter) {
			return server
		}

		if first == nil && server.state.hasRoom(now) {
			first = server
		}
	}

	return first
}

// The penalties rank servers that are draining or have an open breaker behind all others. They are not excluded, because
// their known state may be out of date.
const (
	drainingPenalty    = 1e6
	openBreakerPenalty = 1e9
)

// leastLoaded returns the least loaded server that has not been tried, with the penalties added to the loads.
func (p *Picker) leastLoaded(servers []candidate, query Query) *candidate {
	var best *candidate

	var lowest float64

	now := query.Now.UnixNano()

	for i := range servers {
		server := &servers[i]
		load := server.state.utilization(now)

		if server.state.draining(now) {
			load += drainingPenalty
		}

		// Most servers are skipped here, before their breaker is read.
		if best != nil && load > lowest || slices.Contains(query.Tried, server.Name) {
			continue
		}

		if server.Breaker.Open(query.Now) {
			load += openBreakerPenalty
		}

		if best == nil || load < lowest || (load == lowest && p.distance(server) < p.distance(best)) {
			best, lowest = server, load
		}
	}

	return best
}

// distance returns 0 in this process's failure domain, 1 in its region, and 2 elsewhere.
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

// firstRanked implements Rendezvous.
func (p *Picker) firstRanked(query Query) *candidate {
	candidates := p.candidates(query, firstCandidates)

	for i := range candidates {
		if !skip(&candidates[i], query) {
			return &candidates[i]
		}
	}

	return p.leastLoaded(candidates, query)
}

// random implements Random: it starts at a random server and takes the first that is not to be skipped.
func (p *Picker) random(policy Random, query Query) *candidate {
	servers := p.allServing(query)
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

	return p.leastLoaded(servers, query)
}

// skip reports whether the server has been tried or has an open breaker.
func skip(server *candidate, query Query) bool {
	return slices.Contains(query.Tried, server.Name) || server.Breaker.Open(query.Now)
}

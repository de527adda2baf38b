// Package pick ranks backend servers for an adapter or a plain service and selects one by residency and load.
package pick

import (
	"slices"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
)

const (
	// firstCandidates is the number of ranked servers that are considered first.
	firstCandidates = 8
	// maxCandidates bounds the servers that are considered for a hot adapter; a choice among them stays under 2 µs.
	maxCandidates = 64
)

// Query describes the request for which a server is chosen.
type Query struct {
	// Capability is what the server must serve: "model/<name>" or "service/<name>".
	Capability string
	// HashKey is the key of rendezvous hashing: the adapter, or the name of the plain service.
	HashKey string
	// Adapter is the adapter as adapter@version; empty for plain services.
	Adapter string
	// Tried lists the servers that the request has already been sent to.
	Tried []string
	Now   time.Time
}

// Picker chooses backend servers. It does no I/O and is safe for concurrent use.
type Picker struct {
	// Policy is the selection rule; nil means Spillover.
	Policy Policy
	// Domain and Region are those of this process; they are only used to break ties between equally loaded servers.
	Domain string
	Region string

	// mu guards the fields below.
	mu       sync.Mutex
	view     *member.View
	rankings map[rankingKey][]candidate
	states   map[string]*loadState
	// serving holds all servers of each capability, for policies that consider every one.
	serving map[string][]candidate
}

type rankingKey struct {
	capability string
	hashKey    string
}

// Pick returns the server for the query, or nil if no server is left.
func (p *Picker) Pick(view *member.View, query Query) *member.Server {
	if view == nil {
		return nil
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.useView(view)

	server := p.decide(query)
	if server == nil {
		return nil
	}

	if slices.Contains(query.Tried, server.Name) {
		invariant.Check(false, "pick.tried", "server %s was tried before", server.Name)
	}

	server.state.recordSent(query.Now)

	return server.Server
}

// CanServe reports whether Pick would return a server that is not known to be draining or to have failed.
func (p *Picker) CanServe(view *member.View, query Query) bool {
	if view == nil {
		return false
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.useView(view)

	server := p.decide(query)

	return server != nil && !server.Breaker.Open(query.Now) && !server.state.draining(query.Now.UnixNano())
}

// Report records the load and residency that a server has reported.
func (p *Picker) Report(server string, load Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.state(server).report(load, now)
}

// ResidentEpoch returns the epoch of the last residency list that the server has sent; 0 if there was none.
func (p *Picker) ResidentEpoch(server string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.state(server).epoch
}

// useView discards the rankings of an older view and the load states of servers that are not in the view.
func (p *Picker) useView(view *member.View) {
	if p.view == view {
		return
	}

	p.view = view
	p.rankings = map[rankingKey][]candidate{}
	p.serving = map[string][]candidate{}

	for name := range p.states {
		if view.Server(name) == nil {
			delete(p.states, name)
		}
	}
}

// state returns the load state of a server and creates it if needed.
func (p *Picker) state(server string) *loadState {
	found, ok := p.states[server]
	if ok {
		return found
	}

	if p.states == nil {
		p.states = map[string]*loadState{}
	}

	found = &loadState{}
	p.states[server] = found

	return found
}

// candidates returns the ranking for the query from the cache, with at least size servers if there are so many.
func (p *Picker) candidates(query Query, size int) []candidate {
	key := rankingKey{capability: query.Capability, hashKey: query.HashKey}
	servers := p.view.Serving(query.Capability)

	found, ok := p.rankings[key]
	if ok && len(found) >= min(size, len(servers)) {
		return found
	}

	found = p.withState(rank(query.HashKey, servers, size))
	p.rankings[key] = found

	return found
}

// allServing returns all servers that have the capability.
func (p *Picker) allServing(query Query) []candidate {
	found, ok := p.serving[query.Capability]
	if !ok {
		found = p.withState(p.view.Serving(query.Capability))
		p.serving[query.Capability] = found
	}

	return found
}

// withState pairs servers with their load states.
func (p *Picker) withState(servers []*member.Server) []candidate {
	list := make([]candidate, 0, len(servers))

	for _, server := range servers {
		list = append(list, candidate{Server: server, state: p.state(server.Name)})
	}

	return list
}

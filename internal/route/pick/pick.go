// Package pick ranks backend servers for an adapter or a plain service and chooses one by residency and load.
package pick

import (
	"slices"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
)

const (
	// firstCandidates is the number of ranked servers that are looked at first.
	firstCandidates = 8
	// mostCandidates bounds the servers of a hot adapter; a choice among them stays under 2 µs.
	mostCandidates = 64
)

// Query says what a server is wanted for.
type Query struct {
	// Capability is "model/<name>" or "service/<name>".
	Capability string
	// HashKey is ranked: the adapter, or the name of the plain service.
	HashKey string
	// Adapter is the adapter as adapter@version; empty for plain services.
	Adapter string
	// Tried names servers that the request has been sent to already.
	Tried []string
	Now   time.Time
}

// Picker chooses backend servers. It does no I/O and is safe for concurrent use.
type Picker struct {
	// Policy decides; nil means Spillover.
	Policy Policy
	// Domain and Region are those of this process; they only decide between equally loaded servers.
	Domain string
	Region string

	mu    sync.Mutex
	view  *member.View
	ranks map[ranked][]candidate
	hints map[string]*hint
	// all holds the servers of each offer, for policies that look at every one.
	all map[string][]candidate
}

type ranked struct {
	offer string
	name  string
}

// Pick returns the server for the query, or nil if no server is left.
func (p *Picker) Pick(view *member.View, query Query) *member.Server {
	if view == nil {
		return nil
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.see(view)

	server := p.decide(query)
	if server == nil {
		return nil
	}

	if slices.Contains(query.Tried, server.Name) {
		invariant.Check(false, "pick.tried", "server %s was tried before", server.Name)
	}

	server.hint.give(query.Now)

	return server.Server
}

// Report keeps the load and residency that a server has reported.
func (p *Picker) Report(server string, load Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.hint(server).report(load, now)
}

// ResidentEpoch returns the epoch of the residency list that is known of the server.
func (p *Picker) ResidentEpoch(server string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.hint(server).epoch
}

// see discards rankings of an older view and hints of servers that are gone.
func (p *Picker) see(view *member.View) {
	if p.view == view {
		return
	}

	p.view = view
	p.ranks = map[ranked][]candidate{}
	p.all = map[string][]candidate{}

	for name := range p.hints {
		if view.Server(name) == nil {
			delete(p.hints, name)
		}
	}
}

func (p *Picker) hint(server string) *hint {
	found, ok := p.hints[server]
	if ok {
		return found
	}

	if p.hints == nil {
		p.hints = map[string]*hint{}
	}

	found = &hint{}
	p.hints[server] = found

	return found
}

// candidates returns the cached ranking, at least size long if there are so many servers.
func (p *Picker) candidates(query Query, size int) []candidate {
	key := ranked{offer: query.Capability, name: query.HashKey}
	servers := p.view.Serving(query.Capability)

	found, ok := p.ranks[key]
	if ok && len(found) >= min(size, len(servers)) {
		return found
	}

	found = p.known(rank(query.HashKey, servers, size))
	p.ranks[key] = found

	return found
}

// everyone returns all servers of the offer.
func (p *Picker) everyone(query Query) []candidate {
	found, ok := p.all[query.Capability]
	if !ok {
		found = p.known(p.view.Serving(query.Capability))
		p.all[query.Capability] = found
	}

	return found
}

func (p *Picker) known(servers []*member.Server) []candidate {
	list := make([]candidate, 0, len(servers))

	for _, server := range servers {
		list = append(list, candidate{Server: server, hint: p.hint(server.Name)})
	}

	return list
}

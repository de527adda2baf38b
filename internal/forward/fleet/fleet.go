// Package fleet holds what an entry believes about backend servers: which there are, and what each holds and bears.
package fleet

import (
	"sync"
	"time"
)

// Server is a backend server as the platform lists it.
type Server struct {
	// ID is the id under which it is listed; a request carries it, so that no other server at the address runs it.
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Leaving says that it takes no new requests.
	Draining bool
}

// Fleet is the list of backend servers. It is safe for concurrent use.
type Fleet struct {
	// Changed is called with the lock released after each change of the list; may be nil.
	OnChange func()

	mu      sync.Mutex
	servers map[string]Server
	// lapsing holds until when servers stay in use that vanished from the list.
	lapsing map[string]time.Time
	// evacuated holds the failure domains that get no requests.
	evacuated map[string]bool
	read      bool
}

// Put adds or updates servers.
func (f *Fleet) Put(servers ...Server) {
	f.mu.Lock()

	if f.servers == nil {
		f.servers = map[string]Server{}
		f.lapsing = map[string]time.Time{}
	}

	for _, server := range servers {
		f.servers[server.ID] = server
		delete(f.lapsing, server.ID)
	}

	f.read = true
	f.mu.Unlock()
	f.notify()
}

// Drop removes a server that vanished from the list, at the given time if it is not listed again before.
func (f *Fleet) Remove(now time.Time, id string, at time.Time) {
	f.mu.Lock()

	if _, ok := f.servers[id]; ok {
		if at.After(now) {
			f.lapsing[id] = at
		} else {
			delete(f.servers, id)
			delete(f.lapsing, id)
		}
	}

	f.mu.Unlock()
	f.notify()
}

// Retain drops all servers but the listed ones.
func (f *Fleet) Retain(now time.Time, listed map[string]bool, at time.Time) {
	for _, server := range f.All() {
		if !listed[server.ID] {
			f.Remove(now, server.ID, at)
		}
	}
}

// Evacuate sets the failure domains that get no requests.
func (f *Fleet) Evacuate(domains map[string]bool) {
	f.mu.Lock()
	f.evacuated = domains
	f.mu.Unlock()
	f.notify()
}

// Usable returns the servers of a service that may get requests.
func (f *Fleet) Usable(now time.Time, service string) []Server {
	f.mu.Lock()
	defer f.mu.Unlock()

	var usable []Server

	for id, server := range f.servers {
		if server.Service != service || server.Draining || f.evacuated[server.Domain] {
			continue
		}

		if until, ok := f.lapsing[id]; ok && now.After(until) {
			delete(f.servers, id)
			delete(f.lapsing, id)

			continue
		}

		usable = append(usable, server)
	}

	return usable
}

// Get returns a listed server.
func (f *Fleet) Get(id string) (Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	server, ok := f.servers[id]

	return server, ok && !server.Draining && !f.evacuated[server.Domain]
}

// All returns every listed server.
func (f *Fleet) All() []Server {
	f.mu.Lock()
	defer f.mu.Unlock()

	all := make([]Server, 0, len(f.servers))
	for _, server := range f.servers {
		all = append(all, server)
	}

	return all
}

// Read reports whether the list was read at least once.
func (f *Fleet) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.read
}

func (f *Fleet) notify() {
	if f.OnChange != nil {
		f.OnChange()
	}
}

// Package fleet keeps an entry's list of backend servers and of evacuated failure domains.
package fleet

import (
	"maps"
	"sync"
	"time"
)

// Server is a backend server as the platform lists it.
type Server struct {
	// ID is the id under which the server is listed. Requests carry it, so that another server at the same address does not
	// run them.
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Draining is true if the server takes no new requests.
	Draining bool
	// Remaining is how long the server serves from when it was listed as draining; 0 if that is not stated. Fleet.EndsAt tells when that is: two
	// rows with the same content are equal.
	Remaining time.Duration
	// StartedAt is when the server process started, in Unix milliseconds; 0 if it is not known. A server may start again under
	// the id that it had.
	StartedAt int64
	// Version is the version of the server's software. Only the exact text tells two versions apart.
	Version string
	// Vanished is true if the server is no longer listed and stays in use only for a while, because its row may have expired during
	// an outage of the store. It is set by All.
	Vanished bool
}

// leftRetention is how long a removed server is remembered.
const leftRetention = 10 * time.Minute

// departure is the removal of a server.
type departure struct {
	// startedAt is the start of the server process, in Unix milliseconds.
	startedAt int64
	at        time.Time
}

// Fleet is the list of backend servers. It is safe for concurrent use.
type Fleet struct {
	// OnChange is called after each change of the list, without the lock held; it may be nil.
	OnChange func()
	// FromStart is true if no stream can be older than this list, because the whole system has just started.
	FromStart bool

	mu      sync.Mutex
	servers map[string]Server
	// removeAt holds when servers are removed that vanished from the list and stay in use until then.
	removeAt map[string]time.Time
	// endsAt holds when draining servers end that state it.
	endsAt map[string]time.Time
	// left holds the servers that were removed within leftRetention.
	left map[string]departure
	// evacuations holds the evacuations by failure domain.
	evacuations map[string]Evacuation
	// versions holds when a version of a service was last listed by a server that has another one now, or is gone.
	versions map[versionKey]time.Time
	// earlier holds the services of which all versions before syncedAt are known.
	earlier map[string]bool
	// synced is true once the list was read, and syncedAt is when.
	synced   bool
	syncedAt time.Time
}

// Put adds or updates servers of a list that was read, and reports whether that changed the list.
func (f *Fleet) Put(servers ...Server) bool {
	now := time.Now()

	f.mu.Lock()
	f.markSynced(now)
	f.mu.Unlock()

	changes := make([]Change, len(servers))
	for i, server := range servers {
		changes[i] = Listed{Server: server}
	}

	return f.Update(now, changes...)
}

// Update applies changes of the list in their order, and reports whether any of them changed the list. Others see the list only after the last
// one: a server that was removed and listed again in between does not look removed for a moment.
func (f *Fleet) Update(now time.Time, changes ...Change) bool {
	f.mu.Lock()

	changed := false

	for _, change := range changes {
		switch c := change.(type) {
		case Listed:
			changed = f.put(now, c.Server) || changed
		case Removed:
			changed = f.remove(now, c) || changed
		}
	}

	f.mu.Unlock()

	if changed {
		f.notify()
	}

	return changed
}

// put adds or updates a server, and reports whether that changed the list. The lock must be held.
func (f *Fleet) put(now time.Time, server Server) bool {
	if f.servers == nil {
		f.servers = map[string]Server{}
		f.removeAt = map[string]time.Time{}
	}

	before, listed := f.servers[server.ID]
	_, removing := f.removeAt[server.ID]

	if listed && before.Version != server.Version {
		f.recordVersion(now, before)
	}

	f.recordEnd(now, server)
	f.servers[server.ID] = server
	delete(f.removeAt, server.ID)
	delete(f.left, server.ID)

	f.markSynced(now)

	return removing || before != server
}

// markSynced records that the list was read. The lock must be held.
func (f *Fleet) markSynced(now time.Time) {
	if !f.synced {
		f.synced, f.syncedAt = true, now
	}
}

// remove removes a server that vanished from the list, and reports whether it was listed. The lock must be held.
func (f *Fleet) remove(now time.Time, removed Removed) bool {
	if _, listed := f.servers[removed.ID]; !listed {
		return false
	}

	if removed.At.After(now) {
		f.removeAt[removed.ID] = removed.At
	} else {
		f.drop(now, removed.ID)
	}

	return true
}

// recordEnd records when a draining server ends, unless that is known. The lock must be held.
func (f *Fleet) recordEnd(now time.Time, server Server) {
	if !server.Draining || server.Remaining <= 0 {
		delete(f.endsAt, server.ID)
		return
	}

	if _, known := f.endsAt[server.ID]; known && f.servers[server.ID] == server {
		return
	}

	if f.endsAt == nil {
		f.endsAt = map[string]time.Time{}
	}

	f.endsAt[server.ID] = now.Add(server.Remaining)
}

// EndsAt returns when the process of a server ends, whatever it runs; false if that is not known.
func (f *Fleet) EndsAt(server Server) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	at, known := f.endsAt[server.ID]

	return at, known && f.servers[server.ID].StartedAt == server.StartedAt
}

// drop removes a server and remembers it. The lock must be held.
func (f *Fleet) drop(now time.Time, id string) {
	maps.DeleteFunc(f.left, func(_ string, old departure) bool { return now.Sub(old.at) > leftRetention })

	if f.left == nil {
		f.left = map[string]departure{}
	}

	f.recordVersion(now, f.servers[id])
	f.left[id] = departure{startedAt: f.servers[id].StartedAt, at: now}

	delete(f.servers, id)
	delete(f.removeAt, id)
	delete(f.endsAt, id)
}

// HasLeft reports whether the process of a server was removed within the last ten minutes and not listed since.
func (f *Fleet) HasLeft(server Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	old, ok := f.left[server.ID]

	return ok && old.startedAt == server.StartedAt
}

// Remembers reports whether a server is listed or was removed within the last ten minutes.
func (f *Fleet) Remembers(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	_, listed := f.servers[id]
	_, left := f.left[id]

	return listed || left
}

// Retain removes all servers except the listed ones at the given time, and reports whether there were others.
func (f *Fleet) Retain(now time.Time, listed map[string]bool, at time.Time) bool {
	var removals []Change

	for _, server := range f.All() {
		if !listed[server.ID] {
			removals = append(removals, Removed{ID: server.ID, At: at})
		}
	}

	return f.Update(now, removals...)
}

// Evacuate sets the evacuations by failure domain. The map must not be changed afterwards.
func (f *Fleet) Evacuate(evacuations map[string]Evacuation) {
	f.mu.Lock()
	f.evacuations = evacuations
	f.mu.Unlock()
	f.notify()
}

// evacuated reports whether the servers of a failure domain get no requests. The lock must be held.
func (f *Fleet) evacuated(now time.Time, domain string) bool {
	evacuation, ok := f.evacuations[domain]

	return ok && evacuation.Active(now)
}

// Usable returns the servers of a service that may receive requests.
func (f *Fleet) Usable(now time.Time, service string) []Server {
	f.mu.Lock()
	defer f.mu.Unlock()

	var usable []Server

	for id, server := range f.servers {
		if server.Service != service || server.Draining || f.evacuated(now, server.Domain) {
			continue
		}

		if until, ok := f.removeAt[id]; ok && now.After(until) {
			f.drop(now, id)

			continue
		}

		usable = append(usable, server)
	}

	return usable
}

// Get returns a listed server; false if it is not listed or may not receive requests.
func (f *Fleet) Get(id string) (Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	server, ok := f.servers[id]

	return server, ok && !server.Draining && !f.evacuated(time.Now(), server.Domain)
}

// Find returns a listed server, whether it may receive requests or not; false if it is not listed.
func (f *Fleet) Find(id string) (Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	server, ok := f.servers[id]

	return server, ok
}

// All returns every listed server, and those that have vanished from the list and stay in use.
func (f *Fleet) All() []Server {
	f.mu.Lock()
	defer f.mu.Unlock()

	all := make([]Server, 0, len(f.servers))
	for id, server := range f.servers {
		_, server.Vanished = f.removeAt[id]
		all = append(all, server)
	}

	return all
}

// HasSynced reports whether the list was read at least once.
func (f *Fleet) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.synced
}

func (f *Fleet) notify() {
	if f.OnChange != nil {
		f.OnChange()
	}
}

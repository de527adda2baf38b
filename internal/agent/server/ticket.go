package server

import (
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// ticketLifetime is how long a ticket is valid on the agent's clock. An entry that was paused for longer cannot start
	// requests with outdated keys, limits or domain states.
	ticketLifetime = 3 * time.Second
	// ticketReuseThreshold is the remaining lifetime above which an entry receives its current ticket again.
	ticketReuseThreshold = 2 * time.Second
)

// ticket allows one entry to send requests until it expires.
type ticket struct {
	id        string
	entry     string
	expiresAt time.Time
}

// tickets issues and checks the tickets of entries.
type tickets struct {
	mu sync.Mutex
	// valid holds the tickets by id; expired ones are removed when a new one is issued.
	valid map[string]ticket
	// current holds the newest ticket of each entry.
	current map[string]ticket
}

// issue returns a valid ticket for the entry.
func (t *tickets) issue(now time.Time, entry string) *rpc.Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()

	newest, ok := t.current[entry]

	if !ok || newest.expiresAt.Sub(now) < ticketReuseThreshold {
		t.prune(now)
		newest = ticket{id: ident.New("ticket"), entry: entry, expiresAt: now.Add(ticketLifetime)}
		t.valid[newest.id] = newest
		t.current[entry] = newest
	}

	return &rpc.Ticket{Id: newest.id, RemainingMs: newest.expiresAt.Sub(now).Milliseconds()}
}

// check reports whether the ticket was issued to the entry and has not expired, and returns the ticket's age, which is the
// maximum transit time of the request.
func (t *tickets) check(now time.Time, entry, id string) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	found, ok := t.valid[id]
	if !ok || found.entry != entry || !now.Before(found.expiresAt) {
		return 0, false
	}

	return ticketLifetime - found.expiresAt.Sub(now), true
}

func (t *tickets) prune(now time.Time) {
	for id, issued := range t.valid {
		if !now.Before(issued.expiresAt) {
			delete(t.valid, id)
		}
	}

	for entry, issued := range t.current {
		if !now.Before(issued.expiresAt) {
			delete(t.current, entry)
		}
	}
}

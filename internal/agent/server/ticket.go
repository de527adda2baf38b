package server

import (
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// ticketLife is how long a ticket is valid on the agent's clock. An entry that was frozen for longer cannot start work
	// under old keys, limits or domain states.
	ticketLife = 3 * time.Second
	// ticketReuse is the remaining lifetime above which an entry is given its current ticket again.
	ticketReuse = 2 * time.Second
)

type ticket struct {
	id      string
	entry   string
	expires time.Time
}

// tickets issues and checks the permissions of entries to start work.
type tickets struct {
	mu sync.Mutex
	// valid holds the tickets by id; expired ones are dropped on issue.
	valid map[string]ticket
	// current holds the newest ticket of each entry.
	current map[string]ticket
}

// issue returns a ticket for the entry.
func (t *tickets) issue(now time.Time, entry string) *rpc.Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()

	held, ok := t.current[entry]

	if !ok || held.expires.Sub(now) < ticketReuse {
		t.prune(now)
		held = ticket{id: ident.New("ticket"), entry: entry, expires: now.Add(ticketLife)}
		t.valid[held.id] = held
		t.current[entry] = held
	}

	return &rpc.Ticket{Id: held.id, RemainingMs: held.expires.Sub(now).Milliseconds()}
}

// check reports whether the entry holds the ticket and it has not expired.
func (t *tickets) check(now time.Time, entry, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	held, ok := t.valid[id]

	return ok && held.entry == entry && now.Before(held.expires)
}

func (t *tickets) prune(now time.Time) {
	for id, held := range t.valid {
		if !now.Before(held.expires) {
			delete(t.valid, id)
		}
	}

	for entry, held := range t.current {
		if !now.Before(held.expires) {
			delete(t.current, entry)
		}
	}
}

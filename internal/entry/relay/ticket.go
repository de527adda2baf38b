package relay

import (
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// ticket is the permission of an agent process to send it requests.
type ticket struct {
	id   string
	boot string
	// expires is conservative: it counts from the arrival of a lifetime that was true when the message was sent, and the
	// agent checks its own clock.
	expires time.Time
}

// tickets keeps the newest ticket of each address. The zero value is ready.
type tickets struct {
	mu   sync.Mutex
	byIP map[string]ticket
}

func (t *tickets) get(address string, now time.Time) (ticket, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	found, ok := t.byIP[address]

	return found, ok && now.Before(found.expires)
}

func (t *tickets) keep(address, boot string, from *rpc.Ticket, now time.Time) {
	if from == nil || boot == "" {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if t.byIP == nil {
		t.byIP = map[string]ticket{}
	}

	t.byIP[address] = ticket{
		id:      from.Id,
		boot:    boot,
		expires: now.Add(time.Duration(from.RemainingMs) * time.Millisecond),
	}
}

func (t *tickets) drop(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.byIP, address)
}

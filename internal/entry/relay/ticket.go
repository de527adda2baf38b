package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// pruneThreshold is the number of cached tickets from which on expired ones are removed. VMs are replaced all the time, so the
// cache would grow without bound.
const pruneThreshold = 4096

// agentTicket permits sending requests to one agent process until it expires.
type agentTicket struct {
	id   string
	boot string
	// expires is when the ticket expires on this process's clock. The remaining lifetime is counted from the arrival of the
	// message, so this may be late by the transit time; the agent checks the expiry on its own clock.
	expires time.Time
}

// ticketCache holds the newest ticket of each address. The zero value is ready.
type ticketCache struct {
	mu        sync.Mutex
	byAddress map[string]agentTicket
}

func (t *ticketCache) get(address string, now time.Time) (agentTicket, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	found, ok := t.byAddress[address]

	return found, ok && now.Before(found.expires)
}

func (t *ticketCache) store(address, boot string, from *rpc.Ticket, now time.Time) {
	if from == nil || boot == "" {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if t.byAddress == nil {
		t.byAddress = map[string]agentTicket{}
	}

	if len(t.byAddress) >= pruneThreshold {
		maps.DeleteFunc(t.byAddress, func(_ string, cached agentTicket) bool { return now.After(cached.expires) })
	}

	t.byAddress[address] = agentTicket{
		id:      from.Id,
		boot:    boot,
		expires: now.Add(time.Duration(from.RemainingMs) * time.Millisecond),
	}
}

func (t *ticketCache) remove(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.byAddress, address)
}

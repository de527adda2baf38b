package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
)

const (
	// maxPendingEnds is the number of ends of servers that may wait for their confirmation, and pendingEndTime how long they wait: a
	// server that has ended is listed anew after some seconds.
	maxPendingEnds = 64
	pendingEndTime = 10 * time.Second
)

// pendingEnds holds broken connections of plain services for which it is not known yet whether the server has ended, oldest first.
type pendingEnds struct {
	mu   sync.Mutex
	ends []pendingEnd
}

// pendingEnd is the crash of a server, if it has ended.
type pendingEnd struct {
	server fleet.Server
	crash  quarantine.Crash
}

func (p *pendingEnds) add(end pendingEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.ends = append(p.ends, end)
	p.ends = p.ends[max(len(p.ends)-maxPendingEnds, 0):]
}

// any reports whether an end waits for its confirmation.
func (p *pendingEnds) any() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.ends) > 0
}

// confirm removes and returns the crashes of servers at whose addresses the list has a process that started later, and drops those that
// have waited for too long.
func (p *pendingEnds) confirm(now time.Time, listed func() []fleet.Server) []quarantine.Crash {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.ends) == 0 {
		return nil
	}

	servers := listed()

	var confirmed []quarantine.Crash

	p.ends = slices.DeleteFunc(p.ends, func(end pendingEnd) bool {
		replaced := slices.ContainsFunc(servers, func(server fleet.Server) bool { return replaces(&server, &end.server) })
		if replaced {
			confirmed = append(confirmed, end.crash)
		}

		return replaced || now.Sub(end.crash.At) > pendingEndTime
	})

	return confirmed
}

// replaces reports whether a listed server is a later process at the address of another one.
func replaces(listed, earlier *fleet.Server) bool {
	return listed.Address == earlier.Address && (listed.ID != earlier.ID || listed.StartedAt > earlier.StartedAt)
}

// confirmEnds reports the ends of servers that the list confirms.
func (e *Entry) confirmEnds() {
	for _, crash := range e.ends.confirm(time.Now(), e.Fleet.All) {
		e.Quarantine.reportCrash(crash)
	}
}

package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
)

const (
	// reserveShare is the fraction of its equal share of a limit that an entry uses while it cannot reach the holder of the limit.
	reserveShare = 0.5
	// unknownEntries is the number of entries that is assumed while none is known; fleets have a few dozen at most.
	unknownEntries = 64
	// maxLimits is the number of servers of plain services whose limits an entry remembers.
	maxLimits = 1024
)

// limits holds what this entry knows of the limits that servers of plain services have named. Agents keep those of model servers.
type limits struct {
	mu sync.Mutex
	// servers is keyed by server id.
	servers map[string]*plainLimit
}

// plainLimit is the limit of one server.
type plainLimit struct {
	// known holds the newest statement; its bucket is not used.
	known throttle.Limiter
	// blockedUntil is the time before which no request is permitted.
	blockedUntil time.Time
	// reserve permits requests while the holder of the limit cannot be reached; nil otherwise.
	reserve *throttle.Limiter
	// sharers is the number of entries among which reserve is shared.
	sharers int
}

// observe records a statement from a response to this entry, and reports whether the limit has changed.
func (l *limits) observe(now time.Time, s throttle.Statement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	found := l.servers[s.Server]
	if found == nil && !s.Limit.Named {
		return false
	}

	return l.get(s.Server).known.Observe(now, s)
}

// adopt records a statement that an agent has passed on, and reports whether the limit has changed.
func (l *limits) adopt(now time.Time, s throttle.Statement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.get(s.Server).known.Adopt(now, s)
}

// get returns the limit of a server. The lock must be held.
func (l *limits) get(server string) *plainLimit {
	if l.servers == nil {
		l.servers = map[string]*plainLimit{}
	}

	found := l.servers[server]
	if found == nil {
		found = &plainLimit{}
		l.servers[server] = found
	}

	return found
}

// retain forgets servers that are no longer listed, if there are many.
func (l *limits) retain(listed func(server string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if len(l.servers) > maxLimits {
		maps.DeleteFunc(l.servers, func(id string, _ *plainLimit) bool { return !listed(id) })
	}
}

// limited returns the newest statement of a server; false if it has no limit.
func (l *limits) limited(server fleet.Server) (throttle.Statement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	found := l.servers[server.ID]
	if found == nil {
		return throttle.Statement{}, false
	}

	newest := found.known.Newest()

	return newest, newest.Limit.Named && newest.StartedAt == server.StartedAt
}

// blockedFor returns the time until a request may be sent to a server, as far as this entry knows; 0 or less if it may ask.
func (l *limits) blockedFor(now time.Time, server fleet.Server) time.Duration {
	if _, limited := l.limited(server); !limited {
		return 0
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	return l.servers[server.ID].blockedUntil.Sub(now)
}

// settle records the decision of the holder of a limit, and returns it.
func (l *limits) settle(now time.Time, server string, decision link.Permit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	found := l.get(server)
	found.known.Adopt(now, decision.Newest)
	found.reserve = nil

	if !decision.Granted {
		found.blockedUntil = now.Add(decision.Wait)
	}

	return decision.Granted
}

// takeReserve reports whether one of the given number of entries, 0 if it is not known, may send a request to a server whose holder it
// cannot reach.
func (l *limits) takeReserve(now time.Time, server string, entries int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	found := l.get(server)
	if entries == 0 {
		entries = unknownEntries
	}

	if found.reserve == nil || found.sharers < entries {
		found.reserve = &throttle.Limiter{Share: reserveShare / float64(entries)}
		found.sharers = entries
	}

	found.reserve.Observe(now, found.known.Newest())

	if found.reserve.Take(now, 0) {
		return true
	}

	found.blockedUntil = now.Add(found.reserve.Wait(now, 0))

	return false
}

package throttle

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/agreement"
)

const (
	// maxServers is the number of servers whose limits a holder remembers.
	maxServers = 1024
	// retention is how long a holder remembers a server of which nothing is reported.
	retention = 10 * time.Minute
	// urgentPeriod is how long a request that had to wait keeps less urgent ones from taking the last of what a server takes.
	urgentPeriod = time.Second
)

// Holder keeps the requests of several senders to servers within the limits of the servers. Its exported field is set before use. It is not safe
// for concurrent use.
type Holder struct {
	// Followers tells which lists of servers the connected senders follow; nil if all follow the same one.
	Followers *agreement.Followers

	// servers is keyed by server id.
	servers map[string]*heldLimit
	version int
}

// heldLimit is the limiter of one server.
type heldLimit struct {
	Limiter
	// reportedAt is when a sender last passed on a statement.
	reportedAt time.Time
	// urgency is that of the most urgent request that was denied lately, at the time deniedAt; it is set if denied is true.
	urgency  int
	denied   bool
	deniedAt time.Time
	// claimants holds the lists by which senders have chosen this holder.
	claimants agreement.Claimants
}

// Adopt records a statement that a sender has passed on.
func (h *Holder) Adopt(now time.Time, s Statement) {
	if h.servers == nil {
		h.servers = map[string]*heldLimit{}
	}

	found := h.servers[s.Server]
	if found == nil {
		h.makeRoom(now)

		found = &heldLimit{}
		h.servers[s.Server] = found
	}

	found.reportedAt = now

	if found.Adopt(now, s) {
		h.version++
	}
}

// Claim records by which list of servers a sender has chosen this holder of the limit of a server. The holder grants the share of the senders that
// choose it.
func (h *Holder) Claim(now time.Time, server string, claim agreement.Claim) {
	if held := h.servers[server]; held != nil {
		held.setShare(now, held.claimants.Add(now, claim, h.Followers).Share())
	}
}

// makeRoom forgets servers of which nothing was reported within retention, and the one reported longest ago if there are too many.
func (h *Holder) makeRoom(now time.Time) {
	maps.DeleteFunc(h.servers, func(_ string, held *heldLimit) bool { return now.Sub(held.reportedAt) > retention })

	if len(h.servers) < maxServers {
		return
	}

	oldest := ""

	for id, held := range h.servers {
		if oldest == "" || held.reportedAt.Before(h.servers[oldest].reportedAt) {
			oldest = id
		}
	}

	delete(h.servers, oldest)
}

// Take reports whether one request may be sent to a server now, and how long to wait if not. A request leaves the last one that the
// server takes to a more urgent one that was denied lately; 0 is the highest urgency.
func (h *Holder) Take(now time.Time, server string, urgency int) (granted bool, wait time.Duration) {
	held := h.servers[server]
	if held == nil {
		return true, 0
	}

	if held.denied && now.Sub(held.deniedAt) > urgentPeriod {
		held.denied = false
	}

	reserve := 0
	if held.denied && urgency > held.urgency {
		reserve = 1
	}

	if held.Take(now, reserve) {
		return true, 0
	}

	if !held.denied || urgency <= held.urgency {
		held.denied, held.urgency, held.deniedAt = true, urgency, now
	}

	return false, held.Wait(now, reserve)
}

// Newest returns the newest statement of a server; without a limit for one that is unknown.
func (h *Holder) Newest(server string) Statement {
	held := h.servers[server]
	if held == nil {
		return Statement{Server: server}
	}

	return held.newest
}

// Statements returns the newest statement of each server, sorted by server.
func (h *Holder) Statements() []Statement {
	statements := make([]Statement, 0, len(h.servers))

	for _, id := range slices.Sorted(maps.Keys(h.servers)) {
		statements = append(statements, h.servers[id].newest)
	}

	return statements
}

// Version changes whenever a limit changes.
func (h *Holder) Version() int {
	return h.version
}

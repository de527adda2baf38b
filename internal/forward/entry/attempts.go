package entry

import (
	"maps"
	"sync"
	"time"
)

// minSweepSize is the least number of remembered requests at which those are removed whose deadlines have passed.
const minSweepSize = 1024

// attempts holds the requests that may run once at most and that this entry has taken up, until their deadlines. A client, or what
// connects it, may send a request again on another connection under the same id.
type attempts struct {
	mu sync.Mutex
	// until is keyed by request id.
	until map[string]time.Time
	// sweepSize is the number of requests at which the next sweep is due: twice those that the last one left.
	sweepSize int
}

// begin records a request, and reports whether no other one with the id is remembered. Requests without an id cannot be told apart.
func (a *attempts) begin(now time.Time, id string, deadline time.Time) bool {
	if id == "" {
		return true
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	if a.until == nil {
		a.until = map[string]time.Time{}
	}

	if len(a.until) >= max(a.sweepSize, minSweepSize) {
		maps.DeleteFunc(a.until, func(_ string, until time.Time) bool { return now.After(until) })
		a.sweepSize = 2 * len(a.until)
	}

	if until, ok := a.until[id]; ok && !now.After(until) {
		return false
	}

	a.until[id] = deadline

	return true
}

// forget removes a request that has not run.
func (a *attempts) forget(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.until, id)
}

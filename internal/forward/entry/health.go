package entry

import (
	"sync"
	"time"
)

const (
	// firstSuspectTime is how long a server is avoided after its first failed request; the time doubles with each further
	// failure in a row up to maxSuspectTime.
	firstSuspectTime = 300 * time.Millisecond
	maxSuspectTime   = 4 * time.Second
)

// health tracks the servers that failed their latest requests.
type health struct {
	mu sync.Mutex
	// failed is keyed by server id.
	failed map[string]failures
}

// failures counts the failed requests of a server in a row; the server is suspect until the given time.
type failures struct {
	count int
	until time.Time
}

func (h *health) recordFailure(now time.Time, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.failed == nil {
		h.failed = map[string]failures{}
	}

	found := h.failed[id]
	found.count++
	found.until = now.Add(min(firstSuspectTime<<min(found.count-1, 6), maxSuspectTime))
	h.failed[id] = found
}

func (h *health) recordSuccess(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	delete(h.failed, id)
}

// suspect reports whether the server is to be avoided because it failed requests recently.
func (h *health) suspect(now time.Time, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return now.Before(h.failed[id].until)
}

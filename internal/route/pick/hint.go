package pick

import (
	"sync"
	"time"
)

// hintLife is how long a load report counts. A server that looked busy longer ago gets a request, whose answer carries
// a new report.
const hintLife = 2 * time.Second

// Load is what an agent reports about its backend server.
type Load struct {
	Running  int
	Queued   int
	Limit    int
	Cold     bool
	Draining bool
	// Epoch numbers the changes of Resident.
	Epoch int64
	// Resident lists resident adapters as adapter@version; it counts only if Sent is set.
	Resident []string
	Sent     bool
}

// hint is what is known about one backend server from its last answers.
type hint struct {
	mu       sync.Mutex
	load     Load
	resident map[string]struct{}
	reported time.Time
	// sent counts requests given to the server since the last report.
	sent int
}

func (h *hint) report(load Load, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if load.Sent {
		h.resident = make(map[string]struct{}, len(load.Resident))
		for _, name := range load.Resident {
			h.resident[name] = struct{}{}
		}
	} else {
		load.Epoch = h.load.Epoch
	}

	load.Resident = nil
	h.load = load
	h.reported = now
	h.sent = 0
}

func (h *hint) epoch() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.load.Epoch
}

func (h *hint) given() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.sent++
}

// state is a candidate as the choice sees it.
type state struct {
	resident bool
	draining bool
	// room says that the server can take the request without a long wait.
	room bool
	// load is the number of requests at the server divided by its limit.
	load float64
}

func (h *hint) state(name string, now time.Time) state {
	h.mu.Lock()
	defer h.mu.Unlock()

	_, resident := h.resident[name]

	if now.Sub(h.reported) > hintLife || h.load.Limit < 1 {
		return state{resident: resident, room: true}
	}

	requests := h.load.Running + h.load.Queued + h.sent

	return state{
		resident: resident,
		draining: h.load.Draining,
		room:     requests < h.load.Limit,
		load:     float64(requests) / float64(h.load.Limit),
	}
}

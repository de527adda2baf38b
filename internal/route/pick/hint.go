package pick

import "time"

// hintLife is how long a load report counts. A server that looked busy longer ago gets one request, whose answer carries a
// new report, and counts as busy for another hintLife: answers begin late where requests queue, and each entry would
// otherwise send all its requests there meanwhile.
const hintLife = 2 * time.Second

// queueShare is the divisor that gives the part of a server's limit which may wait there for a resident adapter.
const queueShare = 2

// Load is what an agent reports about its backend server.
type Load struct {
	Running  int
	Queued   int
	Limit    int
	Draining bool
	// ResidentEpoch numbers the changes of Resident.
	ResidentEpoch int64
	// Resident lists resident adapters as adapter@version; it counts only if ResidentSent is set.
	Resident     []string
	ResidentSent bool
}

// hint is what is known about one backend server from its last answers. It is guarded by the Picker's mutex, and small,
// because a choice among busy servers reads many of them.
type hint struct {
	// until is when the load report lapses, in Unix nanoseconds.
	until int64
	// requests is the number of requests at the server: those reported, and those given to it since.
	requests int
	limit    int
	drains   bool
	resident map[string]struct{}
	// epoch is that of resident.
	epoch int64
}

func (h *hint) report(load Load, now time.Time) {
	if load.ResidentSent {
		h.epoch = load.ResidentEpoch
		h.resident = make(map[string]struct{}, len(load.Resident))

		for _, name := range load.Resident {
			h.resident[name] = struct{}{}
		}
	}

	h.until = now.Add(hintLife).UnixNano()
	h.requests = load.Running + load.Queued
	h.limit = load.Limit
	h.drains = load.Draining
}

// give counts a request that is sent to the server. It probes the server if the report has lapsed.
func (h *hint) give(now time.Time) {
	h.requests++

	if h.limit > 0 && now.UnixNano() >= h.until {
		h.until = now.Add(hintLife).UnixNano()
	}
}

func (h *hint) has(adapter string) bool {
	_, ok := h.resident[adapter]
	return ok
}

// known reports whether there is a load report that counts.
func (h *hint) known(now int64) bool {
	return now < h.until && h.limit > 0
}

// room says that the server can take a request without a long wait.
func (h *hint) room(now int64) bool {
	return !h.draining(now) && (!h.known(now) || h.requests < h.limit)
}

// shortQueue says that a request for a resident adapter waits a little at most, which costs less than loading the adapter at
// another server.
func (h *hint) shortQueue(now int64) bool {
	return !h.draining(now) && (!h.known(now) || h.requests < h.limit+(h.limit+1)/queueShare)
}

// share is the number of requests at the server divided by its limit.
func (h *hint) share(now int64) float64 {
	if !h.known(now) {
		return 0
	}

	return float64(h.requests) / float64(h.limit)
}

func (h *hint) draining(now int64) bool {
	return now < h.until && h.drains
}

package place

import "time"

// PlainServer is a server of a plain service, which runs no models, as a candidate for one request.
type PlainServer struct {
	ID     string
	Domain string
	// Slots is the number of requests that the server can run at the same time.
	Slots int
	// OwnRequests is the number of requests from this entry that the server runs, and OtherRequests the estimated number from
	// other entries.
	OwnRequests   int
	OtherRequests int
	// Slowness is how long work takes now, in percent of what is usual for such servers; 0 if it is not known.
	Slowness int
	// Suspect is true if the last requests to the server failed.
	Suspect bool
	// Leaving is true if the server has announced that it leaves, and RestLeft is how long it still wants no requests, or takes none within
	// the limit that it has named.
	Leaving  bool
	RestLeft time.Duration
}

const (
	// otherDomainLoad is added to the load, in requests per slot, of a server in another failure domain than the entry.
	otherDomainLoad = 0.15
	// suspectLoad is added to the load, in requests per slot, of a server whose last requests failed.
	suspectLoad = 4.0
)

// ChoosePlain returns the index of the server with the lowest load per slot, weighed by its slowness, among those that take requests; -1 if there are
// none.
func ChoosePlain(domain string, servers []PlainServer) int {
	best := -1
	lowest := 0.0

	for i := range servers {
		server := &servers[i]
		if server.Leaving || server.RestLeft > 0 {
			continue
		}

		load := server.load()

		if server.Domain != domain {
			load += otherDomainLoad
		}

		if server.Suspect {
			load += suspectLoad
		}

		if best < 0 || load < lowest {
			best, lowest = i, load
		}
	}

	return best
}

// load returns the load per slot with one more request, weighed by the slowness. That request counts so that of idle servers a slow one costs more.
func (s *PlainServer) load() float64 {
	requests := s.OwnRequests + s.OtherRequests + 1
	slowness := s.Slowness

	if slowness <= 0 {
		slowness = usualSlowness
	}

	return float64(requests*slowness) / float64(max(s.Slots, 1)*usualSlowness)
}

// NextPlain returns the time until the first server that wants no requests for a while takes them again; 0 if there is none.
func NextPlain(servers []PlainServer) time.Duration {
	next := time.Duration(0)

	for i := range servers {
		if rest := servers[i].RestLeft; rest > 0 && !servers[i].Leaving && (next == 0 || rest < next) {
			next = rest
		}
	}

	return next
}

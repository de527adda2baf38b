package place

// Plain is a server of a plain service as a candidate for one request.
type PlainServer struct {
	ID     string
	Domain string
	Slots  int
	// Own is the number of requests that this entry has there, and Others the number that others are believed to have.
	OwnRequests   int
	OtherRequests int
	Suspect       bool
}

const (
	// domainLoad is the load, in requests for each slot, that a server in the entry's failure domain may have more.
	domainLoad = 0.15
	// suspectLoad is added to the load of a server whose last requests failed.
	suspectLoad = 4.0
)

// ChoosePlain returns the index of the least loaded server; -1 without candidates.
func ChoosePlain(domain string, servers []PlainServer) int {
	best := -1
	lowest := 0.0

	for i := range servers {
		server := &servers[i]
		load := float64(server.OwnRequests+server.OtherRequests) / float64(max(server.Slots, 1))

		if server.Domain != domain {
			load += domainLoad
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

// Package place chooses the backend server of a request. For model servers it answers the load of thousands of adapters
// with skewed popularity on few places: each adapter has a home, and popular ones spread to further servers.
package place

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readRate is the speed at which a server is expected to read prompts, in tokens a millisecond.
	readRate = 20
	// loadingCost is the expected wait for an adapter in transit.
	loadingCost = 120 * time.Millisecond
	// homeCost is the expected cost of a load at the home of an adapter, which likely has a copy at hand.
	homeCost = 200 * time.Millisecond
	// awayCost is the cost of a load elsewhere. It is above the wait of a fetch, because each fetch slows others.
	awayCost = 500 * time.Millisecond
	// reuseCost prefers servers that likely have the shared parts of a prompt read already: those of a low rank.
	reuseCost = 2 * time.Millisecond
	// rankCost keeps the order of the servers in which copies are made.
	rankCost = 10 * time.Millisecond
	// fetchCost is the cost of each fetch that a load waits for. It is below the time of a fetch: requests that leave the home
	// of their adapter for its queue cause further fetches there.
	fetchCost = 100 * time.Millisecond
	// crowdedCost is the cost of a load at a server whose places are all in use.
	crowdedCost = 1500 * time.Millisecond
	// runCost is the slowdown by one running request.
	runCost = time.Millisecond
	// domainCost prefers servers in the entry's failure domain, since bytes between failure domains are paid for.
	domainCost = 5 * time.Millisecond
	// suspectCost is the cost of a server whose last requests failed.
	suspectCost = 2 * time.Second
)

// Residency says whether a server holds an adapter.
type Residency int

// The values of Residency.
const (
	Absent Residency = iota
	Loading
	Present
)

// Engine is a model server as a candidate for one request.
type ModelServer struct {
	ID     string
	Domain string
	// Residency is that of the requested adapter at a version that will do.
	Residency Residency
	// Backlog is the number of prompt tokens to be read before those of the request.
	Backlog int64
	Running int
	// Fetches is the number of adapters that are fetched to the server or wait for that.
	Fetches int
	// Idle is the number of places without an adapter in use.
	IdleAdapterSlots int
	// Suspect says that the last requests failed.
	Suspect bool
}

// Query is what the choice depends on besides the candidates.
type Query struct {
	// Adapter is the name of the adapter with its model, or for a request to the model itself that of its prompt's first
	// part. The same name ranks the servers in the same order everywhere.
	Adapter string
	// Domain is the failure domain of the entry.
	Domain string
}

// Choose returns the index of the model server with the lowest expected wait and that wait; -1 without candidates.
func Choose(query Query, engines []ModelServer) (int, time.Duration) {
	best := -1
	scores := make([]uint64, len(engines))

	for i := range engines {
		scores[i] = score(query.Adapter, engines[i].ID)
	}

	var lowest time.Duration

	for i := range engines {
		if cost := engines[i].cost(query, rank(i, scores)); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}

	return best, lowest
}

func (e *ModelServer) cost(query Query, rank int) time.Duration {
	cost := time.Duration(e.Backlog) * time.Millisecond / readRate
	cost += time.Duration(e.Running) * runCost
	cost += time.Duration(rank) * reuseCost

	if e.Domain != query.Domain {
		cost += domainCost
	}

	if e.Suspect {
		cost += suspectCost
	}

	return cost + e.loadCost(rank)
}

func (e *ModelServer) loadCost(rank int) time.Duration {
	switch {
	case e.Residency == Present:
		return 0
	case e.Residency == Loading:
		return loadingCost + time.Duration(e.Fetches)*fetchCost/2
	case e.IdleAdapterSlots <= 0:
		return crowdedCost
	case rank == 0:
		return homeCost + time.Duration(e.Fetches)*fetchCost
	default:
		return awayCost + time.Duration(rank)*rankCost + time.Duration(e.Fetches)*fetchCost
	}
}

// rank returns the number of servers with a higher rendezvous score.
func rank(at int, scores []uint64) int {
	higher := 0

	for _, other := range scores {
		if other > scores[at] {
			higher++
		}
	}

	return higher
}

func score(adapter, id string) uint64 {
	var digest xxhash.Digest

	digest.Reset()
	_, _ = digest.WriteString(adapter)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(id)

	return digest.Sum64()
}

package place

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSingleRanks is the number of servers whose rank is found by a pass over all scores; if more are needed, the scores are sorted.
const maxSingleRanks = 16

// scratch holds buffers for one choice, so that a choice allocates nothing that grows with the fleet.
type scratch struct {
	scores []uint64
	// costs are those of the servers at rank 1; no other server than the first has a lower one.
	costs []time.Duration
	key   []byte
}

var scratches = sync.Pool{New: func() any { return &scratch{} }}

// choice finds the server with the lowest cost. The cost depends on the rank of a server, but most servers are ruled out by what they cost at
// least, so that only few ranks are needed.
type choice struct {
	query   *Query
	servers []ModelServer
	buffers *scratch
	// first is the index of the server with rank 0.
	first int
	// best is the index of the server with the lowest cost so far, bestRank its rank and lowest its cost.
	best, bestRank int
	lowest         time.Duration
}

func newChoice(query *Query, servers []ModelServer) choice {
	buffers, _ := scratches.Get().(*scratch)
	buffers.scores, buffers.costs = buffers.scores[:0], buffers.costs[:0]
	buffers.key = append(append(buffers.key[:0], query.Adapter...), 0)

	c := choice{query: query, servers: servers, buffers: buffers}
	prefix := len(buffers.key)

	for i := range servers {
		buffers.key = append(buffers.key[:prefix], servers[i].ID...)
		buffers.scores = append(buffers.scores, xxhash.Sum64(buffers.key))
		buffers.costs = append(buffers.costs, servers[i].cost(query, 1))

		if buffers.scores[i] > buffers.scores[c.first] {
			c.first = i
		}
	}

	return c
}

func (c *choice) release() {
	scratches.Put(c.buffers)
}

func (c *choice) run() {
	c.best, c.lowest = c.first, c.servers[c.first].cost(c.query, 0)

	// A good candidate first rules out most others.
	if cheapest := c.cheapest(); cheapest != c.first {
		c.consider(cheapest, c.rank(cheapest))
	}

	ranked := 0

	for i, cost := range c.buffers.costs {
		if i == c.first || !c.improves(i, cost) {
			continue
		}

		if ranked == maxSingleRanks {
			c.considerAll()
			return
		}

		c.consider(i, c.rank(i))

		ranked++
	}
}

// cheapest returns the server with the lowest cost if each had the best rank that it can have.
func (c *choice) cheapest() int {
	best, lowest := c.first, c.lowest

	for i, cost := range c.buffers.costs {
		if i != c.first && cost < lowest {
			best, lowest = i, cost
		}
	}

	return best
}

// rank returns the number of servers with a higher score.
func (c *choice) rank(at int) int {
	own := c.buffers.scores[at]
	rank := 0

	for _, score := range c.buffers.scores {
		if score > own {
			rank++
		}
	}

	return rank
}

// considerAll considers each server after sorting them by their scores.
func (c *choice) considerAll() {
	order := make([]int, len(c.servers))
	for i := range order {
		order[i] = i
	}

	scores := c.buffers.scores
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })

	for rank, i := range order {
		c.consider(i, rank)
	}
}

func (c *choice) consider(at, rank int) {
	if cost := c.servers[at].cost(c.query, rank); c.improves(at, cost) {
		c.best, c.bestRank, c.lowest = at, rank, cost
	}
}

// improves reports whether a server is chosen rather than the best one so far. Of servers with the same cost, the first one is chosen.
func (c *choice) improves(at int, cost time.Duration) bool {
	return cost < c.lowest || cost == c.lowest && at < c.best
}

// wait returns the expected wait until the request is started at a server.
func (c *choice) wait(at, rank int) time.Duration {
	server := &c.servers[at]

	return server.wait(c.query, rank, server.tokenTime())
}

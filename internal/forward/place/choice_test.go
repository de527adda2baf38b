package place

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// Guards against a preferred server that differs from that of entries of the previous version, which sorted all servers, and against a server that
// is ruled out although it costs least.
func TestChoiceIsThatOfAFullRanking(t *testing.T) {
	source := rand.New(rand.NewPCG(5, 6))

	for round := range 300 {
		servers := make([]ModelServer, 1+source.IntN(60))
		for i := range servers {
			servers[i] = ModelServer{
				ID: fmt.Sprintf("i-%08x", i), Residency: Residency(source.IntN(3)), Backlog: int64(source.IntN(4)) * 500,
				IdleAdapterSlots: source.IntN(3), Fetches: source.IntN(3), Running: source.IntN(3), Slowness: 100 + 50*source.IntN(3),
			}
		}

		query := Query{Adapter: fmt.Sprint("m/a", round), PromptTokens: 1000}
		got, wait := Choose(query, servers)
		want, least := -1, time.Duration(0)

		for rank, i := range fullRanking(query.Adapter, servers) {
			cost := servers[i].cost(&query, rank)
			if want < 0 || cost < least || cost == least && i < want {
				want, least = i, cost
			}
		}

		assert.Equal(t, got, want, "round %d", round)
		assert.Assert(t, wait <= least)
	}
}

func fullRanking(adapter string, servers []ModelServer) []int {
	order := make([]int, len(servers))
	for i := range order {
		order[i] = i
	}

	score := func(i int) uint64 { return xxhash.Sum64String(adapter + "\x00" + servers[i].ID) }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(score(b), score(a)) })

	return order
}

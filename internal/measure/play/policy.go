package play

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// policy is a way to place and to schedule requests.
type policy struct {
	// choose returns the index of a server and the wait that is expected there; -1 without candidates.
	choose   func(rng *rand.Rand, query place.Query, engines []place.ModelServer) (int, time.Duration)
	schedule schedule.Policy
}

// policies holds the policies by name. "ours" is what the programs do; each other one differs from it in one decision.
var policies = map[string]policy{
	"ours":          {choose: ours, schedule: schedule.DefaultPolicy},
	"many-fetches":  {choose: ours, schedule: schedule.Policy{MaxPrefills: schedule.DefaultPolicy.MaxPrefills, MaxFetches: 4}},
	"many-readers":  {choose: ours, schedule: schedule.Policy{MaxPrefills: 4, MaxFetches: schedule.DefaultPolicy.MaxFetches}},
	"arrival-order": {choose: ours, schedule: schedule.Policy{MaxPrefills: schedule.DefaultPolicy.MaxPrefills, MaxFetches: schedule.DefaultPolicy.MaxFetches, KeepArrivalOrder: true}},
	"least-loaded":  {choose: leastLoaded, schedule: schedule.DefaultPolicy},
	"home-only":     {choose: homeOnly, schedule: schedule.DefaultPolicy},
	"random":        {choose: random, schedule: schedule.DefaultPolicy},
}

func ours(_ *rand.Rand, query place.Query, engines []place.ModelServer) (int, time.Duration) {
	return place.Choose(query, engines)
}

// leastLoaded takes the server with the fewest prompt tokens to read, whatever it holds.
func leastLoaded(_ *rand.Rand, _ place.Query, engines []place.ModelServer) (int, time.Duration) {
	best := -1

	for i := range engines {
		if best < 0 || engines[i].Backlog < engines[best].Backlog {
			best = i
		}
	}

	return best, 0
}

// homeOnly takes the first server in the ranking of the adapter, whatever its load.
func homeOnly(_ *rand.Rand, query place.Query, engines []place.ModelServer) (int, time.Duration) {
	idle := slices.Clone(engines)

	for i := range idle {
		idle[i] = place.ModelServer{ID: idle[i].ID, IdleAdapterSlots: 1}
	}

	return place.Choose(place.Query{Adapter: query.Adapter}, idle)
}

func random(rng *rand.Rand, _ place.Query, engines []place.ModelServer) (int, time.Duration) {
	if len(engines) == 0 {
		return -1, 0
	}

	return rng.IntN(len(engines)), 0
}

package play

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// policy selects servers for requests and schedules the requests at a server.
type policy struct {
	// choose returns the index of a server and the expected wait there; -1 if there are no candidates. The request may wait for maxWait.
	choose   func(rng *rand.Rand, query place.Query, servers []place.ModelServer, maxWait time.Duration) (int, time.Duration)
	schedule schedule.Policy
}

// policies holds the policies by name. "ours" is the policy of the programs; each other one differs from it in one decision.
var policies = map[string]policy{
	"ours":          {choose: defaultChoice, schedule: schedule.DefaultPolicy},
	"many-fetches":  {choose: defaultChoice, schedule: schedule.Policy{MaxPrefills: schedule.DefaultPolicy.MaxPrefills, MaxFetches: 4}},
	"many-readers":  {choose: defaultChoice, schedule: schedule.Policy{MaxPrefills: 4, MaxFetches: schedule.DefaultPolicy.MaxFetches}},
	"arrival-order": {choose: defaultChoice, schedule: schedule.Policy{MaxPrefills: schedule.DefaultPolicy.MaxPrefills, MaxFetches: schedule.DefaultPolicy.MaxFetches, KeepArrivalOrder: true}},
	"urgency-order": {choose: defaultChoice, schedule: schedule.Policy{MaxPrefills: schedule.DefaultPolicy.MaxPrefills, MaxFetches: schedule.DefaultPolicy.MaxFetches, OrderByUrgency: true}},
	"fixed-harm":    {choose: defaultChoice, schedule: schedule.Policy{MaxPrefills: schedule.DefaultPolicy.MaxPrefills, MaxFetches: schedule.DefaultPolicy.MaxFetches, OrderByUrgency: true, FixedHarm: true}},
	"ignore-pauses": {choose: defaultChoice, schedule: schedule.Policy{MaxPrefills: schedule.DefaultPolicy.MaxPrefills, MaxFetches: schedule.DefaultPolicy.MaxFetches, IgnoreGaps: true}},
	"least-loaded":  {choose: leastLoaded, schedule: schedule.DefaultPolicy},
	"home-only":     {choose: preferredOnly, schedule: schedule.DefaultPolicy},
	"random":        {choose: randomServer, schedule: schedule.DefaultPolicy},
}

func defaultChoice(_ *rand.Rand, query place.Query, servers []place.ModelServer, maxWait time.Duration) (int, time.Duration) {
	return place.ChooseWithin(query, servers, maxWait)
}

// leastLoaded chooses the server with the fewest prompt tokens to prefill, regardless of the adapters that it holds.
func leastLoaded(_ *rand.Rand, _ place.Query, servers []place.ModelServer, _ time.Duration) (int, time.Duration) {
	best := -1

	for i := range servers {
		if best < 0 || servers[i].Backlog+servers[i].Sent < servers[best].Backlog+servers[best].Sent {
			best = i
		}
	}

	return best, 0
}

// preferredOnly chooses the preferred server of the adapter, the first in its rendezvous ranking, regardless of its load.
func preferredOnly(_ *rand.Rand, query place.Query, servers []place.ModelServer, _ time.Duration) (int, time.Duration) {
	idle := slices.Clone(servers)

	for i := range idle {
		idle[i] = place.ModelServer{ID: idle[i].ID, IdleAdapterSlots: 1}
	}

	return place.Choose(place.Query{Adapter: query.Adapter}, idle)
}

func randomServer(rng *rand.Rand, _ place.Query, servers []place.ModelServer, _ time.Duration) (int, time.Duration) {
	if len(servers) == 0 {
		return -1, 0
	}

	return rng.IntN(len(servers)), 0
}

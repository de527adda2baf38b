package play

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

const (
	// stateInterval is the time between two states of a server that the entries receive, unless the fleet sets it, and the time
	// between two reports of a server to its agent.
	stateInterval = 100 * time.Millisecond
	// sizeSpread is the ratio of the longest to the shortest prompt or output.
	sizeSpread = 3
	// sizeFloor and sizeLimit are the smallest and the largest prompt or output of workloads with several kinds, by their mean.
	sizeFloor, sizeLimit = 0.33, 4.0
	// capacityMB is the total size of the weights that a server can hold, modelMB the size of the base model, and adapterMB that
	// of an adapter. The capacity is so large that only the adapter slots limit the number of adapters.
	capacityMB, modelMB, adapterMB = 1 << 20, 1 << 10, 1
	// drainTime is how long the simulation continues after the last arrival, so that running requests complete.
	drainTime = time.Minute
)

// simulation is one run of a workload with a policy.
type simulation struct {
	workload *Workload
	policy   policy
	rng      *rand.Rand
	seed     uint64
	clock    clock
	store    store
	servers  []*server
	entries  []*entry
	// inFlight counts the requests without an outcome.
	inFlight int
	result   *Result
}

// simulate runs a workload with a policy; the same seed gives the same arrivals to every policy.
func simulate(workload *Workload, chosen policy, seed uint64) *Result {
	sim := &simulation{
		workload: workload,
		policy:   chosen,
		rng:      rand.New(rand.NewPCG(seed, 2)),
		seed:     seed,
		clock:    clock{now: startTime},
		store:    store{fullSpeedFetches: workload.Fleet.FullSpeedFetches},
		result:   &Result{},
	}

	sim.createFleet()
	sim.scheduleArrivals(rand.New(rand.NewPCG(seed, 1)))
	sim.scheduleServerLosses()
	sim.clock.after(0, func() { sim.publishStates(0) })
	sim.clock.run(startTime.Add(workload.Length + drainTime))
	sim.result.Fetches = sim.store.totalFetches
	sim.result.compute(workload)

	return sim.result
}

func (sim *simulation) createFleet() {
	fleet := sim.workload.Fleet
	limits := schedule.Limits{
		Slots: fleet.Slots, AdapterSlots: fleet.AdapterSlots, KVCapacity: fleet.KVCapacity, CapacityMB: capacityMB,
		Models: []schedule.Model{{Name: modelName, WeightsMB: modelMB, AdapterMB: adapterMB}},
	}

	for i := range fleet.Servers {
		s := &server{
			id: "s" + strconv.Itoa(i), domain: domain(i, fleet), clock: &sim.clock, store: &sim.store,
			requests: map[*schedule.Request]*clientRequest{}, resident: map[schedule.Adapter]bool{},
			chunkTokens: fleet.chunkTokens(), pace: newServerPace(fleet, i, sim.seed),
		}
		s.scheduler.Policy = sim.policy.schedule
		s.scheduler.Configure(limits)
		s.reportState()
		sim.servers = append(sim.servers, s)
	}

	for i := range fleet.Entries {
		e := &entry{simulation: sim, domain: domain(i, fleet), states: map[*server]*link.State{}}
		for _, s := range sim.servers {
			e.states[s] = &link.State{}
		}

		sim.entries = append(sim.entries, e)
	}
}

func domain(i int, fleet Fleet) string {
	return "d" + strconv.Itoa(i%fleet.Domains)
}

// scheduleArrivals draws all requests before the run, so that the outcomes of earlier requests do not affect later ones.
func (sim *simulation) scheduleArrivals(rng *rand.Rand) {
	workload := sim.workload
	zipf := rand.NewZipf(rng, workload.ZipfExponent, 1, uint64(workload.Adapters-1))
	ranks := rng.Perm(workload.Adapters)
	shifts := slices.Clone(workload.PopularityShifts)
	at := time.Duration(0)

	for number := 0; ; number++ {
		at += time.Duration(rng.ExpFloat64() / (workload.Rate * workload.rateFactor(at)) * float64(time.Second))
		if at >= workload.Length {
			return
		}

		for len(shifts) > 0 && at >= shifts[0] {
			shifts = shifts[1:]
			ranks = rng.Perm(workload.Adapters)
		}

		kind := workload.drawKind(rng, at)
		c := &clientRequest{
			number:       number,
			kind:         kind,
			entry:        sim.entries[rng.IntN(len(sim.entries))],
			adapter:      schedule.Adapter{Model: modelName, Name: "a" + strconv.Itoa(ranks[zipf.Uint64()])},
			promptTokens: workload.drawTokens(rng, kind.MeanPromptTokens),
			outputTokens: workload.drawTokens(rng, kind.MeanOutputTokens),
			firstSent:    startTime.Add(at),
			lastSent:     startTime.Add(at),
			refusedBy:    map[*server]bool{},
		}
		sim.inFlight++
		sim.clock.after(at, func() { c.entry.send(c) })
	}
}

// drawKind draws the kind of a request that arrives at the given time.
func (w *Workload) drawKind(rng *rand.Rand, at time.Duration) *Kind {
	if len(w.Kinds) == 1 {
		return &w.Kinds[0]
	}

	left := rng.Float64() * w.rateFactor(at)

	for i := range w.Kinds {
		left -= w.Kinds[i].Share * w.kindFactor(&w.Kinds[i], at)
		if left < 0 {
			return &w.Kinds[i]
		}
	}

	return &w.Kinds[len(w.Kinds)-1]
}

// drawTokens draws a number of tokens with the mean: from a uniform distribution if all requests are of one kind, and otherwise from one with
// few large requests of up to sizeLimit times the mean.
func (w *Workload) drawTokens(rng *rand.Rand, mean float64) int64 {
	if len(w.Kinds) > 1 {
		return max(int64(mean*min(sizeFloor+(1-sizeFloor)*rng.ExpFloat64(), sizeLimit)), 1)
	}

	shortest := 2 * mean / (1 + sizeSpread)

	return max(int64(shortest*(1+(sizeSpread-1)*rng.Float64())), 1)
}

// rateFactor returns the rate of all kinds at a time by that outside bursts.
func (w *Workload) rateFactor(at time.Duration) float64 {
	factor := 0.0

	for i := range w.Kinds {
		factor += w.Kinds[i].Share * w.kindFactor(&w.Kinds[i], at)
	}

	return factor
}

func (w *Workload) kindFactor(kind *Kind, at time.Duration) float64 {
	factor := 1.0

	for _, burst := range w.Bursts {
		if at >= burst.At && at < burst.At+burst.Length && (burst.Kind == "" || burst.Kind == kind.Name) {
			factor *= burst.Factor
		}
	}

	return factor
}

func (sim *simulation) scheduleServerLosses() {
	next := 0

	for _, loss := range sim.workload.ServerLosses {
		lost := sim.servers[min(next, len(sim.servers)):min(next+loss.Servers, len(sim.servers))]
		next += loss.Servers

		sim.clock.after(loss.At, func() {
			for _, s := range lost {
				s.markLost()
			}
		})
	}
}

// publishStates sends the state of each server to the entries of one of the phases in which entries receive them. It also runs
// the schedulers, so that expired requests are refused.
func (sim *simulation) publishStates(phase int) {
	phases := max(int(sim.workload.Fleet.StateInterval/stateInterval), 1)

	for _, s := range sim.servers {
		if s.lost {
			continue
		}

		s.reportState()
		s.runScheduler()

		state := s.scheduler.State(sim.clock.now)

		for i := phase; i < len(sim.entries); i += phases {
			received := receivedState(sim.clock.now, &state)
			sim.entries[i].states[s] = &received
		}
	}

	if sim.inFlight > 0 {
		sim.clock.after(stateInterval, func() { sim.publishStates((phase + 1) % phases) })
	}
}

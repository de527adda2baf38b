package play

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

const (
	// statePeriod is the time between two states of a server at the entries.
	statePeriod = 100 * time.Millisecond
	// sizeSpread is the factor between the shortest and the longest prompt or output.
	sizeSpread = 3
	// capacity is the size of the weights that fit into a server in MB, beside which the places decide.
	capacity, modelSize, adapterSize = 1 << 20, 1 << 10, 1
	// tail is how long running requests may go on after the last arrival.
	tail = time.Minute
)

// world is one run of a load with a policy.
type world struct {
	load    *Load
	policy  policy
	rng     *rand.Rand
	clock   clock
	store   store
	servers []*server
	entries []*entry
	// open counts the requests that have not ended.
	open   int
	result *Result
}

// play runs a load with a policy; the same seed gives the same arrivals to every policy.
func play(load *Load, by policy, seed uint64) *Result {
	w := &world{
		load:   load,
		policy: by,
		rng:    rand.New(rand.NewPCG(seed, 2)),
		clock:  clock{now: start},
		store:  store{full: load.Fleet.Transit},
		result: &Result{},
	}

	w.build()
	w.arrive(rand.New(rand.NewPCG(seed, 1)))
	w.disturb()
	w.clock.after(0, w.publish)
	w.clock.run(start.Add(load.Length + tail))
	w.result.Fetches = w.store.fetched
	w.result.close(load)

	return w.result
}

func (w *world) build() {
	fleet := w.load.Fleet
	limits := schedule.Limits{
		Slots: fleet.Slots, AdapterSlots: fleet.Places, MemoryTokens: fleet.Memory, CapacityMB: capacity,
		Models: []schedule.Model{{Name: modelName, SizeMB: modelSize, AdapterMB: adapterSize}},
	}

	for i := range fleet.Servers {
		s := &server{
			id: "s" + strconv.Itoa(i), domain: domain(i, fleet), clock: &w.clock, store: &w.store,
			calls: map[*schedule.Request]*call{}, held: map[schedule.Adapter]bool{}, running: map[*call]bool{},
		}
		s.agent.Policy = w.policy.schedule
		s.agent.Configure(limits)
		s.observe()
		w.servers = append(w.servers, s)
	}

	for i := range fleet.Entries {
		w.entries = append(w.entries, &entry{world: w, domain: domain(i, fleet), sent: map[*server]sent{}})
	}
}

func domain(i int, fleet Fleet) string {
	return "d" + strconv.Itoa(i%fleet.Domains)
}

// arrive draws all requests at once, so that the answers to earlier ones change nothing.
func (w *world) arrive(rng *rand.Rand) {
	load := w.load
	zipf := rand.NewZipf(rng, load.Skew, 1, uint64(load.Adapters-1))
	ranks := rng.Perm(load.Adapters)
	shifts := slices.Clone(load.Shifts)
	at := time.Duration(0)

	for number := 0; ; number++ {
		at += time.Duration(rng.ExpFloat64() / (load.Rate * load.factor(at)) * float64(time.Second))
		if at >= load.Length {
			return
		}

		for len(shifts) > 0 && at >= shifts[0] {
			shifts = shifts[1:]
			ranks = rng.Perm(load.Adapters)
		}

		c := &call{
			number:  number,
			entry:   w.entries[rng.IntN(len(w.entries))],
			adapter: schedule.Adapter{Model: modelName, Name: "a" + strconv.Itoa(ranks[zipf.Uint64()])},
			input:   size(rng, load.Prompt),
			output:  size(rng, load.Output),
			arrived: start.Add(at),
			asked:   start.Add(at),
			passed:  map[*server]bool{},
		}
		w.open++
		w.clock.after(at, func() { c.entry.send(c) })
	}
}

// size draws a number of tokens with the mean.
func size(rng *rand.Rand, mean float64) int64 {
	shortest := 2 * mean / (1 + sizeSpread)

	return max(int64(shortest*(1+(sizeSpread-1)*rng.Float64())), 1)
}

func (l *Load) factor(at time.Duration) float64 {
	factor := 1.0

	for _, burst := range l.Bursts {
		if at >= burst.At && at < burst.At+burst.Length {
			factor *= burst.Factor
		}
	}

	return factor
}

func (w *world) disturb() {
	next := 0

	for _, loss := range w.load.Losses {
		lost := w.servers[min(next, len(w.servers)):min(next+loss.Servers, len(w.servers))]
		next += loss.Servers

		w.clock.after(loss.At, func() {
			for _, s := range lost {
				s.lose()
			}
		})
	}
}

// publish tells the entries the state of each server, and lets time act on waiting requests.
func (w *world) publish() {
	for _, s := range w.servers {
		if s.gone {
			continue
		}

		s.observe()
		s.advance()
		s.published = s.agent.State()

		for _, e := range w.entries {
			delete(e.sent, s)
		}
	}

	if w.open > 0 {
		w.clock.after(statePeriod, w.publish)
	}
}

package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// mostPause is the longest time between two moments at which faults begin.
	mostPause = 5 * time.Second
	// leastLength and mostLength bound the length of a fault.
	leastLength = time.Second
	mostLength  = 12 * time.Second
)

// step is one fault of a run.
type step struct {
	kind  string
	which int
	// other chooses the entry through which operators work.
	other  int
	length time.Duration
}

// injector applies faults. Several run at once, but only one on each target.
type injector struct {
	fleet *Fleet
	watch *watch
	wait  sync.WaitGroup

	mu     sync.Mutex
	busy   map[string]bool
	counts map[string]int
}

// inject lets the time of the run pass and applies faults meanwhile, one, two or three at a time.
func (p Plan) inject(f *Fleet, w *watch) map[string]int {
	random := rand.New(rand.NewPCG(p.Seed, uint64(len(accounts))))
	made := &injector{fleet: f, watch: w, busy: map[string]bool{}, counts: map[string]int{}}
	end := time.Now().Add(p.Length)

	for len(p.Faults) > 0 && time.Now().Before(end) {
		for range p.together(random) {
			one := p.draw(random)
			made.wait.Go(func() { made.apply(one) })
		}

		time.Sleep(min(time.Duration(random.Int64N(int64(mostPause))), time.Until(end)))
	}

	time.Sleep(time.Until(end))
	made.wait.Wait()

	return made.counts
}

// together returns the number of faults that begin at once: mostly one, sometimes two or three.
func (p Plan) together(random *rand.Rand) int {
	if p.Mild {
		return 1
	}

	return []int{1, 1, 1, 1, 1, 1, 2, 2, 2, 3}[random.IntN(10)]
}

func (p Plan) draw(random *rand.Rand) step {
	return step{
		kind:   p.Faults[random.IntN(len(p.Faults))],
		which:  random.IntN(1 << 16),
		other:  random.IntN(len(domains)),
		length: leastLength + time.Duration(random.Int64N(int64(mostLength-leastLength))),
	}
}

func (i *injector) apply(one step) {
	applied := false

	switch {
	case entryFaults[one.kind] != nil:
		applied = i.onEntry(one)
	case backendFaults[one.kind] != nil:
		applied = i.onBackend(one)
	case sharedFaults[one.kind] != nil:
		applied = i.exclusive(one.kind, func() { sharedFaults[one.kind](i, one) })
	}

	if !applied {
		return
	}

	i.mu.Lock()
	defer i.mu.Unlock()

	i.counts[one.kind]++
}

// exclusive runs a fault unless another one has the same target.
func (i *injector) exclusive(target string, run func()) bool {
	i.mu.Lock()

	if i.busy[target] {
		i.mu.Unlock()
		return false
	}

	i.busy[target] = true
	i.mu.Unlock()

	i.fleet.record.note("begin", target)
	run()
	i.fleet.record.note("end", target)

	i.mu.Lock()
	defer i.mu.Unlock()

	i.busy[target] = false

	return true
}

func (i *injector) onEntry(one step) bool {
	domain := domains[one.which%len(domains)]

	return i.exclusive(entryName(domain), func() { entryFaults[one.kind](i, domain, one) })
}

func (i *injector) onBackend(one step) bool {
	servers := i.fleet.servers(engineFaults[one.kind])
	target := servers[one.which%len(servers)]

	return i.exclusive(target.name, func() { backendFaults[one.kind](i, target, one) })
}

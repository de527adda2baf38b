package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxFaultInterval is the maximum time between two times at which faults begin.
	maxFaultInterval = 5 * time.Second
	// minFaultLength and maxFaultLength bound the duration of a fault.
	minFaultLength = time.Second
	maxFaultLength = 12 * time.Second
)

// step is one fault to inject.
type step struct {
	kind string
	// target selects the target of the fault.
	target int
	// entry selects the entry that operators try first.
	entry  int
	length time.Duration
}

// injector injects faults. Several can be active at the same time, but only one for each target.
type injector struct {
	fleet   *Fleet
	monitor *statusMonitor
	wait    sync.WaitGroup

	mu     sync.Mutex
	busy   map[string]bool
	counts map[string]int
}

// inject injects faults for the duration of the run, one, two or three at a time, and returns their numbers by kind.
func (p Plan) inject(f *Fleet, monitor *statusMonitor) map[string]int {
	random := rand.New(rand.NewPCG(p.Seed, uint64(len(accounts))))
	made := &injector{fleet: f, monitor: monitor, busy: map[string]bool{}, counts: map[string]int{}}
	end := time.Now().Add(p.Length)

	for len(p.Faults) > 0 && time.Now().Before(end) {
		for range p.concurrentFaults(random) {
			one := p.randomStep(random)
			made.wait.Go(func() { made.apply(one) })
		}

		time.Sleep(min(time.Duration(random.Int64N(int64(maxFaultInterval))), time.Until(end)))
	}

	time.Sleep(time.Until(end))
	made.wait.Wait()

	return made.counts
}

// concurrentFaults returns the number of faults that begin at the same time: usually one, sometimes two or three.
func (p Plan) concurrentFaults(random *rand.Rand) int {
	if p.NonDisruptive {
		return 1
	}

	return []int{1, 1, 1, 1, 1, 1, 2, 2, 2, 3}[random.IntN(10)]
}

// randomStep returns a random fault of the plan.
func (p Plan) randomStep(random *rand.Rand) step {
	return step{
		kind:   p.Faults[random.IntN(len(p.Faults))],
		target: random.IntN(1 << 16),
		entry:  random.IntN(len(domains)),
		length: minFaultLength + time.Duration(random.Int64N(int64(maxFaultLength-minFaultLength))),
	}
}

// apply injects a fault and counts it unless its target already has one.
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

// exclusive runs a fault unless another one is active for the target, and reports whether it ran.
func (i *injector) exclusive(target string, run func()) bool {
	i.mu.Lock()

	if i.busy[target] {
		i.mu.Unlock()
		return false
	}

	i.busy[target] = true
	i.mu.Unlock()

	i.fleet.record.recordEvent("begin", target)
	run()
	i.fleet.record.recordEvent("end", target)

	i.mu.Lock()
	defer i.mu.Unlock()

	i.busy[target] = false

	return true
}

func (i *injector) onEntry(one step) bool {
	domain := domains[one.target%len(domains)]

	return i.exclusive(entryName(domain), func() { entryFaults[one.kind](i, domain, one) })
}

func (i *injector) onBackend(one step) bool {
	servers := i.fleet.servers(engineFaults[one.kind])
	target := servers[one.target%len(servers)]

	return i.exclusive(target.name, func() { backendFaults[one.kind](i, target, one) })
}

package policy

import (
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// batch is the number of requests that an engine runs at once.
	batch = 8
	// slotCount is the number of adapters that fit into one engine.
	slotCount = 8
	// stepTime is the time of one token of an empty batch.
	stepTime = 12 * time.Millisecond
	// stepGrowth is how much each request in the batch adds to the time of one step.
	stepGrowth = 0.06
	// prefill is the number of prompt tokens that take as long as one step.
	prefill = 100
	// coldFactor is how much slower a cold engine is, and coldBatch the batch above which it collapses: each request more
	// adds coldFactor once again.
	coldFactor = 4
	coldBatch  = 2
	// warmSteps is the number of steps after which a cold engine is warm.
	warmSteps = 300
	// orderSteps is the service time of a plain call.
	orderSteps = 20
)

// fake is an engine that batches continuously. All requests of a batch advance by one token in a step.
type fake struct {
	loop *loop
	boot int
	// cold is the number of steps until the engine is warm.
	cold float64
	// silent says that the engine does not report that it is cold.
	silent bool

	running []*run
	since   time.Time
	// change invalidates events that were planned for an earlier batch.
	change int64
	// busy is the time with at least one request running, and steps the sum of steps over requests.
	busy  time.Duration
	steps float64
}

// run is one request in a batch.
type run struct {
	first float64
	total float64
	done  float64
	begun bool
	// onFirst and onEnd are called at the first token and at the end.
	onFirst func()
	onEnd   func()
}

func (f *fake) bootID() string {
	return strconv.Itoa(f.boot)
}

// step returns the time of one step.
func (f *fake) step() time.Duration {
	count := float64(len(f.running))
	slow := 1.0

	if f.cold > 0 {
		slow = coldFactor * (1 + max(0, count-coldBatch))
	}

	return time.Duration(float64(stepTime) * (1 + stepGrowth*count) * slow)
}

func (f *fake) start(added *run) {
	f.advance()
	f.running = append(f.running, added)
	f.schedule()
}

// stop cancels a request.
func (f *fake) stop(gone *run) {
	f.advance()
	f.running = slices.DeleteFunc(f.running, func(one *run) bool { return one == gone })
	f.schedule()
}

// turnCold makes the engine cold.
func (f *fake) turnCold(silent bool) {
	f.advance()
	f.cold = warmSteps
	f.silent = silent
	f.schedule()
}

func (f *fake) advance() {
	elapsed := f.loop.now.Sub(f.since)
	f.since = f.loop.now

	if len(f.running) == 0 {
		return
	}

	steps := float64(elapsed) / float64(f.step())
	f.busy += elapsed
	f.steps += steps * float64(len(f.running))
	f.cold -= min(steps, f.cold)

	for _, one := range f.running {
		one.done += steps
	}
}

// schedule plans the next change of the batch.
func (f *fake) schedule() {
	f.change++

	if len(f.running) == 0 {
		return
	}

	next := math.Inf(1)

	for _, one := range f.running {
		next = min(next, one.left())
	}

	if f.cold > 0 {
		next = min(next, f.cold)
	}

	change := f.change
	wait := time.Duration(math.Ceil(next * float64(f.step())))

	f.loop.after(max(wait, time.Nanosecond), func() {
		if f.change == change {
			f.pass()
		}
	})
}

func (r *run) left() float64 {
	if !r.begun {
		return r.first - r.done
	}

	return r.total - r.done
}

// pass tells what has happened by now.
func (f *fake) pass() {
	f.advance()

	// almost covers the rounding of the sums of steps.
	const almost = 1e-6

	var told []func()

	kept := f.running[:0:0]

	for _, one := range f.running {
		if !one.begun && one.done >= one.first-almost {
			one.begun = true
			told = append(told, one.onFirst)
		}

		if one.begun && one.done >= one.total-almost {
			told = append(told, one.onEnd)
			continue
		}

		kept = append(kept, one)
	}

	f.running = kept
	if f.cold < almost {
		f.cold = 0
	}

	f.schedule()

	for _, tell := range told {
		tell()
	}
}

const (
	// loadTime is the time of a load while at most freeLoads are in transit; it grows in proportion beyond.
	loadTime  = 250 * time.Millisecond
	freeLoads = 8
)

// store is the weight store.
type store struct {
	loop    *loop
	transit int
	most    int
	loads   int
}

func (s *store) load(done func()) {
	s.transit++
	s.most = max(s.most, s.transit)
	s.loads++

	took := loadTime * time.Duration(max(s.transit, freeLoads)) / freeLoads

	s.loop.after(took, func() {
		s.transit--
		done()
	})
}

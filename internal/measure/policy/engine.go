package policy

import (
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// batchSize is the maximum number of requests that an engine runs at once.
	batchSize = 8
	// adapterSlots is the number of adapter slots of an engine.
	adapterSlots = 8
	// stepTime is the time of one decode step without the share of its requests.
	stepTime = 12 * time.Millisecond
	// stepGrowth is the fraction of stepTime that each request in the batch adds to a step.
	stepGrowth = 0.06
	// prefillTokensPerStep is the number of prompt tokens whose prefill takes as long as one step.
	prefillTokensPerStep = 100
	// coldSlowdown is how many times slower a cold engine is, up to a batch of coldBatch requests; each further request adds
	// coldSlowdown again.
	coldSlowdown = 4
	coldBatch    = 2
	// warmupSteps is the number of steps after which a cold engine is warm.
	warmupSteps = 300
	// plainCallSteps is the service time of a call to a plain service, in steps.
	plainCallSteps = 20
)

// fakeEngine is a fake engine with continuous batching. All requests of a batch advance by one token in a step.
type fakeEngine struct {
	loop *loop
	boot int
	// coldStepsLeft is the number of steps until the engine is warm.
	coldStepsLeft float64
	// hidesColdStart is true if the engine does not report that it is cold.
	hidesColdStart bool

	running    []*engineRequest
	advancedAt time.Time
	// batchVersion invalidates events that were scheduled for an earlier batch.
	batchVersion int64
	// busyTime is the time with at least one running request, and totalSteps the sum of the steps of all requests.
	busyTime   time.Duration
	totalSteps float64
}

// engineRequest is a request in a batch.
type engineRequest struct {
	stepsToFirstToken float64
	stepsToEnd        float64
	stepsDone         float64
	outputStarted     bool
	// notifyFirstToken is called at the first token, and notifyEnd at the end.
	notifyFirstToken func()
	notifyEnd        func()
}

func (f *fakeEngine) bootID() string {
	return strconv.Itoa(f.boot)
}

// stepDuration returns the time of one step.
func (f *fakeEngine) stepDuration() time.Duration {
	count := float64(len(f.running))
	slowdown := 1.0

	if f.coldStepsLeft > 0 {
		slowdown = coldSlowdown * (1 + max(0, count-coldBatch))
	}

	return time.Duration(float64(stepTime) * (1 + stepGrowth*count) * slowdown)
}

func (f *fakeEngine) start(added *engineRequest) {
	f.advance()
	f.running = append(f.running, added)
	f.scheduleNext()
}

// cancel removes a request from the batch.
func (f *fakeEngine) cancel(cancelled *engineRequest) {
	f.advance()
	f.running = slices.DeleteFunc(f.running, func(one *engineRequest) bool { return one == cancelled })
	f.scheduleNext()
}

// startCold makes the engine cold; silent hides that from its reports.
func (f *fakeEngine) startCold(silent bool) {
	f.advance()
	f.coldStepsLeft = warmupSteps
	f.hidesColdStart = silent
	f.scheduleNext()
}

func (f *fakeEngine) advance() {
	elapsed := f.loop.now.Sub(f.advancedAt)
	f.advancedAt = f.loop.now

	if len(f.running) == 0 {
		return
	}

	steps := float64(elapsed) / float64(f.stepDuration())
	f.busyTime += elapsed
	f.totalSteps += steps * float64(len(f.running))
	f.coldStepsLeft -= min(steps, f.coldStepsLeft)

	for _, one := range f.running {
		one.stepsDone += steps
	}
}

// scheduleNext schedules the event at the next first token, end of a request or end of the cold start.
func (f *fakeEngine) scheduleNext() {
	f.batchVersion++

	if len(f.running) == 0 {
		return
	}

	next := math.Inf(1)

	for _, one := range f.running {
		next = min(next, one.stepsLeft())
	}

	if f.coldStepsLeft > 0 {
		next = min(next, f.coldStepsLeft)
	}

	batchVersion := f.batchVersion
	wait := time.Duration(math.Ceil(next * float64(f.stepDuration())))

	f.loop.after(max(wait, time.Nanosecond), func() {
		if f.batchVersion == batchVersion {
			f.processSteps()
		}
	})
}

func (r *engineRequest) stepsLeft() float64 {
	if !r.outputStarted {
		return r.stepsToFirstToken - r.stepsDone
	}

	return r.stepsToEnd - r.stepsDone
}

// processSteps calls the callbacks of the requests that have reached their first token or their end.
func (f *fakeEngine) processSteps() {
	f.advance()

	// tolerance covers the rounding errors of the sums of steps.
	const tolerance = 1e-6

	var callbacks []func()

	kept := f.running[:0:0]

	for _, one := range f.running {
		if !one.outputStarted && one.stepsDone >= one.stepsToFirstToken-tolerance {
			one.outputStarted = true
			callbacks = append(callbacks, one.notifyFirstToken)
		}

		if one.outputStarted && one.stepsDone >= one.stepsToEnd-tolerance {
			callbacks = append(callbacks, one.notifyEnd)
			continue
		}

		kept = append(kept, one)
	}

	f.running = kept
	if f.coldStepsLeft < tolerance {
		f.coldStepsLeft = 0
	}

	f.scheduleNext()

	for _, callback := range callbacks {
		callback()
	}
}

const (
	// loadTime is the time of a load while at most fullSpeedLoads are in progress; it grows in proportion beyond.
	loadTime       = 250 * time.Millisecond
	fullSpeedLoads = 8
)

// store is the weight store.
type store struct {
	loop           *loop
	activeLoads    int
	maxActiveLoads int
	totalLoads     int
}

func (s *store) load(done func()) {
	s.activeLoads++
	s.maxActiveLoads = max(s.maxActiveLoads, s.activeLoads)
	s.totalLoads++

	duration := loadTime * time.Duration(max(s.activeLoads, fullSpeedLoads)) / fullSpeedLoads

	s.loop.after(duration, func() {
		s.activeLoads--
		done()
	})
}

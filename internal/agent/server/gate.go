package server

import (
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/adapter/slots"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/queue"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/ramp"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// gate decides which requests may run: the queue, the concurrency limit and the adapter slots under one lock.
type gate struct {
	// Wake is called when a load may have become possible.
	Wake func()

	mu    sync.Mutex
	queue queue.Queue
	rate  queue.Rate
	ramp  ramp.Ramp
	slots slots.Slots
	jobs  map[*queue.Item]*job
	// running is the number of places taken; it rises only while it is below the ramp's limit.
	running int
	// cost is the sum of the costs of running requests, in tokens.
	cost int64
}

// limits are the settings of the gate, from the fleet document.
type limits struct {
	queue   int
	ramp    int
	ceiling int
}

func (g *gate) configure(limits limits) {
	g.queue.Limit = limits.queue
	g.ramp.Configure(limits.ramp, limits.ceiling)
}

// enter admits a job to the queue, or returns why it is refused; loads says whether adapters can be loaded now.
func (g *gate) enter(now time.Time, j *job, limits limits, loads bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.configure(limits)

	if err := g.acquire(now, j, loads); err != nil {
		return err
	}

	dropped, err := g.queue.Push(now, &j.item, g.pace())
	if err != nil {
		g.release(j)
		return g.explain(err)
	}

	g.jobs[&j.item] = j

	if dropped != nil {
		g.refuse(g.jobs[dropped], fault.New(fault.Overloaded, "displaced by a request of a higher class"))
	}

	g.dispatch(now)

	return nil
}

// explain names a cold start as the reason for a refusal.
func (g *gate) explain(err error) error {
	if !g.ramp.Cold() {
		return err
	}

	return fault.Wrap(err, fault.Cold, "the backend server is in a cold start").WithRetryAfter(fault.FromError(err).RetryDelay())
}

func (g *gate) pace() queue.Throughput {
	pace := queue.Throughput{Rate: g.rate.Total(g.ramp.Limit())}

	if g.running >= g.ramp.Limit() {
		pace.BusyTokens = float64(g.cost) / float64(g.running)
	}

	return pace
}

// dispatch gives free places to waiting jobs.
func (g *gate) dispatch(now time.Time) {
	defer g.measure()

	for g.running < g.ramp.Limit() {
		item := g.queue.Pop()
		if item == nil {
			return
		}

		j := g.jobs[item]
		delete(g.jobs, item)

		g.running++
		invariant.Check(g.running <= g.ramp.Limit(), "gate.limit", "%d requests run with a limit of %d", g.running, g.ramp.Limit())
		g.cost += item.Cost
		j.place = true
		j.started = now
		j.epoch = g.ramp.Epoch()
		j.turn <- nil
	}
}

func (g *gate) measure() {
	runningGauge.Update(int64(g.running))
	queuedGauge.Update(int64(g.queue.Len()))
	limitGauge.Update(int64(g.ramp.Limit()))
}

// refuse ends a waiting job that is no longer in the queue.
func (g *gate) refuse(j *job, err error) {
	delete(g.jobs, &j.item)
	g.release(j)
	j.turn <- err
}

func (g *gate) release(j *job) {
	if j.waiter != nil {
		g.slots.Release(j.waiter)
		g.Wake()
	}
}

// leave ends a job that did not run, whether it waits or has a place.
func (g *gate) leave(now time.Time, j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.jobs[&j.item] != nil {
		delete(g.jobs, &j.item)
		g.queue.Remove(&j.item)
		g.release(j)
	}

	g.vacate(now, j, 0)
}

// finish ends a job that ran; well says that it ran to its end, and used is what it used of its cost, in tokens.
func (g *gate) finish(now time.Time, j *job, well bool, used int64) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if well {
		g.rate.Observe(j.item.Cost, now.Sub(j.started))
		g.ramp.Complete(j.epoch)
	}

	g.vacate(now, j, used)
}

func (g *gate) vacate(now time.Time, j *job, used int64) {
	if !j.place {
		return
	}

	j.place = false
	g.running--
	g.cost -= j.item.Cost
	g.queue.RefundUnused(&j.item, used)
	invariant.Check(g.running >= 0, "gate.running", "%d requests are running", g.running)
	g.release(j)
	g.dispatch(now)
}

// observe takes the time that one event or call took.
func (g *gate) observe(now time.Time, j *job, phase ramp.Phase, took time.Duration, tokens int64) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.ramp.Observe(now, j.epoch, phase, took, tokens) {
		coldStarts.Inc(1)
	}
}

// busy returns the number of waiting and running jobs.
func (g *gate) busy() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.running + g.queue.Len()
}

// load describes the gate in a message; the resident list is included only if it is not the known one.
func (g *gate) load(known int64) *rpc.Load {
	g.mu.Lock()
	defer g.mu.Unlock()

	load := &rpc.Load{
		Running:       int32(g.running),
		Queued:        int32(g.queue.Len()),
		Limit:         int32(g.ramp.Limit()),
		Cold:          g.ramp.Cold(),
		ResidentEpoch: g.slots.Epoch(),
	}

	if known != noList && load.ResidentEpoch != known {
		load.Resident, load.ResidentEpoch = g.slots.Resident()
		load.ResidentSent = true
	}

	return load
}

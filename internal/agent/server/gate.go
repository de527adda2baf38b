package server

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/adapter/slots"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/queue"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/ramp"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// job is one request between its arrival and its end.
type job struct {
	item queue.Item
	// waiter holds the adapter; nil for plain services.
	waiter *slots.Waiter
	// turn receives nil when the request may start, or why it is refused. It has room for one value.
	turn chan error
	// arrived and loaded are when the request arrived and when it had its adapter.
	arrived time.Time
	loaded  time.Time
	// started, epoch and place belong to a request that has a place among the running ones.
	started time.Time
	epoch   int64
	place   bool
}

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

	return fault.Wrap(err, fault.Cold, "the backend server is in a cold start").WithRetry(fault.Of(err).Retry())
}

// acquire pins the adapter of a job, or marks the job as blocked until the adapter is loaded.
func (g *gate) acquire(now time.Time, j *job, loads bool) error {
	if j.waiter == nil {
		return nil
	}

	status, err := g.slots.Acquire(now, j.waiter)
	if err != nil {
		return err
	}

	if status == slots.Pinned {
		j.loaded = now
		return nil
	}

	if !loads {
		g.slots.Release(j.waiter)
		return fault.New(fault.AdapterUnavailable, "adapters cannot be loaded without a fencing number")
	}

	j.item.Blocked = true
	j.item.Delay = g.slots.Expected(now, j.waiter.Adapter)
	g.Wake()

	return nil
}

func (g *gate) pace() queue.Pace {
	pace := queue.Pace{Rate: g.rate.Total(g.ramp.Limit())}

	if g.running >= g.ramp.Limit() {
		pace.Busy = float64(g.cost) / float64(g.running)
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
	g.queue.Settle(&j.item, used)
	invariant.Check(g.running >= 0, "gate.running", "%d requests are running", g.running)
	g.release(j)
	g.dispatch(now)
}

// holds reports whether the job's adapter is still resident.
func (g *gate) holds(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return j.waiter == nil || g.slots.Holds(j.waiter)
}

// observe takes the time that one event or call took.
func (g *gate) observe(now time.Time, j *job, phase ramp.Phase, took time.Duration, tokens int64) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.ramp.Observe(now, j.epoch, phase, took, tokens) {
		coldStarts.Inc(1)
	}
}

// report takes a reading of the engine's state.
func (g *gate) report(now time.Time, state state) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.configure(state.limits)
	g.slots.Capacity = state.info.Slots

	// A report of an earlier run of the engine says nothing about this one.
	outdated := state.report.Boot != state.info.Boot

	if g.ramp.Report(now, state.info.Boot, state.report.Cold || outdated) {
		coldStarts.Inc(1)
	}

	if state.restarted {
		g.slots.Reset()
	}

	if !outdated {
		g.slots.Report(now, state.report)
	}

	g.repin(now)
	g.dispatch(now)
	g.Wake()
}

// lost records that the engine does not have an adapter that counted as resident.
func (g *gate) lost(now time.Time, adapter engine.Adapter) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.slots.Lost(now, adapter)
	g.repin(now)
}

// repin makes waiting jobs whose adapter is no longer resident wait for its load again.
func (g *gate) repin(now time.Time) {
	for item, j := range g.jobs {
		if j.waiter == nil || item.Blocked || g.slots.Holds(j.waiter) {
			continue
		}

		g.slots.Release(j.waiter)

		status, err := g.slots.Acquire(now, j.waiter)
		if err != nil {
			g.queue.Remove(item)
			g.refuse(j, err)

			continue
		}

		if status == slots.Waiting {
			g.queue.Block(item)
			g.Wake()
		}
	}
}

// next returns the next load to carry out.
func (g *gate) next(now, asked time.Time) (slots.Plan, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.slots.Next(now, asked)
}

// wants reports whether a load is wanted and possible.
func (g *gate) wants(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.slots.Wants(now)
}

func (g *gate) unloaded(now time.Time, adapter engine.Adapter) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.slots.Unloaded(now, adapter)
}

// loaded ends the load in progress and lets its waiting jobs go on, or refuses them if it failed.
func (g *gate) loaded(now time.Time, failure error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	waiters := map[*slots.Waiter]bool{}
	for _, waiter := range g.slots.Loaded(now, failure != nil) {
		waiters[waiter] = true
	}

	for item, j := range g.jobs {
		if !waiters[j.waiter] {
			continue
		}

		if failure != nil {
			g.queue.Remove(item)
			g.refuse(j, fault.Wrap(failure, fault.AdapterUnavailable, "adapter %s could not be loaded", j.waiter.Adapter.Name))

			continue
		}

		j.loaded = now
		g.queue.Unblock(item)
	}

	g.dispatch(now)
}

// abandon ends the load in progress without a result; suspect names an adapter that turned out to be in use.
func (g *gate) abandon(now time.Time, suspect *engine.Adapter) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.slots.Abandon()

	if suspect != nil {
		g.slots.Suspect(now, *suspect)
	}
}

// stall ends the load in progress and refuses every job that waits for one, because no load can be ordered for a while.
func (g *gate) stall(now time.Time, reason error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.slots.Abandon()

	for item, j := range g.jobs {
		if item.Blocked {
			g.queue.Remove(item)
			g.refuse(j, fault.Wrap(reason, fault.AdapterUnavailable, "adapters cannot be loaded without a fencing number"))
		}
	}

	g.dispatch(now)
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

const (
	// refuseLead is how long before its deadline a waiting request is refused. The entry's own deadline is earlier than the
	// agent's by the transit of the request, so that a refusal at the deadline would come too late and the caller would be
	// told that it is not known whether the request ran.
	refuseLead = 100 * time.Millisecond
	// refuseShare bounds refuseLead to this part of the time that is left.
	refuseShare = 4
)

// await returns nil when the job may start, or why it is refused.
func (j *job) await(ctx context.Context) error {
	left := time.Until(j.item.Deadline)
	timer := time.NewTimer(left - min(refuseLead, left/refuseShare))
	defer timer.Stop()

	select {
	case err := <-j.turn:
		return err
	case <-timer.C:
		return fault.New(fault.Overloaded, "not started before its deadline")
	case <-ctx.Done():
		return fault.Of(ctx.Err())
	}
}

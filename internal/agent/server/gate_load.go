package server

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/adapter/slots"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

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
	j.item.Delay = g.slots.ExpectedWait(now, j.waiter.Adapter)
	g.Wake()

	return nil
}

// holds reports whether the job's adapter is still resident.
func (g *gate) holds(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return j.waiter == nil || g.slots.Holds(j.waiter)
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

	return g.slots.StartLoad(now, asked)
}

// wants reports whether a load is wanted and possible.
func (g *gate) wants(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.slots.CanLoad(now)
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
		g.slots.MarkExternalUse(now, *suspect)
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

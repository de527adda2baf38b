package server

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/adapter/slots"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// acquireAdapter pins the adapter of a job, or marks the job as blocked until the adapter is loaded.
func (s *scheduler) acquireAdapter(now time.Time, j *job, canLoad bool) error {
	if j.waiter == nil {
		return nil
	}

	status, err := s.slots.Acquire(now, j.waiter)
	if err != nil {
		return err
	}

	if status == slots.Pinned {
		j.adapterReadyAt = now
		return nil
	}

	if !canLoad {
		s.slots.Release(j.waiter)
		return fault.New(fault.AdapterUnavailable, "adapters cannot be loaded without a fencing number")
	}

	j.item.Blocked = true
	j.item.Delay = s.slots.ExpectedWait(now, j.waiter.Adapter)
	s.WakeLoader()

	return nil
}

// holdsAdapter reports whether the job's adapter is still resident.
func (s *scheduler) holdsAdapter(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return j.waiter == nil || s.slots.Holds(j.waiter)
}

// applyReport updates the scheduler from a report of the engine.
func (s *scheduler) applyReport(now time.Time, state engineState) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.configure(state.limits)
	s.slots.Capacity = state.info.Slots

	// A report with another boot id describes an earlier process of the engine.
	outdated := state.report.Boot != state.info.Boot

	if s.ramp.Report(now, state.info.Boot, state.report.Cold || outdated) {
		coldStarts.Inc(1)
	}

	if state.restarted {
		s.slots.Reset()
	}

	if !outdated {
		s.slots.Report(now, state.report)
	}

	s.reacquireAdapters(now)
	s.dispatch(now)
	s.WakeLoader()
}

// adapterLost records that the engine no longer has an adapter that was assumed to be resident.
func (s *scheduler) adapterLost(now time.Time, adapter engine.Adapter) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.slots.Lost(now, adapter)
	s.reacquireAdapters(now)
}

// reacquireAdapters blocks waiting jobs whose adapter is no longer resident until it is loaded again.
func (s *scheduler) reacquireAdapters(now time.Time) {
	for item, j := range s.jobs {
		if j.waiter == nil || item.Blocked || s.slots.Holds(j.waiter) {
			continue
		}

		s.slots.Release(j.waiter)

		status, err := s.slots.Acquire(now, j.waiter)
		if err != nil {
			s.queue.Remove(item)
			s.refuse(j, err)

			continue
		}

		if status == slots.Waiting {
			s.queue.Block(item)
			s.WakeLoader()
		}
	}
}

// startLoad returns the next load to execute, if there is one. budgetRequested is when its load budget was requested.
func (s *scheduler) startLoad(now, budgetRequested time.Time) (slots.Plan, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.slots.StartLoad(now, budgetRequested)
}

// canLoad reports whether a load is pending and could be started.
func (s *scheduler) canLoad(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.slots.CanLoad(now)
}

// unloaded records that the victim of the load in progress was unloaded.
func (s *scheduler) unloaded(now time.Time, adapter engine.Adapter) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.slots.Unloaded(now, adapter)
}

// finishLoad ends the load in progress and unblocks the jobs that wait for it, or refuses them if it failed.
func (s *scheduler) finishLoad(now time.Time, failure error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	waiters := map[*slots.Waiter]bool{}
	for _, waiter := range s.slots.Loaded(now, failure != nil) {
		waiters[waiter] = true
	}

	for item, j := range s.jobs {
		if !waiters[j.waiter] {
			continue
		}

		if failure != nil {
			s.queue.Remove(item)
			s.refuse(j, fault.Wrap(failure, fault.AdapterUnavailable, "adapter %s could not be loaded", j.waiter.Adapter.Name))

			continue
		}

		j.adapterReadyAt = now
		s.queue.Unblock(item)
	}

	s.dispatch(now)
}

// abandonLoad ends the load in progress without a result. inUse is an adapter that another process uses; nil for none.
func (s *scheduler) abandonLoad(now time.Time, inUse *engine.Adapter) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.slots.Abandon()

	if inUse != nil {
		s.slots.MarkExternalUse(now, *inUse)
	}
}

// refuseBlocked abandons the load in progress and refuses every job that waits for a load, because the engine accepts no
// orders of this process until it has a new fencing number.
func (s *scheduler) refuseBlocked(now time.Time, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.slots.Abandon()

	for item, j := range s.jobs {
		if item.Blocked {
			s.queue.Remove(item)
			s.refuse(j, fault.Wrap(reason, fault.AdapterUnavailable, "adapters cannot be loaded without a fencing number"))
		}
	}

	s.dispatch(now)
}

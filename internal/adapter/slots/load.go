package slots

import (
	"math"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// Plan is a load to be carried out.
type Plan struct {
	Adapter engine.Adapter
	// Victim is the adapter to unload first; nil if a slot is free.
	Victim *engine.Adapter
}

// pendingLoad is an adapter that was requested while it was not resident.
type pendingLoad struct {
	waiters map[*Waiter]bool
	// waitingSince is when the first of the waiters arrived.
	waitingSince time.Time
	// uses is the number of requests since the adapter became pending.
	uses int
	// failures is the number of failed loads in a row.
	failures int
	// retryAt is the earliest time of the next load.
	retryAt time.Time
}

// ExpectedWait returns the expected time until the adapter is resident, 0 if it is.
func (s *Slots) ExpectedWait(now time.Time, adapter engine.Adapter) time.Duration {
	if s.resident[adapter] != nil && !s.unavailable(adapter) {
		return 0
	}

	estimate := s.LoadTime(now)

	var remaining time.Duration

	if s.loading != nil {
		remaining = max(0, estimate-now.Sub(s.loadStarted))

		if s.loading.Adapter == adapter {
			return remaining
		}
	}

	return remaining + estimate*time.Duration(s.loadsAhead(adapter)+1)
}

// loadsAhead returns the number of pending loads with waiters that come before that of the adapter, without the load in
// progress.
func (s *Slots) loadsAhead(adapter engine.Adapter) int {
	own := s.pending[adapter]
	count := 0

	for other, w := range s.pending {
		if other == adapter || len(w.waiters) == 0 || s.loading != nil && s.loading.Adapter == other {
			continue
		}

		if own == nil || len(own.waiters) == 0 || w.waitingSince.Before(own.waitingSince) {
			count++
		}
	}

	return count
}

// LoadTime returns the expected time of one load, including its wait for the budget. The influence of past loads decays:
// otherwise, after one slow load, every later request could be refused as too late, and no load would correct the estimate.
func (s *Slots) LoadTime(now time.Time) time.Duration {
	if s.averageLoadTime == 0 {
		return initialLoadTime
	}

	halfLives := now.Sub(s.averagedAt).Seconds() / loadTimeHalfLife.Seconds()

	return initialLoadTime + time.Duration(float64(s.averageLoadTime-initialLoadTime)*math.Exp2(-halfLives))
}

// CanLoad reports whether a load can be started. If a load has waited for a slot for too long, it starts to free the slot of an
// adapter in use.
func (s *Slots) CanLoad(now time.Time) bool {
	s.init()

	adapter, found := s.chooseLoad(now)
	if !found {
		s.freeing = nil
	}

	if s.loading != nil || !found {
		return false
	}

	if s.resident[adapter] != nil || len(s.resident) < s.Capacity {
		return true
	}

	if _, found = s.chooseVictim(now); found {
		return true
	}

	if s.freeing == nil && now.Sub(s.pending[adapter].waitingSince) >= maxSlotWait {
		s.freeLeastUsed(now)
	}

	return false
}

// StartLoad starts a load and returns its plan, if one can be started. It chooses the pending load with the highest class,
// and within a class the one that has waited longest. The budget for it was requested at budgetRequested.
func (s *Slots) StartLoad(now, budgetRequested time.Time) (Plan, bool) {
	s.init()

	if s.loading != nil {
		return Plan{}, false
	}

	adapter, found := s.chooseLoad(now)
	if !found {
		return Plan{}, false
	}

	plan := Plan{Adapter: adapter}

	if s.resident[adapter] == nil && len(s.resident) >= s.Capacity {
		victim, ok := s.chooseVictim(now)
		if !ok {
			return Plan{}, false
		}

		plan.Victim = &victim
		s.freeing = nil
	}

	s.loading = &plan
	s.loadStarted = budgetRequested

	return plan, true
}

// chooseLoad returns the adapter whose load is next; waiters whose deadline would pass during the load do not count.
func (s *Slots) chooseLoad(now time.Time) (engine.Adapter, bool) {
	var (
		best  engine.Adapter
		class int32
		since time.Time
		found bool
	)

	for adapter, w := range s.pending {
		top, ok := w.highestClass(now.Add(s.LoadTime(now)))
		if !ok || now.Before(w.retryAt) {
			continue
		}

		tied := found && top == class && w.waitingSince.Equal(since) && before(adapter, best)

		if !found || top > class || top == class && w.waitingSince.Before(since) || tied {
			best, class, since, found = adapter, top, w.waitingSince, true
		}
	}

	return best, found
}

// highestClass returns the highest class among the waiters whose deadline is not before ready.
func (w *pendingLoad) highestClass(ready time.Time) (int32, bool) {
	top := int32(math.MinInt32)
	found := false

	for waiter := range w.waiters {
		if !ready.After(waiter.Deadline) {
			top = max(top, waiter.Class)
			found = true
		}
	}

	return top, found
}

// Loaded ends the load in progress and returns its waiters. They have pinned the adapter unless the load failed, after which
// the caller refuses them.
func (s *Slots) Loaded(now time.Time, failed bool) []*Waiter {
	plan := s.loading
	if plan == nil {
		return nil
	}

	s.loading = nil
	w := s.pending[plan.Adapter]

	if failed {
		return s.recordFailure(now, w)
	}

	if s.freeing != nil && *s.freeing == plan.Adapter {
		s.freeing = nil
	}

	s.recordLoadTime(now, now.Sub(s.loadStarted))
	added := s.add(now, plan.Adapter)
	added.externalUse = false

	if w == nil {
		return nil
	}

	delete(s.pending, plan.Adapter)
	added.useFrequency = added.frequencyAt(now, s.halfLife()) + float64(w.uses)
	added.lastUse = now

	var waiters []*Waiter

	for waiter := range w.waiters {
		s.pin(added, waiter)
		waiters = append(waiters, waiter)
	}

	return waiters
}

// recordFailure sets the backoff of a pending load and returns its waiters, which are removed.
func (s *Slots) recordFailure(now time.Time, w *pendingLoad) []*Waiter {
	if w == nil {
		return nil
	}

	backoff := min(firstBackoff<<min(w.failures, 10), maxBackoff)
	w.failures++
	w.retryAt = now.Add(backoff)

	var waiters []*Waiter
	for waiter := range w.waiters {
		waiters = append(waiters, waiter)
	}

	clear(w.waiters)

	return waiters
}

// Abandon ends the load in progress without counting a failure; its waiters remain.
func (s *Slots) Abandon() {
	s.loading = nil
}

// recordLoadTime adds a load to the moving average.
func (s *Slots) recordLoadTime(now time.Time, took time.Duration) {
	estimate := s.LoadTime(now)
	s.averageLoadTime = estimate + time.Duration(loadTimeSmoothing*float64(took-estimate))
	s.averagedAt = now
}

// deleteIfUnused deletes a pending load that has neither waiters nor failures, from which the backoff follows.
func (s *Slots) deleteIfUnused(adapter engine.Adapter, w *pendingLoad) {
	if len(w.waiters) == 0 && w.failures == 0 {
		delete(s.pending, adapter)
	}
}

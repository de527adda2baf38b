package slots

import (
	"math"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// Plan is one load to carry out.
type Plan struct {
	Adapter engine.Adapter
	// Victim is unloaded first; nil if a slot is free.
	Victim *engine.Adapter
}

// want is an adapter that is not resident and was asked for.
type want struct {
	waiters  map[*Waiter]bool
	since    time.Time
	uses     int
	failures int
	// after is the earliest time of the next load.
	after time.Time
}

// ExpectedWait returns the expected time until the adapter is resident.
func (s *Slots) ExpectedWait(now time.Time, adapter engine.Adapter) time.Duration {
	if s.resident[adapter] != nil && !s.leaving(adapter) {
		return 0
	}

	estimate := s.LoadTime(now)

	var rest time.Duration

	if s.loading != nil {
		rest = max(0, estimate-now.Sub(s.started))

		if s.loading.Adapter == adapter {
			return rest
		}
	}

	return rest + estimate*time.Duration(s.ahead(adapter)+1)
}

// ahead returns the number of loads that requests wait for and that come before that of the adapter.
func (s *Slots) ahead(adapter engine.Adapter) int {
	own := s.wanted[adapter]
	count := 0

	for other, w := range s.wanted {
		if other == adapter || len(w.waiters) == 0 || s.loading != nil && s.loading.Adapter == other {
			continue
		}

		if own == nil || len(own.waiters) == 0 || w.since.Before(own.since) {
			count++
		}
	}

	return count
}

// LoadTime returns the expected time of one load, with its wait for the budget. A slow load counts less as it ages:
// otherwise one slow load could make every later request look too late, and no load would ever correct the estimate.
func (s *Slots) LoadTime(now time.Time) time.Duration {
	if s.estimate == 0 {
		return firstEstimate
	}

	age := now.Sub(s.estimated).Seconds() / estimateHalfLife.Seconds()

	return firstEstimate + time.Duration(float64(s.estimate-firstEstimate)*math.Exp2(-age))
}

// CanLoad reports whether a load could be started.
func (s *Slots) CanLoad(now time.Time) bool {
	s.prepare()

	adapter, found := s.choose(now)
	if !found {
		s.closing = nil
	}

	if s.loading != nil || !found {
		return false
	}

	if s.resident[adapter] != nil || len(s.resident) < s.Capacity {
		return true
	}

	if _, found = s.victim(now); found {
		return true
	}

	if s.closing == nil && now.Sub(s.wanted[adapter].since) >= patience {
		s.close(now)
	}

	return false
}

// StartLoad returns the load to carry out next, if one can be started: that of the highest class, and of the longest wait
// inside a class. The budget for it was asked for at the time asked.
func (s *Slots) StartLoad(now, asked time.Time) (Plan, bool) {
	s.prepare()

	if s.loading != nil {
		return Plan{}, false
	}

	adapter, found := s.choose(now)
	if !found {
		return Plan{}, false
	}

	plan := Plan{Adapter: adapter}

	if s.resident[adapter] == nil && len(s.resident) >= s.Capacity {
		victim, ok := s.victim(now)
		if !ok {
			return Plan{}, false
		}

		plan.Victim = &victim
		s.closing = nil
	}

	s.loading = &plan
	s.started = asked

	return plan, true
}

func (s *Slots) choose(now time.Time) (engine.Adapter, bool) {
	var (
		best  engine.Adapter
		class int32
		since time.Time
		found bool
	)

	for adapter, w := range s.wanted {
		top, ok := w.top(now.Add(s.LoadTime(now)))
		if !ok || now.Before(w.after) {
			continue
		}

		tied := found && top == class && w.since.Equal(since) && before(adapter, best)

		if !found || top > class || top == class && w.since.Before(since) || tied {
			best, class, since, found = adapter, top, w.since, true
		}
	}

	return best, found
}

// top returns the highest class among the waiters whose deadline is not before the given time.
func (w *want) top(ready time.Time) (int32, bool) {
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

// Loaded ends the current load and returns the waiters: pinned ones if it succeeded, refused ones if it failed.
func (s *Slots) Loaded(now time.Time, failed bool) []*Waiter {
	plan := s.loading
	if plan == nil {
		return nil
	}

	s.loading = nil
	w := s.wanted[plan.Adapter]

	if failed {
		return s.fail(now, w)
	}

	if s.closing != nil && *s.closing == plan.Adapter {
		s.closing = nil
	}

	s.observe(now, now.Sub(s.started))
	added := s.add(now, plan.Adapter)
	added.suspect = false

	if w == nil {
		return nil
	}

	delete(s.wanted, plan.Adapter)
	added.uses = added.frequency(now, s.halfLife()) + float64(w.uses)
	added.used = now

	var waiters []*Waiter

	for waiter := range w.waiters {
		s.pin(added, waiter)
		waiters = append(waiters, waiter)
	}

	return waiters
}

func (s *Slots) fail(now time.Time, w *want) []*Waiter {
	if w == nil {
		return nil
	}

	pause := min(firstBackoff<<min(w.failures, 10), lastBackoff)
	w.failures++
	w.after = now.Add(pause)

	var waiters []*Waiter
	for waiter := range w.waiters {
		waiters = append(waiters, waiter)
	}

	clear(w.waiters)

	return waiters
}

// Abandon ends the current load without counting a failure; the waiters stay.
func (s *Slots) Abandon() {
	s.loading = nil
}

func (s *Slots) observe(now time.Time, took time.Duration) {
	estimate := s.LoadTime(now)
	s.estimate = estimate + time.Duration(estimateGain*float64(took-estimate))
	s.estimated = now
}

// tidy forgets an adapter that no request waits for and that has no backoff to remember.
func (s *Slots) tidy(adapter engine.Adapter, w *want) {
	if len(w.waiters) == 0 && w.failures == 0 {
		delete(s.wanted, adapter)
	}
}

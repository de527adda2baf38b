// Package slots decides which adapters are resident at an engine: pins, coalesced loads, eviction and load backoff.
package slots

import (
	"math"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

const (
	// defaultHalfLife is the time in which a past use loses half its weight in the use frequency.
	defaultHalfLife = 5 * time.Minute
	// reportLag is how far an engine's report may lag behind its state.
	reportLag = 2 * time.Second
	// firstBackoff and lastBackoff bound the pause after failed loads; it doubles with each failure.
	firstBackoff = time.Second
	lastBackoff  = time.Minute
	// firstEstimate is the expected time of a load before one was seen.
	firstEstimate = 250 * time.Millisecond
	// patience is how long a load waits for a slot while every adapter is in use, before one of them takes no more requests.
	// Without it, requests that overlap could hold every slot for good, and a rare adapter would never be loaded.
	patience = time.Second
	// estimateHalfLife is the time in which the estimate moves half of the way back to firstEstimate.
	estimateHalfLife = 10 * time.Second
	// estimateGain is the weight of the newest load in the expected time.
	estimateGain = 0.3
)

// Status is the answer to Acquire.
type Status int

// The answers: the adapter is resident and pinned, or the caller waits for a load.
const (
	Pinned Status = iota
	Waiting
)

// Waiter is a request that needs an adapter.
type Waiter struct {
	Adapter engine.Adapter
	Class   int32
	// Deadline is the last moment at which the adapter is still of use.
	Deadline time.Time
	// pin is the slot that the waiter holds; nil without a pin.
	pin *slot
}

// Plan is one load to carry out.
type Plan struct {
	Adapter engine.Adapter
	// Victim is unloaded first; nil if a slot is free.
	Victim *engine.Adapter
}

// Slots tracks the adapters of one engine. It is not safe for concurrent use.
type Slots struct {
	// Capacity is the number of adapters that fit at once.
	Capacity int
	// First is the epoch before the first change. Processes choose it at random, so that an epoch that was known of an
	// earlier process does not pass for one of this process.
	First int64
	// HalfLife is the time in which a past use loses half its weight in the use frequency; 0 means five minutes.
	HalfLife time.Duration

	resident map[engine.Adapter]*slot
	wanted   map[engine.Adapter]*want
	// removed holds adapters that were unloaded, with the time, because late reports still list them.
	removed map[engine.Adapter]time.Time
	// loading is the load in progress; at most one.
	loading *Plan
	// closing is an adapter in use that takes no more requests, so that its slot becomes free; nil for none.
	closing *engine.Adapter
	// started is when the budget for the current load was asked for.
	started time.Time
	// estimate is the average time of a load as of the time estimated; 0 before one was seen.
	estimate  time.Duration
	estimated time.Time
	// epoch counts the changes of the resident list.
	epoch int64
}

// slot is one resident adapter.
type slot struct {
	// pins counts the requests that hold the adapter; a slot with pins is never evicted.
	pins int
	// suspect says that a request of an earlier agent process may be using the adapter.
	suspect bool
	// uses is the use frequency as of the time used; it falls by half in each half-life.
	uses  float64
	used  time.Time
	since time.Time
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

// Acquire pins the adapter, or registers the waiter for a load; an error says that it cannot be loaded in time.
func (s *Slots) Acquire(now time.Time, waiter *Waiter) (Status, error) {
	s.prepare()

	if found := s.resident[waiter.Adapter]; found != nil && !s.leaving(waiter.Adapter) {
		found.use(now, s.halfLife())
		s.pin(found, waiter)

		return Pinned, nil
	}

	w := s.wanted[waiter.Adapter]
	if w == nil {
		w = &want{waiters: map[*Waiter]bool{}, since: now}
		s.wanted[waiter.Adapter] = w
	}

	if now.Before(w.after) {
		pause := w.after.Sub(now)
		return Waiting, fault.New(fault.AdapterUnavailable, "adapter %s failed to load", waiter.Adapter.Name).WithRetry(pause)
	}

	if len(w.waiters) == 0 {
		w.since = now
	}

	if now.Add(s.Expected(now, waiter.Adapter)).After(waiter.Deadline) {
		s.tidy(waiter.Adapter, w)
		return Waiting, fault.New(fault.Overloaded, "adapter %s cannot be loaded before the deadline", waiter.Adapter.Name)
	}

	w.waiters[waiter] = true
	w.uses++

	return Waiting, nil
}

// Expected returns the expected time until the adapter is resident.
func (s *Slots) Expected(now time.Time, adapter engine.Adapter) time.Duration {
	if s.resident[adapter] != nil && !s.leaving(adapter) {
		return 0
	}

	estimate := s.Estimate(now)

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

// Estimate returns the expected time of one load, with its wait for the budget. A slow load counts less as it ages:
// otherwise one slow load could make every later request look too late, and no load would ever correct the estimate.
func (s *Slots) Estimate(now time.Time) time.Duration {
	if s.estimate == 0 {
		return firstEstimate
	}

	age := now.Sub(s.estimated).Seconds() / estimateHalfLife.Seconds()

	return firstEstimate + time.Duration(float64(s.estimate-firstEstimate)*math.Exp2(-age))
}

// Release gives up a pin, or a place among the waiters.
func (s *Slots) Release(waiter *Waiter) {
	if w := s.wanted[waiter.Adapter]; w != nil {
		delete(w.waiters, waiter)
		s.tidy(waiter.Adapter, w)
	}

	if waiter.pin == nil {
		return
	}

	waiter.pin.pins--
	invariant.Check(waiter.pin.pins >= 0, "slots.pins", "adapter %v has %d pins", waiter.Adapter, waiter.pin.pins)
	waiter.pin = nil
}

// Holds reports whether the waiter's pin is on an adapter that is still resident.
func (s *Slots) Holds(waiter *Waiter) bool {
	return waiter.pin != nil && s.resident[waiter.Adapter] == waiter.pin
}

// Wants reports whether a load could be started.
func (s *Slots) Wants(now time.Time) bool {
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

// close makes the least frequently used adapter take no more requests.
func (s *Slots) close(now time.Time) {
	if adapter, found := s.least(now, func(candidate *slot) bool { return !candidate.suspect }); found {
		s.closing = &adapter
	}
}

// Next returns the load to carry out next, if one can be started: that of the highest class, and of the longest wait
// inside a class. The budget for it was asked for at the time asked.
func (s *Slots) Next(now, asked time.Time) (Plan, bool) {
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
		top, ok := w.top(now.Add(s.Estimate(now)))
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

// victim returns the least frequently used adapter that nothing uses.
func (s *Slots) victim(now time.Time) (engine.Adapter, bool) {
	return s.least(now, func(candidate *slot) bool { return candidate.pins == 0 && !candidate.suspect })
}

// least returns the least frequently used adapter among those that are eligible.
func (s *Slots) least(now time.Time, eligible func(candidate *slot) bool) (engine.Adapter, bool) {
	var (
		best  engine.Adapter
		score float64
		found bool
	)

	for adapter, candidate := range s.resident {
		if !eligible(candidate) {
			continue
		}

		uses := candidate.frequency(now, s.halfLife())
		tied := found && uses == score && older(candidate, adapter, s.resident[best], best)

		if !found || uses < score || tied {
			best, score, found = adapter, uses, true
		}
	}

	return best, found
}

// older decides between equally frequent adapters: the one whose last use is longer ago, or else the first by name.
func older(a *slot, first engine.Adapter, b *slot, second engine.Adapter) bool {
	if !a.used.Equal(b.used) {
		return a.used.Before(b.used)
	}

	return before(first, second)
}

// before orders adapters by name and version, so that a choice does not depend on the order of a map.
func before(a, b engine.Adapter) bool {
	if a.Name != b.Name {
		return a.Name < b.Name
	}

	return a.Version < b.Version
}

// Unloaded records that the victim of the current load was unloaded; it does nothing after a restart of the engine.
func (s *Slots) Unloaded(now time.Time, adapter engine.Adapter) {
	gone := s.resident[adapter]
	if gone == nil || s.loading == nil {
		return
	}

	invariant.Check(gone.pins == 0, "slots.evict", "adapter %v is evicted with %d pins", adapter, gone.pins)
	s.remove(now, adapter)
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

// Suspect records that something other than this process uses the adapter.
func (s *Slots) Suspect(now time.Time, adapter engine.Adapter) {
	if found := s.resident[adapter]; found != nil {
		found.suspect = true
		found.since = now
	}
}

// Lost records that the engine does not have an adapter that counted as resident.
func (s *Slots) Lost(now time.Time, adapter engine.Adapter) {
	if s.resident[adapter] != nil {
		s.remove(now, adapter)
	}
}

func (s *Slots) observe(now time.Time, took time.Duration) {
	estimate := s.Estimate(now)
	s.estimate = estimate + time.Duration(estimateGain*float64(took-estimate))
	s.estimated = now
}

func (s *Slots) add(now time.Time, adapter engine.Adapter) *slot {
	if known := s.resident[adapter]; known != nil {
		return known
	}

	added := &slot{used: now, since: now}
	s.resident[adapter] = added
	s.epoch++
	delete(s.removed, adapter)

	return added
}

func (s *Slots) remove(now time.Time, adapter engine.Adapter) {
	delete(s.resident, adapter)
	s.removed[adapter] = now

	if s.closing != nil && *s.closing == adapter {
		s.closing = nil
	}

	s.epoch++
}

func (s *Slots) pin(on *slot, waiter *Waiter) {
	on.pins++
	waiter.pin = on
}

// leaving reports whether the adapter takes no more requests, because it is being unloaded or is to be.
func (s *Slots) leaving(adapter engine.Adapter) bool {
	if s.closing != nil && *s.closing == adapter {
		return true
	}

	return s.loading != nil && s.loading.Victim != nil && *s.loading.Victim == adapter
}

// tidy forgets an adapter that no request waits for and that has no backoff to remember.
func (s *Slots) tidy(adapter engine.Adapter, w *want) {
	if len(w.waiters) == 0 && w.failures == 0 {
		delete(s.wanted, adapter)
	}
}

func (s *Slots) prepare() {
	if s.resident != nil {
		return
	}

	s.resident = map[engine.Adapter]*slot{}
	s.wanted = map[engine.Adapter]*want{}
	s.removed = map[engine.Adapter]time.Time{}
}

func (s *Slots) halfLife() time.Duration {
	if s.HalfLife > 0 {
		return s.HalfLife
	}

	return defaultHalfLife
}

func (s *slot) use(now time.Time, halfLife time.Duration) {
	s.uses = s.frequency(now, halfLife) + 1
	s.used = now
}

func (s *slot) frequency(now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(s.used).Seconds() / halfLife.Seconds()
	return s.uses * math.Exp2(-age)
}

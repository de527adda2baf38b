// Package slots manages the adapters that are resident in an engine: pins, coalesced loads, eviction and load backoff.
//
// To evict an adapter is the decision of StartLoad, which returns it as the victim of a load. To unload it is the engine's
// action, which the caller orders and reports with Unloaded. Only then is the adapter removed from the resident list. An
// adapter is also removed without an eviction if the engine no longer has it.
package slots

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

const (
	// defaultHalfLife is the time in which the weight of a past use in the use frequency halves.
	defaultHalfLife = 5 * time.Minute
	// reportLag is how long an engine's report may lag behind its state. Until then, a report does not undo a change that this
	// process made.
	reportLag = 2 * time.Second
	// firstBackoff and maxBackoff bound the backoff after failed loads; it doubles with each failure.
	firstBackoff = time.Second
	maxBackoff   = time.Minute
	// initialLoadTime is the expected time of a load before one has completed.
	initialLoadTime = 250 * time.Millisecond
	// maxSlotWait is how long a load waits for a slot while every adapter is in use, before one of them accepts no more
	// requests. Without it, overlapping requests could hold every slot forever, and a rarely used adapter would never be loaded.
	maxSlotWait = time.Second
	// loadTimeHalfLife is the time in which the expected load time decays halfway to initialLoadTime.
	loadTimeHalfLife = 10 * time.Second
	// loadTimeSmoothing is the weight of the newest load in the expected load time.
	loadTimeSmoothing = 0.3
)

// Status is the result of Acquire.
type Status int

// The results of Acquire: the adapter is resident and pinned, or the caller waits for a load.
const (
	Pinned Status = iota
	Waiting
)

// Waiter is a request that needs an adapter.
type Waiter struct {
	Adapter engine.Adapter
	// Class is the priority; adapters with waiters of a higher class are loaded first.
	Class int32
	// Deadline is the latest time at which the adapter is still useful.
	Deadline time.Time
	// pin is the slot that the waiter has pinned; nil if none.
	pin *slot
}

// Slots manages the adapters of one engine. It is not safe for concurrent use.
type Slots struct {
	// Capacity is the maximum number of resident adapters.
	Capacity int
	// InitialEpoch is the epoch before the first change. Processes choose it at random, so that an epoch of an earlier
	// process is not mistaken for one of this process.
	InitialEpoch int64
	// HalfLife is the time in which the weight of a past use in the use frequency halves; 0 means five minutes.
	HalfLife time.Duration

	resident map[engine.Adapter]*slot
	pending  map[engine.Adapter]*pendingLoad
	// removed maps adapters that are no longer resident to the time of their removal, because lagging reports still list
	// them.
	removed map[engine.Adapter]time.Time
	// loading is the load in progress, at most one; nil if none.
	loading *Plan
	// freeing is an adapter in use that accepts no more requests, so that its slot becomes free; nil if none.
	freeing *engine.Adapter
	// loadStarted is when the budget for the load in progress was requested.
	loadStarted time.Time
	// averageLoadTime is the moving average of load times as of averagedAt; 0 before a load has completed.
	averageLoadTime time.Duration
	averagedAt      time.Time
	// epoch counts the changes of the resident list.
	epoch int64
}

// slot is one resident adapter.
type slot struct {
	// pins is the number of requests that have pinned the adapter; a slot with pins is never evicted.
	pins int
	// externalUse is set if requests of another process, such as an earlier agent process, may be using the adapter.
	externalUse bool
	// useFrequency is the decayed number of uses as of lastUse; it halves in each half-life.
	useFrequency float64
	lastUse      time.Time
	// updatedAt is when the slot was added or marked as in external use; reports shortly after it may lag behind.
	updatedAt time.Time
}

// Acquire pins the adapter, or registers the waiter for a load. It returns an error if the adapter cannot be loaded in time,
// or if the backoff after a failed load has not ended.
func (s *Slots) Acquire(now time.Time, waiter *Waiter) (Status, error) {
	s.init()

	if found := s.resident[waiter.Adapter]; found != nil && !s.unavailable(waiter.Adapter) {
		found.recordUse(now, s.halfLife())
		s.pin(found, waiter)

		return Pinned, nil
	}

	w := s.pending[waiter.Adapter]
	if w == nil {
		w = &pendingLoad{waiters: map[*Waiter]bool{}, waitingSince: now}
		s.pending[waiter.Adapter] = w
	}

	if now.Before(w.retryAt) {
		backoff := w.retryAt.Sub(now)
		return Waiting, fault.New(fault.AdapterUnavailable, "adapter %s failed to load", waiter.Adapter.Name).WithRetryAfter(backoff)
	}

	if len(w.waiters) == 0 {
		w.waitingSince = now
	}

	if now.Add(s.ExpectedWait(now, waiter.Adapter)).After(waiter.Deadline) {
		s.deleteIfUnused(waiter.Adapter, w)
		return Waiting, fault.New(fault.Overloaded, "adapter %s cannot be loaded before the deadline", waiter.Adapter.Name)
	}

	w.waiters[waiter] = true
	w.uses++

	return Waiting, nil
}

// Release removes the waiter's pin, or the waiter from those that wait for a load.
func (s *Slots) Release(waiter *Waiter) {
	if w := s.pending[waiter.Adapter]; w != nil {
		delete(w.waiters, waiter)
		s.deleteIfUnused(waiter.Adapter, w)
	}

	if waiter.pin == nil {
		return
	}

	waiter.pin.pins--
	invariant.Check(waiter.pin.pins >= 0, "slots.pins", "adapter %v has %d pins", waiter.Adapter, waiter.pin.pins)
	waiter.pin = nil
}

// Holds reports whether the waiter has pinned an adapter that is still resident.
func (s *Slots) Holds(waiter *Waiter) bool {
	return waiter.pin != nil && s.resident[waiter.Adapter] == waiter.pin
}

// freeLeastUsed makes the least frequently used adapter accept no more requests, so that its slot becomes free.
func (s *Slots) freeLeastUsed(now time.Time) {
	if adapter, found := s.leastFrequent(now, func(candidate *slot) bool { return !candidate.externalUse }); found {
		s.freeing = &adapter
	}
}

// MarkExternalUse records that a request that does not belong to this process uses the adapter.
func (s *Slots) MarkExternalUse(now time.Time, adapter engine.Adapter) {
	if found := s.resident[adapter]; found != nil {
		found.externalUse = true
		found.updatedAt = now
	}
}

// Lost records that the engine does not have an adapter that was recorded as resident.
func (s *Slots) Lost(now time.Time, adapter engine.Adapter) {
	if s.resident[adapter] != nil {
		s.remove(now, adapter)
	}
}

func (s *Slots) add(now time.Time, adapter engine.Adapter) *slot {
	if found := s.resident[adapter]; found != nil {
		return found
	}

	added := &slot{lastUse: now, updatedAt: now}
	s.resident[adapter] = added
	s.epoch++
	delete(s.removed, adapter)

	return added
}

func (s *Slots) remove(now time.Time, adapter engine.Adapter) {
	delete(s.resident, adapter)
	s.removed[adapter] = now

	if s.freeing != nil && *s.freeing == adapter {
		s.freeing = nil
	}

	s.epoch++
}

func (s *Slots) pin(on *slot, waiter *Waiter) {
	on.pins++
	waiter.pin = on
}

// init creates the maps at the first call.
func (s *Slots) init() {
	if s.resident != nil {
		return
	}

	s.resident = map[engine.Adapter]*slot{}
	s.pending = map[engine.Adapter]*pendingLoad{}
	s.removed = map[engine.Adapter]time.Time{}
}

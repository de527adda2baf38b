// Package slots decides which adapters are resident at an engine: pins, coalesced loads, eviction and load backoff.
package slots

import (
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

// Slots tracks the adapters of one engine. It is not safe for concurrent use.
type Slots struct {
	// Capacity is the number of adapters that fit at once.
	Capacity int
	// InitialEpoch is the epoch before the first change. Processes choose it at random, so that an epoch that was known of an
	// earlier process does not pass for one of this process.
	InitialEpoch int64
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

	if now.Add(s.ExpectedWait(now, waiter.Adapter)).After(waiter.Deadline) {
		s.tidy(waiter.Adapter, w)
		return Waiting, fault.New(fault.Overloaded, "adapter %s cannot be loaded before the deadline", waiter.Adapter.Name)
	}

	w.waiters[waiter] = true
	w.uses++

	return Waiting, nil
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

// close makes the least frequently used adapter take no more requests.
func (s *Slots) close(now time.Time) {
	if adapter, found := s.least(now, func(candidate *slot) bool { return !candidate.suspect }); found {
		s.closing = &adapter
	}
}

// MarkExternalUse records that something other than this process uses the adapter.
func (s *Slots) MarkExternalUse(now time.Time, adapter engine.Adapter) {
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

func (s *Slots) prepare() {
	if s.resident != nil {
		return
	}

	s.resident = map[engine.Adapter]*slot{}
	s.wanted = map[engine.Adapter]*want{}
	s.removed = map[engine.Adapter]time.Time{}
}

package slots_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/adapter/slots"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

var now = time.Unix(1000, 0)

func adapter(name string) engine.Adapter {
	return engine.Adapter{Name: name, Version: "1"}
}

func waiter(name string, at time.Time) *slots.Waiter {
	return &slots.Waiter{Adapter: adapter(name), Deadline: at.Add(time.Minute)}
}

// load makes an adapter resident and uses it a number of times; no pins remain.
func load(t *testing.T, s *slots.Slots, at time.Time, name string, uses int) {
	t.Helper()

	for range uses {
		w := waiter(name, at)

		if status, err := s.Acquire(at, w); err == nil && status == slots.Waiting {
			plan, ok := s.StartLoad(at, at)
			assert.Assert(t, ok)

			if plan.Victim != nil {
				s.Unloaded(at, *plan.Victim)
			}

			s.Loaded(at, false)
		}

		s.Release(w)
	}
}

// Guards against eviction of an adapter in use, or of one that is used more often than another.
func TestEviction(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *testing.T, s *slots.Slots)
		victim  string
	}{
		"least used": {func(*testing.T, *slots.Slots) {}, "b"},
		"never one in use": {func(t *testing.T, s *slots.Slots) {
			t.Helper()

			_, err := s.Acquire(now, waiter("b", now))
			assert.NilError(t, err)
		}, "a"},
		"old uses count less": {func(t *testing.T, s *slots.Slots) {
			t.Helper()

			load(t, s, now.Add(time.Hour), "b", 1)
		}, "a"},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &slots.Slots{Capacity: 2}
			load(t, s, now, "a", 3)
			load(t, s, now, "b", 1)
			test.prepare(t, s)

			later := now.Add(time.Hour)
			_, err := s.Acquire(later, waiter("c", later))
			assert.NilError(t, err)

			plan, ok := s.StartLoad(later, later)
			assert.Assert(t, ok)
			assert.Equal(t, plan.Victim.Name, test.victim)
		})
	}
}

// Guards against a victim that depends on the iteration order of a map if adapters were used equally often.
func TestEvictionTieBreak(t *testing.T) {
	for range 20 {
		s := &slots.Slots{Capacity: 3}
		report := engine.Report{Resident: []engine.Adapter{adapter("b"), adapter("a"), adapter("c")}}
		s.Report(now, report)

		later := now.Add(time.Minute)
		s.Report(later, report)

		_, err := s.Acquire(later, waiter("d", later))
		assert.NilError(t, err)

		plan, ok := s.StartLoad(later, later)
		assert.Assert(t, ok)
		assert.Equal(t, plan.Victim.Name, "a")
	}
}

// Guards against a separate load for each waiting request, and against waiters that are not returned when the load ends.
func TestRequestsShareOneLoad(t *testing.T) {
	s := &slots.Slots{Capacity: 1}

	for range 3 {
		status, err := s.Acquire(now, waiter("a", now))
		assert.NilError(t, err)
		assert.Equal(t, status, slots.Waiting)
	}

	_, ok := s.StartLoad(now, now)
	assert.Assert(t, ok)

	_, ok = s.StartLoad(now, now)
	assert.Assert(t, !ok, "one load at a time")
	assert.Equal(t, len(s.Loaded(now, false)), 3)

	_, err := s.Acquire(now, waiter("b", now))
	assert.NilError(t, err)
	assert.Assert(t, !s.CanLoad(now), "every adapter is pinned")
}

// Guards against a failing load that is retried without a backoff.
func TestBackoff(t *testing.T) {
	s := &slots.Slots{Capacity: 1}
	at := now

	for _, backoff := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		_, err := s.Acquire(at, waiter("a", at))
		assert.NilError(t, err)

		_, ok := s.StartLoad(at, at)
		assert.Assert(t, ok)
		assert.Equal(t, len(s.Loaded(at, true)), 1)

		_, err = s.Acquire(at, waiter("a", at))
		assert.Assert(t, fault.Is(err, fault.AdapterUnavailable), "%v", err)
		assert.Equal(t, fault.FromError(err).RetryDelay(), backoff)

		at = at.Add(backoff)
	}
}

// Guards against loads that end after the deadline, and against refusals of all later requests after one slow load.
func TestLoadDeadline(t *testing.T) {
	s := &slots.Slots{Capacity: 4}
	urgent := &slots.Waiter{Adapter: adapter("a"), Deadline: now.Add(100 * time.Millisecond)}

	_, err := s.Acquire(now, urgent)
	assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
	assert.Assert(t, !s.CanLoad(now))

	_, err = s.Acquire(now, waiter("b", now))
	assert.NilError(t, err)

	_, ok := s.StartLoad(now, now)
	assert.Assert(t, ok)

	at := now.Add(50 * time.Second)
	s.Loaded(at, false)
	assert.Assert(t, s.LoadTime(at) > 10*time.Second)
	assert.Assert(t, s.LoadTime(at.Add(time.Minute)) < time.Second)
}

// Guards against eviction of an adapter that a request of an earlier agent process is using.
func TestNoEvictionUnderRequestOfEarlierProcess(t *testing.T) {
	s := &slots.Slots{Capacity: 1}
	report := engine.Report{Resident: []engine.Adapter{adapter("a")}, Running: []engine.RunningRequest{{ID: "r", Adapter: adapter("a")}}}

	s.Report(now, report)
	_, err := s.Acquire(now, waiter("b", now))
	assert.NilError(t, err)
	assert.Assert(t, !s.CanLoad(now), "before the running list is known")

	at := now.Add(3 * time.Second)
	s.Report(at, report)
	assert.Assert(t, !s.CanLoad(at), "while the running list shows it")

	report.Running = nil
	s.Report(at, report)
	assert.Assert(t, s.CanLoad(at))
}

// Guards against decisions based on a report that lags behind the engine's state.
func TestLaggingReport(t *testing.T) {
	s := &slots.Slots{Capacity: 1}
	listed := engine.Report{Resident: []engine.Adapter{adapter("a")}}
	soon := now.Add(time.Second)

	s.Report(now, listed)
	s.Report(soon, listed)

	_, err := s.Acquire(soon, waiter("b", soon))
	assert.NilError(t, err)
	assert.Assert(t, !s.CanLoad(soon), "a request of the earlier process may be missing in the running list")

	at := now.Add(3 * time.Second)
	s.Report(at, listed)

	_, ok := s.StartLoad(at, at)
	assert.Assert(t, ok)
	s.Unloaded(at, adapter("a"))
	s.Loaded(at, false)

	s.Report(at.Add(time.Second), listed)
	resident, _ := s.Resident()
	assert.DeepEqual(t, resident, []string{"b@1"})

	s.Report(at.Add(3*time.Second), listed)
	resident, _ = s.Resident()
	assert.DeepEqual(t, resident, []string{"a@1"})
}

// Guards against pins and resident adapters that survive a restart of the engine.
func TestRestart(t *testing.T) {
	s := &slots.Slots{Capacity: 2}
	load(t, s, now, "a", 1)

	before := waiter("a", now)
	_, err := s.Acquire(now, before)
	assert.NilError(t, err)
	assert.Assert(t, s.Holds(before))

	s.Reset()
	assert.Assert(t, !s.Holds(before))
	load(t, s, now, "a", 1)
	assert.Assert(t, !s.Holds(before))
	s.Release(before)

	after := waiter("a", now)
	status, err := s.Acquire(now, after)
	assert.NilError(t, err)
	assert.Equal(t, status, slots.Pinned)
	assert.Assert(t, s.Holds(after))
}

// Guards against a rarely used adapter that is never loaded because overlapping requests hold every slot.
func TestStarvation(t *testing.T) {
	s := &slots.Slots{Capacity: 1}
	load(t, s, now, "hot", 5)

	first, second, third := waiter("hot", now), waiter("hot", now), waiter("hot", now)
	rare := waiter("rare", now)

	acquire := func(at time.Time, w *slots.Waiter, want slots.Status) {
		status, err := s.Acquire(at, w)
		assert.NilError(t, err)
		assert.Equal(t, status, want)
	}

	acquire(now, first, slots.Pinned)
	acquire(now, rare, slots.Waiting)
	assert.Assert(t, !s.CanLoad(now))
	acquire(now, second, slots.Pinned)
	s.Release(first)

	at := now.Add(time.Second)
	assert.Assert(t, !s.CanLoad(at), "still in use")
	acquire(at, third, slots.Waiting)
	s.Release(second)

	for _, next := range []*slots.Waiter{rare, third} {
		plan, ok := s.StartLoad(at, at)
		assert.Assert(t, ok)
		assert.Equal(t, plan.Adapter, next.Adapter)
		s.Unloaded(at, *plan.Victim)
		assert.Equal(t, len(s.Loaded(at, false)), 1)
		assert.Assert(t, s.Holds(next))
		s.Release(next)
	}
}

// Guards against eviction of a pinned adapter, too many resident adapters and lost pins, over random operations.
func TestPins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &slots.Slots{Capacity: rapid.IntRange(1, 3).Draw(t, "capacity")}
		at := now
		held := map[*slots.Waiter]bool{}
		loading := false

		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				w := waiter(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "adapter")), at)
				if _, err := s.Acquire(at, w); err == nil {
					held[w] = true
				}
			},
			"release": func(*rapid.T) {
				for w := range held {
					s.Release(w)
					delete(held, w)

					return
				}
			},
			"load": func(t *rapid.T) {
				plan, ok := s.StartLoad(at, at)
				if !ok {
					return
				}

				loading = true

				for w := range held {
					inUse := s.Holds(w) && plan.Victim != nil && *plan.Victim == w.Adapter
					assert.Assert(t, !inUse, "victim %v is in use", plan.Victim)
				}

				if plan.Victim != nil {
					// A request that arrives during the unload must wait for the next load of the adapter.
					w := &slots.Waiter{Adapter: *plan.Victim, Deadline: at.Add(time.Minute)}
					status, err := s.Acquire(at, w)
					assert.Assert(t, err != nil || status == slots.Waiting)
					s.Release(w)
					s.Unloaded(at, *plan.Victim)
				}
			},
			"loaded": func(t *rapid.T) {
				failed := rapid.Bool().Draw(t, "failed")

				for _, w := range s.Loaded(at, failed) {
					assert.Equal(t, s.Holds(w), !failed)

					if failed {
						delete(held, w)
					}
				}

				loading = false
			},
			"restart": func(t *rapid.T) {
				if !loading && rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					s.Reset()
				}
			},
			"wait": func(*rapid.T) {
				at = at.Add(time.Second)
				s.CanLoad(at)
			},
			"": func(t *rapid.T) {
				resident, _ := s.Resident()
				assert.Assert(t, len(resident) <= s.Capacity, "resident %v", resident)
			},
		})
	})
}

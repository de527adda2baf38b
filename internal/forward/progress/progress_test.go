package progress_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
)

const (
	maxAge = 2500 * time.Millisecond
	// relayInterval is the time between two messages of an agent to an entry.
	relayInterval = 700 * time.Millisecond
)

// system is a set of entries that follow one topic of a store through one agent, in virtual time.
type system struct {
	start     time.Time
	followers []*progress.Follower

	mu      sync.Mutex
	version int64
	calls   int
	latest  progress.Latest
	reader  []bool
	cut     []bool
	// applied is the newest version that each entry has read.
	applied []int64
}

func (s *system) now() time.Duration {
	return time.Since(s.start)
}

// startSystem starts entries of which the first ones are readers. They run until the context ends.
func startSystem(ctx context.Context, group *sync.WaitGroup, entries, readers int) *system {
	s := &system{
		start: time.Now(), version: 1,
		reader: make([]bool, entries), cut: make([]bool, entries), applied: make([]int64, entries),
	}

	for i := range entries {
		s.reader[i] = i < readers
		s.followers = append(s.followers, &progress.Follower{
			MaxAge:    maxAge,
			Freshness: &freshness.Tracker{Now: s.now},
			IsReader: func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()

				return s.reader[i]
			},
			OnPublish: func() { s.publish(i) },
		})
	}

	for i := range entries {
		group.Go(func() { s.watch(ctx, i) })
		group.Go(func() { s.relay(ctx, i) })
	}

	return s
}

// watch reads the topic whenever the follower requires it. A reader waits for a change between two reads.
func (s *system) watch(ctx context.Context, entry int) {
	for ctx.Err() == nil {
		s.followers[entry].Await(ctx)

		if ctx.Err() != nil {
			return
		}

		s.read(entry)

		if s.followers[entry].IsReader() {
			sleep(ctx, maxAge/3)
		} else {
			sleep(ctx, 10*time.Millisecond)
		}
	}
}

func (s *system) read(entry int) {
	s.mu.Lock()
	s.calls++
	version, cut := s.version, s.cut[entry]
	changed := s.applied[entry] != version

	if !cut {
		s.applied[entry] = version
	}
	s.mu.Unlock()

	if !cut {
		s.followers[entry].Record(progress.Read{
			Newest: progress.Mark{Version: version}, Changed: changed, Requested: s.now(), StoreClock: s.now(),
		})
	}
}

func (s *system) publish(entry int) {
	confirmation, ok := s.followers[entry].Publication()

	s.mu.Lock()
	defer s.mu.Unlock()

	if ok {
		s.latest.Observe(confirmation)
	}
}

func (s *system) relay(ctx context.Context, entry int) {
	for ctx.Err() == nil {
		s.mu.Lock()
		latest, ok := s.latest.Get()
		s.mu.Unlock()

		if ok {
			s.followers[entry].Observe(latest)
		}

		sleep(ctx, relayInterval)
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// set changes the system atomically.
func (s *system) set(change func(s *system)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	change(s)
}

func run(t *testing.T, entries, readers int, body func(s *system)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup

		ctx, cancel := context.WithCancel(t.Context())
		body(startSystem(ctx, &group, entries, readers))
		cancel()
		group.Wait()
	})
}

// Guards against calls of the store that grow with the number of entries: when each of 68 entries watched the store for itself,
// the calls cost more than anything else on a quiet day.
func TestCallsDoNotGrowWithEntries(t *testing.T) {
	for name, entries := range map[string]int{"tens": 29, "many": 68, "hundreds": 300} {
		t.Run(name, func(t *testing.T) {
			run(t, entries, 2, func(s *system) {
				time.Sleep(5 * time.Second)

				before := 0

				s.set(func(s *system) { before = s.calls })
				time.Sleep(20 * time.Second)
				s.set(func(s *system) {
					assert.Assert(t, s.calls-before <= 2*20*2, "%d calls in 20 s", s.calls-before)
				})

				for i, follower := range s.followers {
					age, known := follower.Freshness.SharedAge()
					assert.Assert(t, known && age <= maxAge, "the confirmation of entry %d is %s old", i, age)
				}
			})
		})
	}
}

// Guards against an entry that misses a change, or whose configuration counts as confirmed without it, while readers work, have
// stopped, or cannot reach the store.
func TestChangesReachAllEntries(t *testing.T) {
	cases := map[string]func(s *system){
		"readers work":    func(*system) {},
		"readers stopped": func(s *system) { s.reader[0], s.reader[1], s.cut[0], s.cut[1] = false, false, true, true },
		"readers cut off": func(s *system) { s.cut[0], s.cut[1] = true, true },
	}

	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, 20, 2, func(s *system) {
				time.Sleep(5 * time.Second)
				s.set(disturb)
				s.set(func(s *system) { s.version++ })

				changedAt := s.now()

				time.Sleep(maxAge + 100*time.Millisecond)

				for i, follower := range s.followers {
					age, _ := follower.Freshness.SharedAge()

					if s.cut[i] {
						assert.Assert(t, s.now()-age <= changedAt, "entry %d counts as current without the change", i)
						continue
					}

					s.set(func(s *system) { assert.Equal(t, s.applied[i], s.version, "entry %d", i) })
				}
			})
		})
	}
}

// Guards against confirmations that count for an entry which has not read the change that they name, and against those from before
// a restore of the store, after which versions are given out again.
func TestConfirmationOfAnUnreadChangeDoesNotCount(t *testing.T) {
	read := progress.Mark{Era: 1, Version: 100}

	cases := map[string]struct {
		newest progress.Mark
		counts bool
	}{
		"older change":      {newest: progress.Mark{Era: 1, Version: 90}, counts: true},
		"same change":       {newest: read, counts: true},
		"newer change":      {newest: progress.Mark{Era: 1, Version: 101}},
		"store restored":    {newest: progress.Mark{Era: 2, Version: 50}},
		"before a restore":  {newest: progress.Mark{Version: 200}, counts: true},
		"nothing published": {counts: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			follower := &progress.Follower{
				MaxAge: maxAge, Freshness: &freshness.Tracker{Now: func() time.Duration { return now }},
				IsReader: func() bool { return false }, OnPublish: func() {},
			}
			follower.Record(progress.Read{Newest: read, Changed: true, Requested: now, StoreClock: now})

			now += 2 * time.Second
			follower.Observe(progress.Confirmation{Newest: c.newest, At: now})

			age, _ := follower.Freshness.SharedAge()
			assert.Equal(t, age == 0, c.counts, "%s", age)

			now += time.Second
			assert.Equal(t, follower.BehindFor() == 0, c.counts)
			follower.Record(progress.Read{Newest: progress.Mark{Era: 3}, Requested: now, StoreClock: now})
			assert.Equal(t, follower.BehindFor(), time.Duration(0))
		})
	}
}

// Guards against entries that keep vanished servers for different times, because only some have noticed an outage of the store.
func TestRegainedStoreIsKnownToAll(t *testing.T) {
	now := 10 * time.Second
	follower := &progress.Follower{Freshness: &freshness.Tracker{Now: func() time.Duration { return now }}}

	_, failed := follower.SinceRegained()
	assert.Assert(t, !failed)

	follower.Observe(progress.Confirmation{At: now, Regained: 9 * time.Second, Failed: true})
	follower.Observe(progress.Confirmation{At: now, Regained: 8 * time.Second, Failed: true})
	follower.Observe(progress.Confirmation{At: now})

	since, failed := follower.SinceRegained()
	assert.Assert(t, failed)
	assert.Equal(t, since, time.Second)
}

// Guards against a late confirmation from before a restore that replaces one from after it at an agent.
func TestLatest(t *testing.T) {
	var latest progress.Latest

	_, known := latest.Get()
	assert.Assert(t, !known)

	assert.Assert(t, latest.Observe(progress.Confirmation{Newest: progress.Mark{Version: 7}, At: 5}))
	assert.Assert(t, !latest.Observe(progress.Confirmation{Newest: progress.Mark{Version: 7}, At: 9}))
	assert.Assert(t, !latest.Observe(progress.Confirmation{Newest: progress.Mark{Version: 7}, At: 8}))
	assert.Assert(t, latest.Observe(progress.Confirmation{Newest: progress.Mark{Era: 1, Version: 3}, At: 6}))
	assert.Assert(t, !latest.Observe(progress.Confirmation{Newest: progress.Mark{Version: 8}, At: 20}))

	got, _ := latest.Get()
	assert.Equal(t, got, progress.Confirmation{Newest: progress.Mark{Era: 1, Version: 3}, At: 6})
}

// Guards against agents that choose different readers, and against readers that cannot reach the store while others can.
func TestReaders(t *testing.T) {
	candidates := func(count int) []progress.Candidate {
		list := make([]progress.Candidate, count)
		for i := range list {
			list[i] = progress.Candidate{Name: fmt.Sprintf("entry-%d", i)}
		}

		return list
	}

	assert.Equal(t, len(progress.Readers(nil)), 0)
	assert.Equal(t, len(progress.Readers(candidates(5))), 1)
	assert.Equal(t, len(progress.Readers(candidates(68))), 2)

	first := progress.Readers(candidates(68))
	reversed := candidates(68)
	slices.Reverse(reversed)
	assert.DeepEqual(t, progress.Readers(reversed), first)

	stale := candidates(5)
	for i := range stale {
		stale[i].Published = true
		stale[i].Age = time.Minute
	}

	stale[3].Age = time.Second
	assert.DeepEqual(t, progress.Readers(stale), []string{"entry-3"})
}

// Guards against a list of servers that counts as confirmed by an entry which has not noticed yet that the store was restored from a copy, or
// by a read of the copy itself: the copy may lack servers that were listed when the store confirmed the list last.
func TestConfirmationOfAnotherEra(t *testing.T) {
	now := 100 * time.Second

	newFollower := func() *progress.Follower {
		return &progress.Follower{
			MaxAge: maxAge, Freshness: &freshness.Tracker{Now: func() time.Duration { return now }},
			IsReader: func() bool { return true }, OnPublish: func() {}, Pulse: &freshness.Pulse{Now: func() time.Duration { return now }},
		}
	}

	read := func(era, version int64, unsettled bool) progress.Read {
		return progress.Read{Newest: progress.Mark{Era: era, Version: version}, Changed: true, Requested: now, StoreClock: now, Unsettled: unsettled}
	}

	t.Run("of an entry that has not noticed", func(t *testing.T) {
		follower := newFollower()
		follower.Record(read(0, 5, false))

		now += time.Second
		confirmation := progress.Confirmation{Newest: progress.Mark{Era: 0, Version: 6}, At: now - 10*time.Millisecond}
		follower.Record(read(1, 5, true))
		follower.Observe(confirmation)

		age, current := follower.CurrentAge()
		assert.Assert(t, !current, "the copy counts as confirmed %s ago", age)
	})

	t.Run("of an entry that has read the copy", func(t *testing.T) {
		publisher, follower := newFollower(), newFollower()
		publisher.Record(read(0, 6, false))

		// The reader publishes.
		ctx, cancel := context.WithCancel(t.Context())
		publisher.Await(ctx)
		cancel()

		now += time.Second
		follower.Record(read(0, 6, false))

		now += time.Second
		publisher.Record(read(1, 5, true))
		follower.Record(read(1, 5, true))

		confirmation, ok := publisher.Publication()
		assert.Assert(t, ok && confirmation.Newest == progress.Mark{Era: 1, Version: 5}, "others are to learn of the restore")
		follower.Observe(confirmation)

		age, current := follower.CurrentAge()
		assert.Assert(t, !current, "the copy counts as confirmed %s ago", age)

		// Reads confirm the list again once the store has settled.
		now += time.Second
		publisher.Record(read(1, 7, false))
		follower.Record(read(1, 7, true))

		confirmation, _ = publisher.Publication()
		follower.Observe(confirmation)

		age, current = follower.CurrentAge()
		assert.Assert(t, current && age == 0, "age %s", age)
	})
}

// Guards against a list of servers that counts as current although the entry knows of a change that it has not read, or has stood still since
// the list was confirmed, whatever was queued for it meanwhile.
func TestCurrentAge(t *testing.T) {
	now := 100 * time.Second
	read := func(version int64) progress.Read {
		return progress.Read{Newest: progress.Mark{Version: version}, Changed: true, Requested: now, StoreClock: now}
	}
	confirmation := func(version int64, at time.Duration) progress.Confirmation {
		return progress.Confirmation{Newest: progress.Mark{Version: version}, At: at}
	}

	cases := map[string]struct {
		then func(f *progress.Follower, pulse *freshness.Pulse)
		// age is that after it; negative if the list is not current.
		age time.Duration
	}{
		"nothing":        {func(*progress.Follower, *freshness.Pulse) {}, 0},
		"a moment later": {func(*progress.Follower, *freshness.Pulse) { now += 200 * time.Millisecond }, 200 * time.Millisecond},
		"change just heard of": {func(f *progress.Follower, _ *freshness.Pulse) {
			f.Observe(confirmation(6, now))
			now += 200 * time.Millisecond
		}, 200 * time.Millisecond},
		"change that cannot be read": {func(f *progress.Follower, _ *freshness.Pulse) {
			f.Observe(confirmation(6, now))
			now += 500 * time.Millisecond
		}, -1},
		"change was read": {func(f *progress.Follower, _ *freshness.Pulse) { f.Observe(confirmation(6, now)); f.Record(read(6)) }, 0},
		"frozen":          {func(*progress.Follower, *freshness.Pulse) { now += time.Second }, -1},
		"just thawed": {func(_ *progress.Follower, pulse *freshness.Pulse) {
			now += time.Second
			pulse.Beat()
		}, -1},
		"confirmation from before the thaw": {func(f *progress.Follower, pulse *freshness.Pulse) {
			now += time.Second
			f.Observe(confirmation(5, now-100*time.Millisecond))
			pulse.Beat()
		}, -1},
		"confirmation since the thaw": {func(f *progress.Follower, pulse *freshness.Pulse) {
			now += time.Second
			pulse.Beat()
			now += 200 * time.Millisecond
			pulse.Beat()
			f.Observe(confirmation(5, now-50*time.Millisecond))
		}, 50 * time.Millisecond},
		"frozen, and read since": {func(f *progress.Follower, pulse *freshness.Pulse) {
			now += time.Second
			pulse.Beat()
			f.Record(read(5))
		}, 0},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pulse := &freshness.Pulse{Now: func() time.Duration { return now }}
			pulse.Beat()

			follower := &progress.Follower{
				MaxAge: maxAge, Freshness: &freshness.Tracker{Now: func() time.Duration { return now }}, Pulse: pulse, OnPublish: func() {},
			}
			follower.Record(read(5))
			c.then(follower, pulse)

			age, current := follower.CurrentAge()
			if c.age < 0 {
				assert.Assert(t, !current, "the list counts as confirmed %s ago", age)
				return
			}

			assert.Assert(t, current)
			assert.Equal(t, age, c.age)
		})
	}
}

package watch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/watch"
)

// source is a store that can stop responding, refuse calls and lose its history.
type source struct {
	mu           sync.Mutex
	version, era int64
	started      time.Time
	all          []watch.Item
	// history holds the changes by the version of the store with which they came.
	history      map[int64][]watch.Item
	unresponsive bool
	refuse       bool
	historyLost  bool
	reads        int
	calls        int
	// answered counts the calls of Changes that returned.
	answered int
}

// clock returns the steady clock of the store.
func (s *source) clock() time.Duration {
	return time.Since(s.started)
}

func (s *source) Read(ctx context.Context, _ watch.Topic) (watch.Batch, error) {
	s.set(func(s *source) { s.reads++ })

	if err := s.fail(ctx); err != nil {
		return watch.Batch{}, err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return watch.Batch{Version: s.version, Era: s.era, Clock: s.clock(), Items: s.all}, nil
}

func (s *source) Changes(ctx context.Context, _ watch.Topic, after int64, wait time.Duration) (watch.Batch, error) {
	s.set(func(s *source) { s.calls++ })

	for waited := time.Duration(0); ; waited += 10 * time.Millisecond {
		if err := s.fail(ctx); err != nil {
			return watch.Batch{}, err
		}

		if batch, done, err := s.poll(after, waited >= wait); done {
			s.set(func(s *source) { s.answered++ })

			return batch, err
		}

		time.Sleep(10 * time.Millisecond)
	}
}

func (s *source) poll(after int64, last bool) (watch.Batch, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.historyLost:
		s.historyLost = false
		return watch.Batch{}, true, watch.ErrHistoryLost
	case after < s.version:
		return watch.Batch{Version: s.version, Era: s.era, Clock: s.clock(), Items: s.changes(after)}, true, nil
	default:
		return watch.Batch{Version: s.version, Era: s.era, Clock: s.clock()}, last, nil
	}
}

// changes returns each change after a version in order. The lock must be held.
func (s *source) changes(after int64) []watch.Item {
	var items []watch.Item

	for version := after + 1; version <= s.version; version++ {
		items = append(items, s.history[version]...)
	}

	return items
}

func (s *source) fail(ctx context.Context) error {
	s.mu.Lock()
	unresponsive, refuse := s.unresponsive, s.refuse
	s.mu.Unlock()

	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}

	if refuse {
		return errors.New("refused")
	}

	return nil
}

// set changes the store atomically.
func (s *source) set(change func(s *source)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	change(s)
}

// put writes a change of the topic.
func (s *source) put(items ...watch.Item) {
	s.set(func(s *source) {
		s.version++

		if s.history == nil {
			s.history = map[int64][]watch.Item{}
		}

		s.history[s.version] = items
	})
}

type target struct {
	mu      sync.Mutex
	version int64
}

func (t *target) Apply(next *catalog.Config) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	newer := next.Version > t.version
	t.version = max(t.version, next.Version)

	return newer
}

func (t *target) RequireVersion(string, string, int64) {}

func listed(id string, draining bool) watch.ServerListed {
	return watch.ServerListed{Server: fleet.Server{ID: id, Service: "s", Address: "10.0.0.1:1", Domain: "d", Draining: draining}}
}

type fixture struct {
	source  *source
	fleet   *fleet.Fleet
	target  *target
	tracker *freshness.Tracker
}

// run watches a topic in virtual time while body runs.
func run(t *testing.T, topic watch.Topic, wait, batchDelay time.Duration, body func(f *fixture)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		tracker := &freshness.Tracker{Now: func() time.Duration { return time.Since(start) }}
		f := &fixture{source: &source{version: 1, started: start}, fleet: &fleet.Fleet{}, target: &target{}, tracker: tracker}
		f.source.all = []watch.Item{listed("a", false), listed("b", false)}

		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)

		watcher := &watch.Watcher{
			Source: f.source, Topic: topic, Wait: wait, BatchDelay: batchDelay, Target: f.target, Fleet: f.fleet, Log: log,
			Progress: &progress.Follower{Freshness: f.tracker, IsReader: func() bool { return true }, OnPublish: func() {}},
		}

		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})

		go func() {
			defer close(ended)

			watcher.Run(ctx)
		}()

		synctest.Wait()
		body(f)
		cancel()
		<-ended
	})
}

// Guards against a draining server that gets requests because the watch hangs on a dead connection: the store did not respond
// for 4.5 s, and a server that began to drain five seconds after its recovery got requests over two seconds later.
func TestDrainingServerIsKnownAfterAStoreOutage(t *testing.T) {
	run(t, watch.Servers, time.Second, 700*time.Millisecond, func(f *fixture) {
		f.source.set(func(s *source) { s.unresponsive = true })
		time.Sleep(4500 * time.Millisecond)

		f.source.set(func(s *source) { s.unresponsive = false })
		time.Sleep(5 * time.Second)

		f.source.put(listed("a", true))
		time.Sleep(1500 * time.Millisecond)

		_, usable := f.fleet.Get("a")
		assert.Assert(t, !usable, "a server is still used 1.5 s after it began to drain")
	})
}

// Guards against an entry that serves no keyed request for seconds after the recovery of the store.
func TestConfigurationIsConfirmedSoonAfterTheStoreReturns(t *testing.T) {
	// bound is the sum of the longest backoff and the timeout of a call to a store that does not respond.
	const bound = 1600 * time.Millisecond

	for outage := 3 * time.Second; outage <= 6*time.Second; outage += 250 * time.Millisecond {
		run(t, watch.Operator, 1800*time.Millisecond, 0, func(f *fixture) {
			f.source.set(func(s *source) { s.unresponsive = true })
			time.Sleep(outage)

			f.source.set(func(s *source) { s.unresponsive = false })

			var before, after int

			f.source.set(func(s *source) { before = s.answered })
			time.Sleep(bound)
			f.source.set(func(s *source) { after = s.answered })
			assert.Assert(t, after > before, "no response within %s after an outage of %s", bound, outage)
		})
	}
}

// Guards against servers that stay in the list although their removal was among the changes that the store has lost.
func TestWholeTopicIsReadAfterHistoryIsLost(t *testing.T) {
	run(t, watch.Servers, time.Second, 0, func(f *fixture) {
		f.source.set(func(s *source) {
			s.historyLost = true
			s.all = []watch.Item{listed("b", false)}
			s.version++
		})
		time.Sleep(3 * time.Second)

		f.source.set(func(s *source) { assert.Equal(t, s.reads, 2) })

		_, usable := f.fleet.Get("a")
		assert.Assert(t, !usable)
	})
}

// Guards against changes that an entry misses when the store was restored from a copy and its versions have passed the last one
// that the entry has read.
func TestWholeTopicIsReadAfterAStoreRestore(t *testing.T) {
	run(t, watch.Servers, time.Second, 0, func(f *fixture) {
		f.source.set(func(s *source) {
			s.era++
			s.all = []watch.Item{listed("b", false), listed("c", false)}
			s.version += 3
			s.history = nil
		})
		time.Sleep(1500 * time.Millisecond)

		_, usable := f.fleet.Get("c")
		assert.Assert(t, usable, "a server that was listed after the restore is not known")

		time.Sleep(2 * time.Second)

		for _, server := range f.fleet.Usable(time.Now(), "s") {
			assert.Assert(t, server.ID != "a", "a server that is no longer listed is still used")
		}
	})
}

// Guards against outdated rows that are believed after a store restore: a server that has left or drains since the copy was made, an
// evacuation that has ended or begun since then, and an older configuration.
func TestOutdatedRowsAfterAStoreRestore(t *testing.T) {
	restore := func(f *fixture, rows ...watch.Item) {
		f.source.set(func(s *source) {
			s.era++
			s.all, s.history = rows, nil
		})
		time.Sleep(1500 * time.Millisecond)
	}
	usable := func(f *fixture, id string) bool {
		_, ok := f.fleet.Get(id)
		return ok
	}

	t.Run("servers", func(t *testing.T) {
		run(t, watch.Servers, time.Second, 0, func(f *fixture) {
			f.source.put(watch.ServerRemoved{ID: "a"}, listed("b", true), listed("c", false))
			time.Sleep(2 * time.Second)

			restore(f, listed("a", false), listed("b", false))
			assert.Assert(t, !usable(f, "a"), "the server had left")
			assert.Assert(t, !usable(f, "b"), "the server was draining")
			assert.Assert(t, usable(f, "c"), "the server registered after the copy was made")

			f.source.put(listed("a", false))
			time.Sleep(1500 * time.Millisecond)
			assert.Assert(t, usable(f, "a"), "the row was written anew")
			assert.Equal(t, len(f.fleet.Usable(time.Now(), "s")), 1, "the server that is not listed anew is removed")
		})
	})

	t.Run("operator", func(t *testing.T) {
		run(t, watch.Operator, time.Second, 0, func(f *fixture) {
			f.fleet.Put(fleet.Server{ID: "d", Service: "s", Domain: "d"}, fleet.Server{ID: "e", Service: "s", Domain: "e"})
			f.source.put(watch.EvacuationChanged{Domain: "e", Active: true, Version: 2})
			time.Sleep(2 * time.Second)
			f.source.put(
				watch.EvacuationChanged{Domain: "d", Active: true, Version: 3}, watch.ConfigChanged{Config: &catalog.Config{Version: 7}},
				watch.EvacuationChanged{Domain: "e", Version: 5},
			)
			time.Sleep(2 * time.Second)

			restore(f, watch.EvacuationChanged{Domain: "e", Active: true, Version: 2}, watch.ConfigChanged{Config: &catalog.Config{Version: 6}})
			assert.Assert(t, !usable(f, "d"), "the evacuation began after the copy was made")
			assert.Assert(t, usable(f, "e"), "the evacuation had ended")
			assert.Equal(t, f.target.version, int64(7))

			f.source.put(watch.EvacuationChanged{Domain: "d"}, watch.EvacuationChanged{Domain: "e"})
			time.Sleep(1500 * time.Millisecond)
			assert.Assert(t, usable(f, "d"), "the end of the evacuation was written anew")
			assert.Assert(t, usable(f, "e"), "the end of the evacuation was written anew")
		})
	})
}

// Guards against removing every server when their rows expired during an outage of the store: those that are alive are listed
// again within two seconds.
func TestExpiredServersStayInUseUntilTheyAreListedAgain(t *testing.T) {
	run(t, watch.Servers, time.Second, 0, func(f *fixture) {
		f.source.set(func(s *source) { s.refuse = true })
		time.Sleep(3 * time.Second)

		f.source.set(func(s *source) { s.refuse = false })
		f.source.put(watch.ServerRemoved{ID: "a"}, watch.ServerRemoved{ID: "b"})
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, len(f.fleet.Usable(time.Now(), "s")), 2)

		f.source.put(listed("b", false))
		time.Sleep(2500 * time.Millisecond)

		usable := f.fleet.Usable(time.Now(), "s")
		assert.Equal(t, len(usable), 1)
		assert.Equal(t, usable[0].ID, "b")
	})
}

// Guards against requests to a server that was removed from the list some seconds after an outage: it got requests for 2,139
// ms, because its removal was taken for an expired row.
func TestServerRemovedAfterAnOutageIsDroppedAtOnce(t *testing.T) {
	run(t, watch.Servers, time.Second, 0, func(f *fixture) {
		f.source.set(func(s *source) { s.refuse = true })
		time.Sleep(3 * time.Second)

		f.source.set(func(s *source) { s.refuse = false })
		time.Sleep(3 * time.Second)

		f.source.put(watch.ServerRemoved{ID: "a"})
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, len(f.fleet.Usable(time.Now(), "s")), 1)
	})
}

// Guards against requests to an evacuated failure domain, and against one that stays evacuated although its evacuation ended
// while the history was lost.
func TestEvacuatedDomainsGetNoRequests(t *testing.T) {
	run(t, watch.Operator, time.Second, 0, func(f *fixture) {
		f.fleet.Put(fleet.Server{ID: "a", Service: "s", Domain: "d"}, fleet.Server{ID: "b", Service: "s", Domain: "e"})

		usable := func() int { return len(f.fleet.Usable(time.Now(), "s")) }

		f.source.put(watch.EvacuationChanged{Domain: "d", Active: true})
		time.Sleep(time.Second)
		assert.Equal(t, usable(), 1)

		f.source.put(watch.EvacuationChanged{Domain: "e", Active: true})
		time.Sleep(time.Second)
		assert.Equal(t, usable(), 0)

		f.source.put(watch.EvacuationChanged{Domain: "d"})
		time.Sleep(time.Second)
		assert.Equal(t, usable(), 1)

		f.source.set(func(s *source) {
			s.historyLost = true
			s.all = nil
			s.version++
		})
		time.Sleep(3 * time.Second)
		assert.Equal(t, usable(), 2)
	})
}

// Guards against a configuration that is replaced by an older version.
func TestOlderConfigurationIsNotApplied(t *testing.T) {
	run(t, watch.Operator, time.Second, 0, func(f *fixture) {
		f.source.put(watch.ConfigChanged{Config: catalog.New(7, nil, nil, nil, catalog.Limits{})})
		time.Sleep(time.Second)

		f.source.put(watch.ConfigChanged{Config: catalog.New(5, nil, nil, nil, catalog.Limits{})})
		time.Sleep(2 * time.Second)

		f.target.mu.Lock()
		defer f.target.mu.Unlock()

		assert.Equal(t, f.target.version, int64(7))
	})
}

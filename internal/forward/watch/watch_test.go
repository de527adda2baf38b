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
	"github.com/chestnutbeam/chestnutbeam/internal/forward/watch"
)

// source is a store that can fall silent, refuse, and forget its history.
type source struct {
	mu      sync.Mutex
	version int64
	all     []watch.Item
	changes []watch.Item
	silent  bool
	refuse  bool
	forgot  bool
	reads   int
	calls   int
	// answered counts the calls for changes that had an answer.
	answered int
}

func (s *source) Read(ctx context.Context, _ watch.Topic) (watch.Batch, error) {
	s.set(func(s *source) { s.reads++ })

	if err := s.fail(ctx); err != nil {
		return watch.Batch{}, err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return watch.Batch{Version: s.version, Items: s.all}, nil
}

func (s *source) Changes(ctx context.Context, _ watch.Topic, after int64, wait time.Duration) (watch.Batch, error) {
	s.set(func(s *source) { s.calls++ })

	for waited := time.Duration(0); ; waited += 10 * time.Millisecond {
		if err := s.fail(ctx); err != nil {
			return watch.Batch{}, err
		}

		if batch, done, err := s.look(after, waited >= wait); done {
			s.set(func(s *source) { s.answered++ })

			return batch, err
		}

		time.Sleep(10 * time.Millisecond)
	}
}

func (s *source) look(after int64, last bool) (watch.Batch, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.forgot:
		s.forgot = false
		return watch.Batch{}, true, watch.ErrHistoryLost
	case after < s.version:
		return watch.Batch{Version: s.version, Items: s.changes}, true, nil
	default:
		return watch.Batch{Version: s.version}, last, nil
	}
}

func (s *source) fail(ctx context.Context) error {
	s.mu.Lock()
	silent, refuse := s.silent, s.refuse
	s.mu.Unlock()

	if silent {
		<-ctx.Done()
		return ctx.Err()
	}

	if refuse {
		return errors.New("refused")
	}

	return nil
}

// set changes the store in one step, so that no call sees half of it.
func (s *source) set(change func(s *source)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	change(s)
}

// put writes a change of the topic.
func (s *source) put(items ...watch.Item) {
	s.set(func(s *source) {
		s.version++
		s.changes = items
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

func (t *target) Require(string, string, int64) {}

func listed(id string, leaving bool) watch.ServerListed {
	return watch.ServerListed{Server: fleet.Server{ID: id, Service: "s", Address: "10.0.0.1:1", Domain: "d", Draining: leaving}}
}

type world struct {
	source *source
	fleet  *fleet.Fleet
	target *target
	fresh  *freshness.Tracker
}

// run follows a topic in virtual time while the body acts.
func run(t *testing.T, topic watch.Topic, wait, gather time.Duration, body func(w *world)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		w := &world{source: &source{version: 1}, fleet: &fleet.Fleet{}, target: &target{}, fresh: &freshness.Tracker{}}
		w.source.all = []watch.Item{listed("a", false), listed("b", false)}

		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)

		watcher := &watch.Watcher{
			Source: w.source, Topic: topic, Wait: wait, BatchDelay: gather, Target: w.target, Fleet: w.fleet, Freshness: w.fresh, Log: log,
		}

		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})

		go func() {
			defer close(ended)

			watcher.Run(ctx)
		}()

		synctest.Wait()
		body(w)
		cancel()
		<-ended
	})
}

// Guards against a leaving server that gets requests because the watch hangs on a connection that went silent: the store
// was silent for 4.5 s, and a server that left five seconds after its return got requests over two seconds later.
func TestLeavingServerIsKnownAfterTheStoreWasSilent(t *testing.T) {
	run(t, watch.Servers, time.Second, 700*time.Millisecond, func(w *world) {
		w.source.set(func(s *source) { s.silent = true })
		time.Sleep(4500 * time.Millisecond)

		w.source.set(func(s *source) { s.silent = false })
		time.Sleep(5 * time.Second)

		w.source.put(listed("a", true))
		time.Sleep(1500 * time.Millisecond)

		_, usable := w.fleet.Get("a")
		assert.Assert(t, !usable, "a server that left 1.5 s ago is still used")
	})
}

// Guards against an entry that serves no keyed request for seconds after the store is back.
func TestConfigurationIsConfirmedSoonAfterTheStoreReturns(t *testing.T) {
	// bound is the sum of the longest pause after a failed call and the time after which a call at a silent store fails.
	const bound = 1600 * time.Millisecond

	for silence := 3 * time.Second; silence <= 6*time.Second; silence += 250 * time.Millisecond {
		run(t, watch.Operator, 1800*time.Millisecond, 0, func(w *world) {
			w.source.set(func(s *source) { s.silent = true })
			time.Sleep(silence)

			w.source.set(func(s *source) { s.silent = false })

			var before, after int

			w.source.set(func(s *source) { before = s.answered })
			time.Sleep(bound)
			w.source.set(func(s *source) { after = s.answered })
			assert.Assert(t, after > before, "no answer within %s after a silence of %s", bound, silence)
		})
	}
}

// Guards against servers that stay in the list although their removal was among the changes that the store forgot.
func TestWholeTopicIsReadAfterHistoryIsLost(t *testing.T) {
	run(t, watch.Servers, time.Second, 0, func(w *world) {
		w.source.set(func(s *source) {
			s.forgot = true
			s.all = []watch.Item{listed("b", false)}
			s.version++
		})
		time.Sleep(3 * time.Second)

		w.source.set(func(s *source) { assert.Equal(t, s.reads, 2) })

		_, usable := w.fleet.Get("a")
		assert.Assert(t, !usable)
	})
}

// Guards against dropping every server when their entries lapsed while the store was away: those that live are listed
// again within two seconds.
func TestLapsedServersStayInUseUntilTheyAreListedAgain(t *testing.T) {
	run(t, watch.Servers, time.Second, 0, func(w *world) {
		w.source.set(func(s *source) { s.refuse = true })
		time.Sleep(3 * time.Second)

		w.source.set(func(s *source) { s.refuse = false })
		w.source.put(watch.ServerRemoved{ID: "a"}, watch.ServerRemoved{ID: "b"})
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, len(w.fleet.Usable(time.Now(), "s")), 2)

		w.source.put(listed("b", false))
		time.Sleep(2500 * time.Millisecond)

		usable := w.fleet.Usable(time.Now(), "s")
		assert.Equal(t, len(usable), 1)
		assert.Equal(t, usable[0].ID, "b")
	})
}

// Guards against requests to a server that left the list some seconds after an outage: it got requests for 2,139 ms, because
// its removal counted as a lapse.
func TestServerThatLeavesAfterAnOutageIsDroppedAtOnce(t *testing.T) {
	run(t, watch.Servers, time.Second, 0, func(w *world) {
		w.source.set(func(s *source) { s.refuse = true })
		time.Sleep(3 * time.Second)

		w.source.set(func(s *source) { s.refuse = false })
		time.Sleep(3 * time.Second)

		w.source.put(watch.ServerRemoved{ID: "a"})
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, len(w.fleet.Usable(time.Now(), "s")), 1)
	})
}

// Guards against requests to an evacuated failure domain, and against one that stays out after it was taken back while the
// history was lost.
func TestEvacuatedDomainsGetNoRequests(t *testing.T) {
	run(t, watch.Operator, time.Second, 0, func(w *world) {
		w.fleet.Put(fleet.Server{ID: "a", Service: "s", Domain: "d"}, fleet.Server{ID: "b", Service: "s", Domain: "e"})

		usable := func() int { return len(w.fleet.Usable(time.Now(), "s")) }

		w.source.put(watch.EvacuationChanged{Domain: "d", Active: true})
		time.Sleep(time.Second)
		assert.Equal(t, usable(), 1)

		w.source.put(watch.EvacuationChanged{Domain: "e", Active: true})
		time.Sleep(time.Second)
		assert.Equal(t, usable(), 0)

		w.source.put(watch.EvacuationChanged{Domain: "d"})
		time.Sleep(time.Second)
		assert.Equal(t, usable(), 1)

		w.source.set(func(s *source) {
			s.forgot = true
			s.all = nil
			s.version++
		})
		time.Sleep(3 * time.Second)
		assert.Equal(t, usable(), 2)
	})
}

// Guards against a configuration that goes back to an older version.
func TestOlderConfigurationIsNotApplied(t *testing.T) {
	run(t, watch.Operator, time.Second, 0, func(w *world) {
		w.source.put(watch.ConfigChanged{Catalog: catalog.New(7, nil, nil, nil, catalog.Limits{})})
		time.Sleep(time.Second)

		w.source.put(watch.ConfigChanged{Catalog: catalog.New(5, nil, nil, nil, catalog.Limits{})})
		time.Sleep(2 * time.Second)

		w.target.mu.Lock()
		defer w.target.mu.Unlock()

		assert.Equal(t, w.target.version, int64(7))
	})
}

package watch_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/watch"
)

// relayPeriod is the time between two confirmations that an entry gets from the reader.
const relayPeriod = 300 * time.Millisecond

// observer is an entry with its own way to the store.
type observer struct {
	*source

	fleet    *fleet.Fleet
	follower *progress.Follower
	watcher  *watch.Watcher
	cut      atomic.Bool
	// forgotten is true if the store has no history for the next call of this entry.
	forgotten atomic.Bool
}

// Read implements watch.Source.
func (o *observer) Read(ctx context.Context, topic watch.Topic) (watch.Batch, error) {
	if o.cut.Load() {
		return watch.Batch{}, errors.New("cut off")
	}

	return o.source.Read(ctx, topic)
}

// Changes implements watch.Source.
func (o *observer) Changes(ctx context.Context, topic watch.Topic, after int64, wait time.Duration) (watch.Batch, error) {
	if o.cut.Load() {
		return watch.Batch{}, errors.New("cut off")
	}

	if o.forgotten.Swap(false) {
		return watch.Batch{}, watch.ErrHistoryLost
	}

	return o.source.Changes(ctx, topic, after, wait)
}

func newObserver(store *source, reader bool) *observer {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)

	o := &observer{source: store, fleet: &fleet.Fleet{}}
	o.follower = &progress.Follower{
		MaxAge: 2500 * time.Millisecond, Freshness: &freshness.Tracker{Now: store.clock},
		IsReader: func() bool { return reader }, OnPublish: func() {},
	}
	o.watcher = &watch.Watcher{
		Source: o, Topic: watch.Servers, Wait: time.Second, Target: &target{}, Fleet: o.fleet, Log: log, Progress: o.follower,
	}

	return o
}

// usesC reports whether the entry sends requests to the server c.
func (o *observer) usesC() bool {
	_, ok := o.fleet.Get("c")

	return ok
}

// runPair has one entry watch the store for another in virtual time while body runs.
func runPair(t *testing.T, body func(store *source, reader, other *observer)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		store := &source{version: 2, started: time.Now(), all: []watch.Item{listed("a", false), serverRow("10.0.0.1:1", 1, 2)}}
		reader, other := newObserver(store, true), newObserver(store, false)

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		go reader.watcher.Run(ctx)
		go other.watcher.Run(ctx)

		go func() {
			for ctx.Err() == nil {
				if confirmation, ok := reader.follower.Publication(); ok {
					other.follower.Observe(confirmation)
				}

				time.Sleep(relayPeriod)
			}
		}()

		synctest.Wait()
		body(store, reader, other)
		cancel()
		// The goroutines end with their current wait.
		time.Sleep(3 * time.Second)
	})
}

// Guards against an entry that takes its list for confirmed and goes on using a server that has left, because the entry that watches the store
// for it did not use that server anyway: it knew before the store was restored from a copy that the server had left.
func TestRemovalThatChangesNothingForTheReader(t *testing.T) {
	runPair(t, func(store *source, reader, other *observer) {
		other.cut.Store(true)
		store.put(watch.ServerRemoved{ID: "c", Version: 3})
		time.Sleep(3 * time.Second)
		assert.Check(t, !reader.usesC() && other.usesC())

		store.restoreWith(2, listed("a", false), serverRow("10.0.0.1:1", 1, 2))
		other.cut.Store(false)
		time.Sleep(5 * time.Second)
		assert.Check(t, !reader.usesC(), "the row is known to be outdated")
		assert.Check(t, other.usesC(), "only the reader knows that the row is outdated")

		store.put(watch.ServerRemoved{ID: "c", Version: 3})
		time.Sleep(1500 * time.Millisecond)
		assert.Check(t, !other.usesC(), "a server is used 1.5 s after its removal")
	})
}

// Guards against an entry that never uses a listed server, because the entry that watches the store for it read the whole list when history was
// lost, and saw no change: the server had been removed and was back, and the other had read only its removal.
func TestChangesThatTheReaderMissed(t *testing.T) {
	runPair(t, func(store *source, reader, other *observer) {
		reader.cut.Store(true)
		// Its last call has ended by then.
		time.Sleep(1100 * time.Millisecond)
		store.put(watch.ServerRemoved{ID: "c", Version: 3})
		// The other entry soon reads for itself, since nothing is confirmed any more.
		for other.usesC() {
			time.Sleep(10 * time.Millisecond)
		}

		store.put(serverRow("10.0.0.1:1", 1, 4))
		reader.forgotten.Store(true)
		reader.cut.Store(false)
		time.Sleep(4 * time.Second)
		assert.Check(t, reader.usesC())
		assert.Check(t, other.usesC(), "a listed server is not used 4 s later")
	})
}

// Guards against reads of all entries that nobody needs: rows in which nothing has changed that is read of them, as with each heartbeat that states
// other adapters, and removals of rows that were never usable.
func TestRowsThatStateTheSameAreNoChange(t *testing.T) {
	runPair(t, func(store *source, reader, _ *observer) {
		time.Sleep(time.Second)

		before, _ := reader.follower.Publication()

		for version := int64(3); version < 10; version++ {
			store.put(serverRow("10.0.0.1:1", 1, version), watch.ServerRemoved{ID: "unreadable"})
			time.Sleep(300 * time.Millisecond)
		}

		after, ok := reader.follower.Publication()
		assert.Check(t, ok && after.Newest == before.Newest, "%v, before %v", after.Newest, before.Newest)
	})
}

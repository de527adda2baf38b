package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/publish"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// watcher is an entry that watches the state of the agent.
type watcher struct {
	// changed is notified after each change of the state, and urgent after one that is not to wait for the next message about the
	// load. The capacity of both is 1.
	changed, urgent chan struct{}
	// peer is the clock of the entry.
	peer freshness.PeerClock
	// name is that of the entry; empty until it has sent its settings.
	name string
	// entries is the number of entries that the entry knows of.
	entries int
	// publishedAt is when the store last confirmed the operator's configuration to the entry, on freshness.Clock; it is set if
	// published is true.
	publishedAt time.Duration
	published   bool
	// reader is true if the entry is to watch the store for the others.
	reader bool
	// changes is true if the entry accepts states with only the changes of the adapters.
	changes bool
	// list is the digest of the list of model servers that the entry follows; 0 if it has not stated it.
	list uint64
}

// notifyWatchers notifies the watchers of a change of the state. The lock must be held.
func (a *Agent) notifyWatchers() {
	for w := range a.watchers {
		notify(w.changed)
	}

	state := a.scheduler.State(time.Now())
	if state.Ready == a.notified.Ready && state.StartSpacing == a.notified.StartSpacing && slices.Equal(state.Models, a.notified.Models) && slices.Equal(state.Adapters, a.notified.Adapters) {
		return
	}

	a.notified = state
	a.notifyUrgent()
}

// notifyUrgent notifies the watchers of a change that is not to wait for the next message about the load. The lock must be held.
func (a *Agent) notifyUrgent() {
	for w := range a.watchers {
		notify(w.urgent)
	}
}

func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Watch implements relay.DRPCRelayServer.
func (a *Agent) Watch(stream relay.DRPCRelay_WatchStream) error {
	w := &watcher{changed: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}

	a.addWatcher(w)
	defer a.removeWatcher(w)

	failed := make(chan error, 1)

	go func() { failed <- a.receiveSettings(stream, w) }()

	var publisher publish.Publisher

	for {
		wait, err := a.sendState(stream, w, &publisher)
		if err != nil {
			return err
		}

		if err := a.awaitChange(stream.Context(), w, &publisher, wait, failed); err != nil {
			return err
		}
	}
}

func (a *Agent) addWatcher(w *watcher) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.watchers[w] = true
	a.updateEntries()
}

func (a *Agent) removeWatcher(w *watcher) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.watchers, w)
	a.updateEntries()
}

// updateEntries passes the numbers of known and of connected entries to the holder of the client accounts, and chooses the
// entries that watch the store. The lock must be held.
func (a *Agent) updateEntries() {
	known := 0
	candidates := make([]progress.Candidate, 0, len(a.watchers))

	for w := range a.watchers {
		known = max(known, w.entries)

		if w.name != "" {
			candidates = append(candidates, progress.Candidate{Name: w.name, Age: freshness.Clock() - w.publishedAt, Published: w.published})
		}
	}

	a.updateFollowers()
	a.accounts.SetEntries(time.Now(), max(known, len(a.watchers)), a.followers.Taking())

	readers := progress.Readers(candidates)

	for w := range a.watchers {
		w.reader = slices.Contains(readers, w.name)
	}
}

// awaitChange waits for a change that may have to be sent, or for the given time. It returns the error with which the stream has
// failed.
func (a *Agent) awaitChange(ctx context.Context, w *watcher, publisher *publish.Publisher, wait time.Duration, failed <-chan error) error {
	a.mu.Lock()
	pause, endsWithLoad := publisher.Pause(time.Now(), wait, len(a.watchers))
	a.mu.Unlock()

	var changed <-chan struct{}
	if endsWithLoad {
		changed = w.changed
	}

	timer := time.NewTimer(pause)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "watch")
	case err := <-failed:
		return err
	case <-w.urgent:
	case <-changed:
	case <-timer.C:
	}

	return nil
}

// sendState sends the state to an entry if the publisher has a message due. It returns the time until the next message if nothing
// changes.
func (a *Agent) sendState(stream relay.DRPCRelay_WatchStream, w *watcher, publisher *publish.Publisher) (time.Duration, error) {
	now := time.Now()

	a.mu.Lock()
	state := a.scheduler.State(now)
	latest, _ := a.operator.Get()
	content := publish.Content{State: state, Operator: latest.Newest, Evidence: a.monitor.Version(), Sound: a.monitor.SoundVersion(), Limits: a.limits.Version()}

	if wait := publisher.Wait(now, content, len(a.watchers)); wait > 0 {
		a.mu.Unlock()
		return wait, nil
	}

	message := a.stateMessage(state, w, publisher.Record(now, content))
	_, longest := publish.Intervals(len(a.watchers))
	a.mu.Unlock()

	metric.Count(a.Metrics, "state.sent")

	return longest, errors.Wrap(stream.Send(message), "send state")
}

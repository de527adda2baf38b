package watch

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
)

const (
	// callTimeout bounds a call beyond the time that it asked the store to wait.
	callTimeout = 700 * time.Millisecond
	// readTimeout bounds the reading of a whole topic, which is longer when the store is slow.
	readTimeout = 2 * time.Second
	// firstBackoff and lastBackoff bound the pause after a failed call; it doubles with each failure.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 800 * time.Millisecond
	// lapseTime is how long after the store's return servers that vanished from the list stay in use: entries that lapsed
	// during an outage are listed again by then if the server lives.
	lapseTime = 2 * time.Second
)

// Target takes what the watcher learns.
type Target interface {
	// Apply takes a configuration and reports whether it is newer than the one in force.
	Apply(next *catalog.Config) bool
	// Require sets the oldest version of an adapter that requests may run on.
	Require(model, adapter string, version int64)
}

// Watcher follows one topic. Its exported fields are set before Run.
type Watcher struct {
	Source Source
	Topic  Topic
	// Wait is how long a call waits at the store for a change. A connection that went silent is noticed only after it.
	Wait time.Duration
	// Gather is the pause after a change, in which further ones gather; each call is paid for.
	BatchDelay time.Duration
	Target     Target
	Fleet      *fleet.Fleet
	// Fresh is told each confirmation; nil for topics whose age decides nothing.
	Freshness *freshness.Tracker
	Log       logrus.FieldLogger
	// Called counts the calls; may be nil.
	OnCall func()

	version   int64
	evacuated map[string]bool
	// lost says that the last call failed, and regained is when one succeeded again.
	lost     bool
	regained time.Time
	backoff  time.Duration
}

// Run follows the topic until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	whole := true

	for ctx.Err() == nil {
		asked := freshness.Clock()
		batch, err := w.call(ctx, whole)

		switch {
		case err == nil:
			w.succeed()
			w.apply(batch, whole)
			w.confirm(asked, batch)

			whole = false

			w.sleep(ctx, w.pause(batch))
		case errors.Is(err, ErrHistoryLost):
			w.Log.WithField("topic", w.Topic.String()).WithField("version", w.version).Info("store history lost, reading everything")

			whole = true
		default:
			w.fail(ctx, err)
		}
	}
}

func (w *Watcher) call(ctx context.Context, whole bool) (Batch, error) {
	if w.OnCall != nil {
		w.OnCall()
	}

	wait := w.wait()

	timeout := wait + callTimeout
	if whole {
		timeout = readTimeout
	}

	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	var (
		batch Batch
		err   error
	)

	if whole {
		batch, err = w.Source.Read(bounded, w.Topic)
	} else {
		batch, err = w.Source.Changes(bounded, w.Topic, w.version, wait)
	}

	return batch, err
}

// confirm says that the configuration in force was the newest when the store answered the call.
func (w *Watcher) confirm(asked time.Duration, batch Batch) {
	if w.Freshness != nil {
		w.Freshness.Confirm(asked, batch.Clock)
	}
}

// wait returns how long the store may hold the call. A store that did not answer is asked for an answer at once, so that
// its return is noticed soon.
func (w *Watcher) wait() time.Duration {
	if w.lost {
		return 0
	}

	return w.Wait
}

func (w *Watcher) succeed() {
	if w.lost {
		w.Log.WithField("topic", w.Topic.String()).WithField("version", w.version).Info("store regained")

		w.regained = time.Now()
	}

	w.lost = false
	w.backoff = 0
}

func (w *Watcher) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}

	if !w.lost {
		w.Log.WithField("topic", w.Topic.String()).WithField("version", w.version).WithError(err).Warn("store lost")
	}

	w.lost = true
	w.backoff = min(max(2*w.backoff, firstBackoff), lastBackoff)
	w.sleep(ctx, w.backoff)
}

// pause returns the time until the next call: changes gather, and an answer without any came after its own wait.
func (w *Watcher) pause(batch Batch) time.Duration {
	if len(batch.Items) == 0 {
		return 0
	}

	return w.BatchDelay
}

func (w *Watcher) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

func (w *Watcher) apply(batch Batch, whole bool) {
	now := time.Now()
	gone := w.regained.Add(lapseTime)
	listed := map[string]bool{}
	evacuated := maps.Clone(w.evacuated)

	if whole || evacuated == nil {
		evacuated = map[string]bool{}
	}

	for _, item := range batch.Items {
		switch i := item.(type) {
		case ServerListed:
			listed[i.Server.ID] = true
			w.Fleet.Put(i.Server)
		case ServerRemoved:
			w.Fleet.Remove(now, i.ID, gone)
		case ConfigChanged:
			if w.Target.Apply(i.Catalog) {
				w.Log.WithField("config", i.Catalog.Version).Info("configuration in force")
			}
		case EvacuationChanged:
			if i.Active {
				evacuated[i.Domain] = true
			} else {
				delete(evacuated, i.Domain)
			}
		case AdapterAnnounced:
			w.Target.Require(i.Model, i.Adapter, i.Version)
		case UnreadableRow:
			w.Log.WithField("key", i.Key).WithError(i.Err).Debug("entry of the store cannot be read")
		}
	}

	if w.Topic == Operator && !maps.Equal(evacuated, w.evacuated) {
		w.Log.WithField("domains", evacuated).Info("evacuated failure domains")
		w.evacuated = evacuated
		w.Fleet.Evacuate(evacuated)
	}

	if whole && w.Topic == Servers {
		w.Fleet.Retain(now, listed, gone)
	}

	w.version = batch.Version
}

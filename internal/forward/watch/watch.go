package watch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
)

const (
	// callTimeout bounds a call in addition to the time that the store may wait for a change.
	callTimeout = 700 * time.Millisecond
	// readTimeout bounds the read of a whole topic, which takes longer when the store is slow.
	readTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call, which doubles with each failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// settleTime is how long after the first read since a restore the operator may take to write again what the copy lacks. Until then,
	// reads confirm nothing, and an entry that does not watch the topic for others reads it every unsettledInterval.
	settleTime        = 2 * time.Second
	unsettledInterval = 200 * time.Millisecond
)

// errOldEra is the error of a response that the store gave before it was restored from a copy.
var errOldEra = errors.New("the response is from before the store was restored")

// Target receives the configuration and the adapter versions that the watcher reads.
type Target interface {
	// Apply applies a configuration and reports whether it is newer than the one in force.
	Apply(next *catalog.Config) bool
	// RequireVersion sets the minimum version of an adapter on which requests may run, unless a higher one is set.
	RequireVersion(model, adapter string, version int64)
}

// Watcher watches one topic. Its exported fields are set before Run.
type Watcher struct {
	Source Source
	Topic  Topic
	// Wait is how long the store may hold a call until there is a change. It delays the detection of a connection that is dead
	// without being closed.
	Wait time.Duration
	// BatchDelay is the delay of the next call after a change, so that it returns several changes; each call is paid for.
	BatchDelay time.Duration
	Target     Target
	Fleet      *fleet.Fleet
	// Progress decides when the topic is read.
	Progress *progress.Follower
	Log      logrus.FieldLogger
	// OnCall is called before each call of the store; it may be nil.
	OnCall func()

	// version is the store's newest version at the last read, and era that of the store; both are set if read is true.
	version, era int64
	read         bool
	// settledAt is when reads confirm the topic again after a restore of the store; it is zero or in the past if they do.
	settledAt   time.Time
	evacuations evacuations
	// rows holds the list of servers as it was read.
	rows serverRows
	// seen holds the versions of the rows of servers that were read.
	seen seenVersions
	// unavailable is true if the last call failed.
	unavailable bool
	backoff     time.Duration
}

// Run watches the topic until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	full := true
	w.seen = seenVersions{}

	for ctx.Err() == nil {
		if !full && !w.unavailable {
			w.Progress.Await(ctx)
		}

		requested := w.Progress.Freshness.Clock()
		batch, err := w.call(ctx, full)

		switch {
		case err == nil && batch.Era < w.era:
			w.fail(ctx, errOldEra)
		case errors.Is(err, ErrHistoryLost), err == nil && !full && batch.Era > w.era:
			w.Log.WithFields(logrus.Fields{"topic": w.Topic.String(), "version": w.version, "era": w.era, "newest": batch.Era}).
				Info("store history lost, reading everything")

			full = true
		case err == nil:
			w.succeed()
			w.record(requested, batch, w.apply(batch, full))

			full = false

			w.sleep(ctx, w.delay(batch))
		default:
			w.fail(ctx, err)
		}
	}
}

// record records that the topic was read.
func (w *Watcher) record(requested time.Duration, batch Batch, changed bool) {
	w.version, w.era, w.read = batch.Version, batch.Era, true
	w.Progress.Record(progress.Read{
		Newest: progress.Mark{Era: batch.Era, Version: batch.Version}, Changed: changed, Requested: requested, StoreClock: batch.Clock,
		Unsettled: time.Now().Before(w.settledAt),
	})
}

func (w *Watcher) call(ctx context.Context, full bool) (Batch, error) {
	if w.OnCall != nil {
		w.OnCall()
	}

	wait := w.pollWait()

	timeout := wait + callTimeout
	if full {
		timeout = readTimeout
	}

	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	var (
		batch Batch
		err   error
	)

	if full {
		batch, err = w.Source.Read(bounded, w.Topic)
	} else {
		batch, err = w.Source.Changes(bounded, w.Topic, w.version, wait)
	}

	return batch, err
}

// pollWait returns how long the store may hold the call. It is 0 after a failed call, so that the recovery of the store is
// noticed soon, and if the entry does not watch the topic for others, since it calls only for what it has missed.
func (w *Watcher) pollWait() time.Duration {
	if w.unavailable || !w.Progress.IsReader() {
		return 0
	}

	return w.Wait
}

func (w *Watcher) succeed() {
	if w.unavailable {
		w.Log.WithField("topic", w.Topic.String()).WithField("version", w.version).Info("store regained")

		w.Progress.RecordRegained()
	}

	w.unavailable = false
	w.backoff = 0
}

func (w *Watcher) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}

	if !w.unavailable {
		w.Log.WithField("topic", w.Topic.String()).WithField("version", w.version).WithError(err).Warn("store lost")
	}

	w.unavailable = true
	w.Progress.Freshness.Fail()
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.sleep(ctx, w.backoff)
}

// delay returns the time until the next call. It is BatchDelay after changes, and 0 after a response without changes, for
// which the store has waited already. Entries that are not readers learn of changes that the readers have batched.
func (w *Watcher) delay(batch Batch) time.Duration {
	if !w.Progress.IsReader() && time.Now().Before(w.settledAt) {
		return unsettledInterval
	}

	if len(batch.Items) == 0 || !w.Progress.IsReader() {
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

// apply applies what was read and reports whether the topic has changed. A read of the whole topic does not show what has changed and changed back
// since the previous read, which others may have read in between.
func (w *Watcher) apply(batch Batch, full bool) bool {
	now := time.Now()

	restored := full && w.read && batch.Era != w.era
	if restored {
		w.settledAt = now.Add(settleTime)
	}

	if w.Topic == Operator {
		w.applyOperator(now, batch, full, restored)

		return full || len(batch.Items) > 0
	}

	changed := w.applyServers(now, batch, full, restored)

	return full || changed
}

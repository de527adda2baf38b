package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// pull reads the head, which is the row of the table with the newest committed version, and, if that is newer than the local
// document, the log, which has a row for each change of the document. A caller shares the result of a read that began after
// its call; an earlier read may have missed the version that this caller needs.
func (f *Follower) pull(ctx context.Context) error {
	called := time.Now()

	select {
	case f.readToken <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}

	defer func() { <-f.readToken }()

	if f.lastRead.began.After(called) {
		return f.lastRead.err
	}

	f.lastRead.began = time.Now()
	f.lastRead.err = f.read(ctx)
	f.recordTableResult(f.lastRead.err)

	return f.lastRead.err
}

func (f *Follower) read(ctx context.Context) error {
	started := time.Now()

	head, err := f.head(ctx)
	if err != nil {
		return err
	}

	if head.Version > f.version() {
		if err := f.readLog(ctx); err != nil {
			return err
		}
	}

	// A head below the local version confirms nothing: it may be outdated, or the local version has increased since the read.
	if head.Version < f.version() {
		return f.recheckHead(ctx, head.Version)
	}

	f.mu.Lock()
	f.freshness.ConfirmTable(started)
	f.mu.Unlock()

	return nil
}

// recheckHead reads the head again after a read that returned the given version, which is below the local one: either the
// document was updated since that read, or the table returned an outdated state. A head above the local version confirms
// nothing and is no error; the next poll reads the log.
func (f *Follower) recheckHead(ctx context.Context, headVersion int64) error {
	started := time.Now()

	head, err := f.head(ctx)
	if err != nil {
		return err
	}

	if head.Version < f.version() {
		return fault.New(fault.TableUnavailable, "the table returned outdated version %d; the local version is %d", headVersion, f.version())
	}

	if head.Version == f.version() {
		f.mu.Lock()
		f.freshness.ConfirmTable(started)
		f.mu.Unlock()
	}

	return nil
}

func (f *Follower) head(ctx context.Context) (store.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return f.Store.Head(ctx)
}

// readLog applies the changes since the local document, or the newest document if there is no local one.
func (f *Follower) readLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	current := f.Board.Document.Value()
	if current == nil {
		next, err := f.Store.Latest(ctx)
		if err != nil {
			return err
		}

		f.apply(next, nil)

		return nil
	}

	changes, err := f.Store.Log(ctx, current.Version)
	if err != nil {
		return err
	}

	return f.replay(current, changes)
}

// replay applies the changes to the current document.
func (f *Follower) replay(current *document.Document, changes []document.Change) error {
	if len(changes) == 0 {
		return nil
	}

	next, err := current.Replay(changes)
	if err != nil {
		return errors.Wrap(err, "replay log")
	}

	f.apply(next, changes)

	return nil
}

// recordTableResult records whether a read of the table succeeded, and logs the first failure and the first success after it.
func (f *Follower) recordTableResult(err error) {
	f.mu.Lock()
	changed := f.freshness.tableUnavailable == (err == nil)
	f.freshness.SetTableAvailable(err == nil)
	f.mu.Unlock()

	if !changed {
		return
	}

	entry := logger.WithFields(logrus.Fields{"version": f.version()})

	if err != nil {
		entry.WithError(err).Warn("failed to read the configuration from the table")
		return
	}

	entry.Info("reading the configuration from the table succeeds again")
}

// snapshot writes a snapshot after every SnapshotEvery versions. Only entries call it.
func (f *Follower) snapshot(ctx context.Context) {
	d := f.Board.Document.Value()
	if d == nil || d.Version-f.snapshotVersion < store.SnapshotEvery {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	if err := f.Store.WriteSnapshot(ctx, d); err != nil {
		logger.WithError(err).Warn("failed to write a snapshot")
	}

	// After a failure the next snapshot is written after SnapshotEvery further versions; until then a new process reads a longer
	// log.
	f.snapshotVersion = d.Version
}

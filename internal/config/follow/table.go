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

// pull reads the head and, if it is newer, the log. A caller shares the result of a read that began after its call; an
// earlier one may have missed the version that this caller needs.
func (f *Follower) pull(ctx context.Context) error {
	called := time.Now()

	select {
	case f.pulling <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}

	defer func() { <-f.pulling }()

	if f.pulled.began.After(called) {
		return f.pulled.err
	}

	f.pulled.began = time.Now()
	f.pulled.err = f.read(ctx)
	f.noteTable(f.pulled.err)

	return f.pulled.err
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

	// A head below the own version is an outdated read and confirms nothing.
	if head.Version < f.version() {
		return f.checkHead(ctx, head.Version)
	}

	f.mu.Lock()
	f.fresh.ConfirmTable(started)
	f.mu.Unlock()

	return nil
}

// checkHead confirms nothing: the document moved on since the head was read, or the table answered with an old state.
func (f *Follower) checkHead(ctx context.Context, before int64) error {
	started := time.Now()

	head, err := f.head(ctx)
	if err != nil {
		return err
	}

	if head.Version < f.version() {
		return fault.New(fault.TableUnavailable, "the table answers with version %d after %d", before, f.version())
	}

	if head.Version == f.version() {
		f.mu.Lock()
		f.fresh.ConfirmTable(started)
		f.mu.Unlock()
	}

	return nil
}

func (f *Follower) head(ctx context.Context) (store.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return f.Store.Head(ctx)
}

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

// noteTable logs when the table stops or starts to answer.
func (f *Follower) noteTable(err error) {
	f.mu.Lock()
	changed := f.fresh.silent == (err == nil)
	f.fresh.SetTableAvailable(err == nil)
	f.mu.Unlock()

	if !changed {
		return
	}

	entry := logger.WithFields(logrus.Fields{"version": f.version()})

	if err != nil {
		entry.WithError(err).Warn("configuration cannot be read from the table")
		return
	}

	entry.Info("configuration is read from the table again")
}

// snapshot writes a snapshot when enough changes have passed. Only entries do.
func (f *Follower) snapshot(ctx context.Context) {
	d := f.Board.Document.Value()
	if d == nil || d.Version-f.snapshotted < store.SnapshotEvery {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	if err := f.Store.WriteSnapshot(ctx, d); err != nil {
		logger.WithError(err).Warn("no snapshot was written")
	}

	// After a failure the next attempt is made with the next interval, and a new process reads a longer log.
	f.snapshotted = d.Version
}

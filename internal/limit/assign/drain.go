package assign

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// drainPause is the time between two tries to give shares away.
const drainPause = 250 * time.Millisecond

// Drain stops this process's holder and then gives its shares to other entries. It tries until every share is given
// away, no entry can take one, or the context ends; a share that is left stays reserved until this process is known
// to be gone.
func (a *Controller) Drain(ctx context.Context) error {
	if a.Holder == nil {
		return nil
	}

	a.Holder.Stop()

	for {
		err := a.release(ctx)
		if err == nil {
			return nil
		}

		select {
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), err)
		case <-time.After(drainPause):
		}
	}
}

// release tries to give every share of this process away once. Conflicts are tried again like errors.
func (a *Controller) release(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.drained = true
	a.stale.Store(true)

	rows, err := a.read(ctx)
	if err != nil {
		return err
	}

	entries := slices.DeleteFunc(a.entries(), func(entry board.Holder) bool { return entry.Boot == a.Self.Boot })

	var failed error

	for account, current := range rows {
		if !contains(current.assignment.Holders, a.Self.Boot) {
			continue
		}

		next, changed := replace(current.assignment, entries, func(holder board.Holder) bool { return holder.Boot == a.Self.Boot })
		if !changed {
			continue
		}

		failed = errors.CombineErrors(failed, a.write(ctx, current, next))

		if contains(a.Board.Shares.Value()[account].Holders, a.Self.Boot) {
			failed = errors.CombineErrors(failed, errors.Newf("share of %s is not yet given away", account))
		}
	}

	return failed
}

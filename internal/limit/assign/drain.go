package assign

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// drainRetryDelay is the time between two attempts to reassign the shares.
const drainRetryDelay = 250 * time.Millisecond

// Drain stops this process's holder and then reassigns its shares to other entries. It retries until every share that another
// entry can take is reassigned, or until the context ends. A remaining share stays reserved until this process is known to
// have ended.
func (c *Controller) Drain(ctx context.Context) error {
	if c.Holder == nil {
		return nil
	}

	c.Holder.Stop()

	for {
		err := c.reassignShares(ctx)
		if err == nil {
			return nil
		}

		select {
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), err)
		case <-time.After(drainRetryDelay):
		}
	}
}

// reassignShares tries once to reassign every share of this process. A conflict counts as an error, so that Drain retries.
func (c *Controller) reassignShares(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.drained = true
	c.forceFullRead.Store(true)

	rows, err := c.read(ctx)
	if err != nil {
		return err
	}

	entries := slices.DeleteFunc(c.eligibleEntries(), func(entry board.Holder) bool { return entry.Boot == c.Self.Boot })

	var failed error

	for account, current := range rows {
		if !contains(current.assignment.Holders, c.Self.Boot) {
			continue
		}

		next, changed := replaceHolders(current.assignment, entries, func(holder board.Holder) bool { return holder.Boot == c.Self.Boot })
		if !changed {
			continue
		}

		failed = errors.CombineErrors(failed, c.writeRow(ctx, current, next))

		if contains(c.Board.Shares.Value()[account].Holders, c.Self.Boot) {
			failed = errors.CombineErrors(failed, errors.Newf("share of account %s is not reassigned yet", account))
		}
	}

	return failed
}

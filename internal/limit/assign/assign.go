// Package assign decides which entry processes hold the token shares of each client account. It stores the assignments in the
// rows limit/<account> of the table.
package assign

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const (
	// entryPollInterval is the mean time between two polls of all rows by an entry.
	entryPollInterval = 2 * time.Second
	// agentPollInterval is the mean time between two polls by an agent; it is longer because there are many agents.
	agentPollInterval = 10 * time.Second
	// minPollInterval is the minimum time between two polls when polls are requested.
	minPollInterval = 200 * time.Millisecond
	// createTimeout is how long the first assignment of an account waits for contact with entries in enough listed
	// failure domains. It waits because holders that are added later start empty.
	createTimeout = 5 * time.Second
	// callTimeout bounds a call to the table or to a peer.
	callTimeout = 2 * time.Second
)

// Controller reads the share assignments from the table and publishes them as board.Shares. On entries it also creates and
// changes them. Several controllers may write a row concurrently; the check of the row version lets only one of them succeed.
// The exported fields are set before Run.
type Controller struct {
	Board *board.Board
	Table table.Table
	// Holder is the holder of this process; nil in agents, which only read assignments.
	Holder *holder.Holder
	// Self describes this process; Share, Since, Full and Listed are not used.
	Self board.Holder
	// FetchBootID queries the boot id of the entry at an address.
	FetchBootID func(ctx context.Context, address string) (string, error)
	// Accounts limits the rows that are read to those of these accounts; if it is empty, all rows are read.
	Accounts []string

	once sync.Once
	wake chan struct{}
	// random spreads the polls of several processes over time; only Run uses it.
	random *rand.Rand
	// mu allows one Reconcile at a time, so that Drain does not run concurrently with one.
	mu sync.Mutex
	// drained is true once Drain has begun; Reconcile then changes no rows.
	drained bool
	// missingSince holds the time at which an account was first seen without a row.
	missingSince map[string]time.Time
	// rows is the result of the last full read, lastHeadVersion the version of the head row before that read, and readAt the
	// time at which the read started. mu guards them.
	rows            map[string]row
	lastHeadVersion int64
	readAt          time.Time
	// forceFullRead makes the next poll read all rows.
	forceFullRead atomic.Bool
	// failing is true if the last Reconcile failed, so that an outage is logged once. Only Run uses it.
	failing bool
}

// Run polls and changes rows until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.init()

	for {
		c.logOutage(ctx, c.Reconcile(ctx))

		earliest := time.After(minPollInterval)
		next := time.After(c.pollInterval())

		select {
		case <-ctx.Done():
			return nil
		case <-next:
			continue
		case <-c.wake:
		}

		select {
		case <-ctx.Done():
			return nil
		case <-earliest:
		}
	}
}

// logOutage logs the first error of an outage and its end.
func (c *Controller) logOutage(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}

	if err != nil && !c.failing {
		c.log().WithError(err).Warn("token share assignments are not up to date")
	}

	if err == nil && c.failing {
		c.log().Info("token share assignments are up to date again")
	}

	c.failing = err != nil
}

// RequestPoll makes Run poll all rows soon. It serves as OnStale of ledger.Ledger.
func (c *Controller) RequestPoll(string) {
	c.init()
	c.forceFullRead.Store(true)

	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Reconcile reads the rows, publishes them and, on entries, makes the changes that are due.
func (c *Controller) Reconcile(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	rows, err := c.read(ctx)
	if err != nil {
		return err
	}

	c.publish(rows)

	if c.Holder == nil || c.drained {
		return nil
	}

	return c.updateRows(ctx, rows)
}

// init sets up the fields that are not set by the caller.
func (c *Controller) init() {
	c.once.Do(func() {
		c.wake = make(chan struct{}, 1)
		c.random = rand.New(rand.NewPCG(xxhash.Sum64String(c.Self.Boot), 0))
	})
}

// pollInterval returns the time until the next poll, with a jitter of a quarter of the mean in both directions.
func (c *Controller) pollInterval() time.Duration {
	interval := entryPollInterval
	if c.Holder == nil {
		interval = agentPollInterval
	}

	return interval*3/4 + time.Duration(c.random.Int64N(int64(interval/2)))
}

func (c *Controller) log() *logrus.Entry {
	return logrus.WithField("component", "limit/assign")
}

// updateRows makes the change that is due for each account. An error for one account does not stop the others, unless the
// table is unavailable.
func (c *Controller) updateRows(ctx context.Context, rows map[string]row) error {
	var failed error

	entries := c.eligibleEntries()

	for _, account := range c.accounts(rows) {
		err := c.updateRow(ctx, account, rows[account], entries)
		if err != nil {
			failed = errors.CombineErrors(failed, err)
		}

		if fault.Is(err, fault.TableUnavailable) || ctx.Err() != nil {
			break
		}
	}

	return failed
}

// updateRow makes the change that is due for one account, if any: it creates the row, replaces holders that have ended, or
// moves part of this process's share to another entry.
func (c *Controller) updateRow(ctx context.Context, account string, current row, entries []board.Holder) error {
	if current.version == 0 {
		return c.createRow(ctx, account, entries)
	}

	next, changed := replaceHolders(current.assignment, entries, func(holder board.Holder) bool { return c.ended(ctx, holder) })
	if changed {
		return c.writeRow(ctx, current, next)
	}

	step, ok := rebalance(current.assignment, entries, c.Self.Boot)
	if !ok {
		return nil
	}

	// This process must stop spending the part before the row assigns it to another one.
	if !c.Holder.ReduceShare(account, current.assignment.Epoch, step.remaining) {
		return nil
	}

	return c.writeRow(ctx, current, step.next)
}

// createRow writes the first assignment of an account. Until createTimeout it waits for contact with eligible entries in
// enough failure domains.
func (c *Controller) createRow(ctx context.Context, account string, entries []board.Holder) error {
	first, ok := firstAssignment(account, entries)
	if !ok || len(first.Holders) < min(maxHolders, c.eligibleDomains()) && !c.createTimedOut(account) {
		return nil
	}

	delete(c.missingSince, account)

	return c.writeRow(ctx, row{assignment: board.Assignment{Account: account}}, first)
}

// createTimedOut reports whether the account has had no row for at least createTimeout.
func (c *Controller) createTimedOut(account string) bool {
	if c.missingSince == nil {
		c.missingSince = map[string]time.Time{}
	}

	since, ok := c.missingSince[account]
	if !ok {
		c.missingSince[account] = time.Now()
		return false
	}

	return time.Since(since) >= createTimeout
}

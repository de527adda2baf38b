// Package assign decides which entry processes hold the token shares of each client account, in the rows
// limit/<account> of the table.
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
	// entryInterval is the time between two polls of all rows by an entry.
	entryInterval = 2 * time.Second
	// agentInterval is the time between two polls by an agent, of which there are many.
	agentInterval = 10 * time.Second
	// minGap bounds how often rows are polled on demand.
	minGap = 200 * time.Millisecond
	// createGrace is how long the first assignment of an account waits for contact with entries in enough listed
	// failure domains. Holders that are added later start empty.
	createGrace = 5 * time.Second
	// callTimeout bounds one table or peer call.
	callTimeout = 2 * time.Second
)

// Controller is the controller that publishes board.Shares. On entries it also creates and changes rows; several of them
// may act at once, and the table's row versions decide. The exported fields are set before Run.
type Controller struct {
	Board *board.Board
	Table table.Table
	// Holder is the holder of this process; nil in agents, which only read.
	Holder *holder.Holder
	// Self describes this process; Share, Since, Full and Listed are not used.
	Self board.Holder
	// FetchBootID asks the entry at an address for its boot id.
	FetchBootID func(ctx context.Context, address string) (string, error)
	// Accounts limits the rows that are read to these; empty reads all.
	Accounts []string

	once sync.Once
	wake chan struct{}
	// random spreads the polls of several processes; only Run uses it.
	random *rand.Rand
	// mu serves one cycle at a time, so that Drain does not run beside a poll.
	mu      sync.Mutex
	drained bool
	// missing holds the time at which an account was first seen without a row.
	missing map[string]time.Time
	// rows is the result of the last full read, head the version of the head row before it, and listed when it began. mu
	// guards them.
	rows   map[string]row
	head   int64
	listed time.Time
	// stale makes the next poll read all rows.
	stale atomic.Bool
	// failing says that the last cycle had an error, so that an outage is logged once. Only Run uses it.
	failing bool
}

// Run polls and changes rows until the context ends.
func (a *Controller) Run(ctx context.Context) error {
	a.init()

	for {
		a.report(ctx, a.Reconcile(ctx))

		gap := time.After(minGap)
		next := time.After(a.interval())

		select {
		case <-ctx.Done():
			return nil
		case <-next:
			continue
		case <-a.wake:
		}

		select {
		case <-ctx.Done():
			return nil
		case <-gap:
		}
	}
}

// report logs the first error of an outage and its end.
func (a *Controller) report(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}

	if err != nil && !a.failing {
		a.log().WithError(err).Warn("assignment of token shares is not up to date")
	}

	if err == nil && a.failing {
		a.log().Info("assignment of token shares is up to date again")
	}

	a.failing = err != nil
}

// RequestPoll makes Run poll all rows soon. It serves as OnStale of ledger.Ledger.
func (a *Controller) RequestPoll(string) {
	a.init()
	a.stale.Store(true)

	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Reconcile reads the rows once, publishes them and makes the changes that are due.
func (a *Controller) Reconcile(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()

	rows, err := a.read(ctx)
	if err != nil {
		return err
	}

	a.publish(rows)

	if a.Holder == nil || a.drained {
		return nil
	}

	return a.change(ctx, rows)
}

func (a *Controller) init() {
	a.once.Do(func() {
		a.wake = make(chan struct{}, 1)
		a.random = rand.New(rand.NewPCG(xxhash.Sum64String(a.Self.Boot), 0))
	})
}

func (a *Controller) interval() time.Duration {
	interval := entryInterval
	if a.Holder == nil {
		interval = agentInterval
	}

	return interval*3/4 + time.Duration(a.random.Int64N(int64(interval/2)))
}

func (a *Controller) log() *logrus.Entry {
	return logrus.WithField("component", "limit/assign")
}

// change makes the due change of each account. An error for one account does not stop the others.
func (a *Controller) change(ctx context.Context, rows map[string]row) error {
	var failed error

	entries := a.entries()

	for _, account := range a.accounts(rows) {
		err := a.changeRow(ctx, account, rows[account], entries)
		if err != nil {
			failed = errors.CombineErrors(failed, err)
		}

		if fault.Is(err, fault.TableUnavailable) || ctx.Err() != nil {
			break
		}
	}

	return failed
}

func (a *Controller) changeRow(ctx context.Context, account string, current row, entries []board.Holder) error {
	if current.version == 0 {
		return a.create(ctx, account, entries)
	}

	next, changed := replace(current.assignment, entries, func(holder board.Holder) bool { return a.gone(ctx, holder) })
	if changed {
		return a.write(ctx, current, next)
	}

	move, ok := even(current.assignment, entries, a.Self.Boot)
	if !ok {
		return nil
	}

	// This process stops using the part before the row gives it to another one.
	if !a.Holder.ReduceShare(account, current.assignment.Epoch, move.keep) {
		return nil
	}

	return a.write(ctx, current, move.next)
}

func (a *Controller) create(ctx context.Context, account string, entries []board.Holder) error {
	first, ok := first(account, entries)
	if !ok || len(first.Holders) < min(maxHolders, a.domains()) && !a.waited(account) {
		return nil
	}

	delete(a.missing, account)

	return a.write(ctx, row{assignment: board.Assignment{Account: account}}, first)
}

// waited reports whether the account has had no row for the whole grace.
func (a *Controller) waited(account string) bool {
	if a.missing == nil {
		a.missing = map[string]time.Time{}
	}

	since, ok := a.missing[account]
	if !ok {
		a.missing[account] = time.Now()
		return false
	}

	return time.Since(since) >= createGrace
}

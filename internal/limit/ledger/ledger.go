// Package ledger charges requests to client accounts. It debits tokens at the processes that hold the shares of an account
// and refunds tokens that were not used.
package ledger

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// Pool supplies connections by address; conn.Pool implements it.
type Pool interface {
	Get(address string) drpc.Conn
}

// Ledger debits accounts for one process. The exported fields are set before the first call.
type Ledger struct {
	// Board supplies Document and Shares.
	Board *board.Board
	// Pool supplies connections to the holders in other processes.
	Pool Pool
	// Local is the holder of this process; nil in agents.
	Local *holder.Holder
	// OnStale is called when a holder replies that it does not hold the account, or when no row is known; it may be nil.
	OnStale func(account string)

	mu        sync.Mutex
	estimates map[estimateKey]estimate
	// refillWaiters counts the debits of each account that wait for refill.
	refillWaiters map[string]int
	// refunds counts the refunds in progress.
	refunds sync.WaitGroup
	// idPrefix and idCount form the ids of debits. A random id for each debit would take longer than the rest of a local
	// debit.
	idPrefix string
	idOnce   sync.Once
	idCount  atomic.Int64
}

// Charge is the result of a successful debit; Refund returns its unused tokens.
type Charge struct {
	Account string
	// Amount is in tokens.
	Amount int64
	// parts are the debits at single holders; they add up to Amount.
	parts []partialDebit

	mu       sync.Mutex
	refunded bool
}

// partialDebit is the part of a debit that one holder supplied.
type partialDebit struct {
	holder board.Holder
	// id is the request id of the debit at the holder.
	id string
	// taken is in tokens.
	taken int64
	// refunded is true if the holder has already got its only refund of this debit.
	refunded bool
}

// Debit takes the whole amount of tokens from the account. Otherwise it takes nothing and returns a fault of kind
// RateLimited with the time after which to retry, TooLarge or LimitUnavailable. It may wait up to MaxRefillWait for refill.
func (l *Ledger) Debit(ctx context.Context, account string, amount int64) (*Charge, error) {
	limits, err := l.checkAmount(account, amount)
	if err != nil {
		return nil, err
	}

	remainingWait := MaxRefillWait

	for {
		charge, err := l.attempt(ctx, account, amount, limits)
		if err == nil {
			return charge, nil
		}

		waited, ok := l.awaitRefill(ctx, account, err, remainingWait)
		if !ok {
			return nil, err
		}

		remainingWait -= waited
	}
}

// attempt debits the holders once, without a wait for refill.
func (l *Ledger) attempt(ctx context.Context, account string, amount int64, limits terms.Limits) (*Charge, error) {
	attempt := &attempt{
		ledger:  l,
		account: account,
		amount:  amount,
		limits:  limits,
		id:      l.nextID(),
		start:   time.Now(),
	}

	if amount > 0 {
		attempt.collect(ctx)
	}

	if attempt.expired() || attempt.taken < amount {
		attempt.refundParts()
		return nil, attempt.rejection(ctx)
	}

	invariant.Check(attempt.taken == amount, "charge-amount", "took %d of %d tokens", attempt.taken, amount)

	return &Charge{Account: account, Amount: amount, parts: attempt.parts}, nil
}

// nextID returns a unique id for a debit.
func (l *Ledger) nextID() string {
	l.idOnce.Do(func() { l.idPrefix = ident.New("debit") + "/" })

	return l.idPrefix + strconv.FormatInt(l.idCount.Add(1), 10)
}

// checkAmount returns the limits of the account, or an error if it can never be debited the amount.
func (l *Ledger) checkAmount(account string, amount int64) (terms.Limits, error) {
	doc := l.Board.Document.Value()

	limits, ok := terms.LimitsOf(doc, account)
	if !ok {
		return limits, fault.New(fault.LimitUnavailable, "limits of account %s are unknown", account)
	}

	if amount < 0 {
		return limits, fault.New(fault.Internal, "invalid debit of %d tokens", amount)
	}

	if amount > limits.Burst {
		return limits, fault.New(fault.TooLarge, "request cost of %d tokens exceeds the burst of %d tokens", amount, limits.Burst)
	}

	return limits, nil
}

// Refund returns unused tokens of a charge to the holders that supplied them. It does not block, and a second refund of
// the same charge does nothing.
func (l *Ledger) Refund(charge *Charge, unused int64) {
	if charge == nil || unused <= 0 || !charge.markRefunded() {
		return
	}

	unused = min(unused, charge.Amount)

	// The holder that was tried last had the lowest estimated fill ratio, so it has the most room for a refund.
	for i := len(charge.parts) - 1; i >= 0 && unused > 0; i-- {
		if charge.parts[i].refunded {
			continue
		}

		amount := min(unused, charge.parts[i].taken)
		unused -= amount
		l.refundPart(charge.Account, charge.parts[i], amount)
	}
}

// Wait blocks until every refund was delivered or its last attempt has failed. It must be called after the last Debit and
// Refund.
func (l *Ledger) Wait() {
	l.refunds.Wait()
}

// markRefunded marks the charge as refunded; it reports whether it was not refunded before.
func (c *Charge) markRefunded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	first := !c.refunded
	c.refunded = true

	return first
}

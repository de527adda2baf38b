// Package ledger debits client accounts at the holders of their shares and refunds what was not used.
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
	// Pool reaches the holders in other processes.
	Pool Pool
	// Local is the holder of this process; nil in agents.
	Local *holder.Holder
	// OnStale is called when a holder replies that it does not hold the account, or when no row is known; it may be nil.
	OnStale func(account string)

	mu    sync.Mutex
	hints map[hintKey]hint
	// waiting counts the debits of each account that wait for refill.
	waiting map[string]int
	// returns counts the running refunds.
	returns sync.WaitGroup
	// prefix and count make the ids of debits; a random id for each would take longer than the rest of a local debit.
	prefix string
	once   sync.Once
	count  atomic.Int64
}

// Charge is what a request was debited.
type Charge struct {
	Account string
	// Amount is in tokens.
	Amount int64
	// parts add up to Amount.
	parts []part

	mu       sync.Mutex
	refunded bool
}

// part is what one holder gave.
type part struct {
	holder board.Holder
	// id is the request id of the debit at the holder.
	id string
	// taken is in tokens.
	taken int64
	// final says that the debit has been refunded before.
	final bool
}

// Debit takes the amount of tokens from the account, or nothing and returns a fault of kind RateLimited with the time
// to come back, TooLarge, or LimitUnavailable. It may wait up to MaxRefillWait for tokens that refill until then.
func (l *Ledger) Debit(ctx context.Context, account string, amount int64) (*Charge, error) {
	limits, err := l.check(account, amount)
	if err != nil {
		return nil, err
	}

	patience := MaxRefillWait

	for {
		charge, err := l.attempt(ctx, account, amount, limits)
		if err == nil {
			return charge, nil
		}

		waited, ok := l.awaitRefill(ctx, account, err, patience)
		if !ok {
			return nil, err
		}

		patience -= waited
	}
}

// attempt debits the holders once.
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

	if attempt.late() || attempt.taken < amount {
		attempt.abandon()
		return nil, attempt.refusal(ctx)
	}

	invariant.Check(attempt.taken == amount, "charge-amount", "took %d of %d tokens", attempt.taken, amount)

	return &Charge{Account: account, Amount: amount, parts: attempt.parts}, nil
}

func (l *Ledger) nextID() string {
	l.once.Do(func() { l.prefix = ident.New("debit") + "/" })

	return l.prefix + strconv.FormatInt(l.count.Add(1), 10)
}

func (l *Ledger) check(account string, amount int64) (terms.Limits, error) {
	doc := l.Board.Document.Value()

	limits, ok := terms.LimitsOf(doc, account)
	if !ok {
		return limits, fault.New(fault.LimitUnavailable, "the limits of account %s are not known", account)
	}

	if amount < 0 {
		return limits, fault.New(fault.Internal, "debit of %d tokens", amount)
	}

	if amount > limits.Burst {
		return limits, fault.New(fault.TooLarge, "the request costs %d tokens, above the burst of %d", amount, limits.Burst)
	}

	return limits, nil
}

// Refund returns unused tokens of a charge to the holders they came from. It does not wait, and a second refund of a
// charge does nothing.
func (l *Ledger) Refund(charge *Charge, unused int64) {
	if charge == nil || unused <= 0 || !charge.close() {
		return
	}

	unused = min(unused, charge.Amount)

	// The holder that was asked last was believed the least full, so it has the most room for a credit.
	for i := len(charge.parts) - 1; i >= 0 && unused > 0; i-- {
		if charge.parts[i].final {
			continue
		}

		amount := min(unused, charge.parts[i].taken)
		unused -= amount
		l.giveBack(charge.Account, charge.parts[i], amount)
	}
}

// Wait returns when all refunds have been sent or given up. It is called after the last Debit and Refund.
func (l *Ledger) Wait() {
	l.returns.Wait()
}

// close reports whether the charge was not refunded before.
func (c *Charge) close() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	first := !c.refunded
	c.refunded = true

	return first
}

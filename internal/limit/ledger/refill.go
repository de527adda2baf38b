package ledger

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
)

// MaxRefillWait bounds how long a debit waits for refill. Refill of debited tokens starts holder.MaxAdmissionDelay after the
// debit, so without the wait an account close to its limit would be refused although a single ideal bucket had the tokens.
const MaxRefillWait = 4 * holder.MaxAdmissionDelay

// MaxRefillWaiters bounds the waiting debits of an account, so that an account far above its rate is refused at once.
const MaxRefillWaiters = 2

// awaitRefill waits, for at most maxWait, until the account should have the missing tokens. It returns how long it waited
// and whether to try again.
func (l *Ledger) awaitRefill(ctx context.Context, account string, rejection error, maxWait time.Duration) (time.Duration, bool) {
	reason := fault.FromError(rejection)
	if reason.Kind != fault.RateLimited || reason.RetryAfter > maxWait || !l.beginWait(account) {
		return 0, false
	}
	defer l.endWait(account)

	timer := time.NewTimer(reason.RetryAfter)
	defer timer.Stop()

	select {
	case <-timer.C:
		return reason.RetryAfter, true
	case <-ctx.Done():
		return 0, false
	}
}

// beginWait counts a waiting debit of the account; it reports false if the maximum is reached.
func (l *Ledger) beginWait(account string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.refillWaiters[account] >= MaxRefillWaiters {
		return false
	}

	if l.refillWaiters == nil {
		l.refillWaiters = map[string]int{}
	}

	l.refillWaiters[account]++

	return true
}

func (l *Ledger) endWait(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.refillWaiters[account]--

	if l.refillWaiters[account] == 0 {
		delete(l.refillWaiters, account)
	}
}

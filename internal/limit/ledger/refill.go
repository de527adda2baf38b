package ledger

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
)

// MaxRefillWait bounds the wait for tokens that will be there soon. Refill of debited tokens starts a lag after the debit,
// so an account at the edge of its envelope would be refused although one ideal bucket had the tokens.
const MaxRefillWait = 4 * holder.MaxAdmissionDelay

// MaxRefillWaiters bounds the waiting debits of an account, so that one far above its rate is refused at once.
const MaxRefillWaiters = 2

// awaitRefill waits, within the patience, until the account has the missing tokens. It returns how long that took and
// whether another attempt is due.
func (l *Ledger) awaitRefill(ctx context.Context, account string, refusal error, patience time.Duration) (time.Duration, bool) {
	reason := fault.Of(refusal)
	if reason.Kind != fault.RateLimited || reason.RetryAfter > patience || !l.beginWait(account) {
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

func (l *Ledger) beginWait(account string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.waiting[account] >= MaxRefillWaiters {
		return false
	}

	if l.waiting == nil {
		l.waiting = map[string]int{}
	}

	l.waiting[account]++

	return true
}

func (l *Ledger) endWait(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.waiting[account]--

	if l.waiting[account] == 0 {
		delete(l.waiting, account)
	}
}

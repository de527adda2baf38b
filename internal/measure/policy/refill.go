package policy

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/ledger"
)

// refillStep is the precision of the time to come back, as in limit/ledger.
const refillStep = 10 * time.Millisecond

// attempt debits an amount in units. Like limit/ledger, it waits within the patience for tokens that refill soon.
func (a *account) attempt(from int, amount int64, patience time.Duration, done func(paid *charge)) {
	a.ask(from, amount, [entries]bool{}, &charge{entry: from}, func(paid *charge) {
		if paid != nil || a.policy.Hasty || a.waiting[from] >= ledger.MaxRefillWaiters {
			done(paid)
			return
		}

		wait := a.refillTime(amount)
		if wait > patience {
			done(nil)
			return
		}

		a.waiting[from]++
		a.loop.after(wait, func() {
			a.waiting[from]--
			a.attempt(from, amount, patience-wait, done)
		})
	})
}

// refillTime returns the time after which the holders that answer have the amount together, up to MaxRefillWait.
func (a *account) refillTime(amount int64) time.Duration {
	var after time.Duration

	for a.available(after) < amount && after <= ledger.MaxRefillWait {
		after += refillStep
	}

	return after + holder.MaxAdmissionDelay + refillStep
}

// available returns the units that the holders that answer will have.
func (a *account) available(after time.Duration) int64 {
	var sum int64

	for i := range a.holders {
		if a.holders[i].lost {
			continue
		}

		rate, size := a.limits(i)
		level := a.holders[i].purse.Level(a.loop.now) + bucket.Refill(rate, after)
		sum += min(size, level) / bucket.UnitsPerToken * bucket.UnitsPerToken
	}

	return sum
}

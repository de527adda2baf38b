package policy

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/ledger"
)

// refillStep is the resolution of refillWait, as in limit/ledger.
const refillStep = 10 * time.Millisecond

// debitWithWait debits an amount in units. Like limit/ledger, it waits up to maxWait for tokens that refill soon.
func (a *account) debitWithWait(from int, amount int64, maxWait time.Duration, done func(charged *charge)) {
	a.debitNext(from, amount, [entries]bool{}, &charge{entry: from}, func(charged *charge) {
		if charged != nil || a.policy.NoRefillWait || a.refillWaiters[from] >= ledger.MaxRefillWaiters {
			done(charged)
			return
		}

		wait := a.refillWait(amount)
		if wait > maxWait {
			done(nil)
			return
		}

		a.refillWaiters[from]++
		a.loop.after(wait, func() {
			a.refillWaiters[from]--
			a.debitWithWait(from, amount, maxWait-wait, done)
		})
	})
}

// refillWait returns the time after which the reachable holders together have the amount; more than MaxRefillWait if it
// takes longer than that.
func (a *account) refillWait(amount int64) time.Duration {
	var delay time.Duration

	for a.availableUnits(delay) < amount && delay <= ledger.MaxRefillWait {
		delay += refillStep
	}

	return delay + holder.MaxAdmissionDelay + refillStep
}

// availableUnits returns the units that the reachable holders will have after a delay.
func (a *account) availableUnits(delay time.Duration) int64 {
	var total int64

	for i := range a.holders {
		if a.holders[i].lost {
			continue
		}

		rate, capacity := a.shareLimits(i)
		level := a.holders[i].tokens.Level(a.loop.now) + bucket.Refill(rate, delay)
		total += min(capacity, level) / bucket.UnitsPerToken * bucket.UnitsPerToken
	}

	return total
}

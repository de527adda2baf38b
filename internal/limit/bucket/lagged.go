package bucket

import "time"

// DelayedRefill is a bucket for debits whose tokens count up to a lag later, when the requester admits its request. A debit
// lowers the level at once, but it is refilled only from its time plus lag on: otherwise requests that are admitted
// together, after unequal delays, could exceed the envelope by what the rate yields in one lag.
type DelayedRefill struct {
	lag    time.Duration
	bucket *Bucket
	// pending holds the debits of the last lag, oldest first; bucket does not yet contain them.
	pending []pending
	// owed is the sum of the pending amounts, in units.
	owed int64
	// last is the mark of the newest debit; the bucket gives out the same marks in the same order.
	last DebitID
}

type pending struct {
	amount int64
	at     time.Time
	// closed says that no refund will come.
	closed bool
}

// NewDelayedRefill returns a full bucket with a rate in units per second and a cap in units.
func NewDelayedRefill(now time.Time, lag time.Duration, rate, size int64) *DelayedRefill {
	return &DelayedRefill{lag: lag, bucket: New(now, rate, size, size)}
}

// Empty takes everything, for a bucket that starts at level 0.
func (l *DelayedRefill) Empty(now time.Time) {
	mark, _ := l.Debit(now, l.Level(now))
	l.CloseDebit(mark)
}

// Level returns the units that can be debited.
func (l *DelayedRefill) Level(now time.Time) int64 {
	l.advance(now)
	return max(l.bucket.Level(now)-l.owed, 0)
}

// Capacity returns the capacity in units.
func (l *DelayedRefill) Capacity() int64 {
	return l.bucket.size
}

// SetLimits changes rate and cap; a level above the new cap is cut off.
func (l *DelayedRefill) SetLimits(now time.Time, rate, size int64) {
	l.advance(now)
	l.bucket.SetLimits(now, rate, size)
}

// Debit takes up to the amount of units. Its mark is 0 if nothing was taken.
func (l *DelayedRefill) Debit(now time.Time, amount int64) (DebitID, int64) {
	taken := min(amount, l.Level(now))
	if taken <= 0 {
		return 0, 0
	}

	l.pending = append(l.pending, pending{amount: taken, at: now})
	l.owed += taken
	l.last++

	return l.last, taken
}

// Refund closes a debit and credits what can be credited of the amount, as Bucket.Refund does. A debit that the lag
// still holds back is reduced in full.
func (l *DelayedRefill) Refund(now time.Time, mark DebitID, amount int64) int64 {
	l.advance(now)

	debit := l.waiting(mark)
	if debit == nil {
		return l.bucket.Refund(now, mark, amount)
	}

	if debit.closed {
		return 0
	}

	credited := min(max(amount, 0), debit.amount)
	debit.amount -= credited
	debit.closed = true
	l.owed -= credited

	return credited
}

// CloseDebit forgets a debit that will not be refunded.
func (l *DelayedRefill) CloseDebit(mark DebitID) {
	if debit := l.waiting(mark); debit != nil {
		debit.closed = true
		return
	}

	l.bucket.CloseDebit(mark)
}

// WaitTime returns the time until the bucket can give the amount of units, or -1 if the amount exceeds its cap.
func (l *DelayedRefill) WaitTime(now time.Time, amount int64) time.Duration {
	level := l.Level(now)

	switch {
	case amount <= level:
		return 0
	case amount > l.bucket.size || l.bucket.rate <= 0:
		return -1
	}

	missing := float64(amount-level) / float64(l.bucket.rate)

	return l.lag + time.Duration(missing*float64(time.Second))
}

// waiting returns the pending debit with the mark, or nil.
func (l *DelayedRefill) waiting(mark DebitID) *pending {
	at := int(mark-l.bucket.last) - 1
	if at < 0 || at >= len(l.pending) {
		return nil
	}

	return &l.pending[at]
}

// advance applies the pending debits whose lag is over, each at its time plus lag.
func (l *DelayedRefill) advance(now time.Time) {
	done := 0

	for ; done < len(l.pending); done++ {
		debit := l.pending[done]
		due := debit.at.Add(l.lag)

		if due.After(now) {
			break
		}

		l.bucket.advance(due)
		mark := l.bucket.force(debit.amount)
		l.owed -= debit.amount

		if debit.closed {
			l.bucket.CloseDebit(mark)
		}
	}

	l.pending = l.pending[done:]
	l.bucket.advance(now)
}

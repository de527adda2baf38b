package bucket

import "time"

// DelayedRefill is a token bucket whose requesters admit a request up to a maximum delay after its debit. A debit lowers the
// level at once, but its refill starts only after the delay. Otherwise requests that were debited at different times and
// admitted together could exceed the limit by what the rate yields in one delay. Like Bucket, it is not safe for concurrent
// use.
type DelayedRefill struct {
	delay  time.Duration
	bucket *Bucket
	// pending holds the debits younger than delay, oldest first; they are not yet applied to bucket.
	pending []pendingDebit
	// pendingTotal is the sum of the pending amounts, in units.
	pendingTotal int64
	// lastID is the id of the newest debit; bucket assigns the same ids in the same order.
	lastID DebitID
}

// pendingDebit is a debit that is not yet applied to the bucket.
type pendingDebit struct {
	// amount is in units.
	amount int64
	at     time.Time
	// closed is true if the debit can no longer be refunded.
	closed bool
}

// NewDelayedRefill returns a full bucket with a rate in units per second and a capacity in units.
func NewDelayedRefill(now time.Time, delay time.Duration, rate, capacity int64) *DelayedRefill {
	return &DelayedRefill{delay: delay, bucket: New(now, rate, capacity, capacity)}
}

// Empty debits the whole level, for a bucket that has to start at level 0.
func (d *DelayedRefill) Empty(now time.Time) {
	id, _ := d.Debit(now, d.Level(now))
	d.CloseDebit(id)
}

// Level returns the units that can be debited.
func (d *DelayedRefill) Level(now time.Time) int64 {
	d.advance(now)
	return max(d.bucket.Level(now)-d.pendingTotal, 0)
}

// Capacity returns the capacity in units.
func (d *DelayedRefill) Capacity() int64 {
	return d.bucket.capacity
}

// SetLimits changes rate and capacity. A level above the new capacity is reduced to it.
func (d *DelayedRefill) SetLimits(now time.Time, rate, capacity int64) {
	d.advance(now)
	d.bucket.SetLimits(now, rate, capacity)
}

// Debit takes up to the amount of units. The id is 0 if nothing was taken.
func (d *DelayedRefill) Debit(now time.Time, amount int64) (DebitID, int64) {
	taken := min(amount, d.Level(now))
	if taken <= 0 {
		return 0, 0
	}

	d.pending = append(d.pending, pendingDebit{amount: taken, at: now})
	d.pendingTotal += taken
	d.lastID++

	return d.lastID, taken
}

// Refund closes a debit and credits at most the amount, as Bucket.Refund does. A pending debit is reduced by the whole
// amount.
func (d *DelayedRefill) Refund(now time.Time, id DebitID, amount int64) int64 {
	d.advance(now)

	debit := d.findPending(id)
	if debit == nil {
		return d.bucket.Refund(now, id, amount)
	}

	if debit.closed {
		return 0
	}

	credited := min(max(amount, 0), debit.amount)
	debit.amount -= credited
	debit.closed = true
	d.pendingTotal -= credited

	return credited
}

// CloseDebit releases the state of a debit that will not be refunded.
func (d *DelayedRefill) CloseDebit(id DebitID) {
	if debit := d.findPending(id); debit != nil {
		debit.closed = true
		return
	}

	d.bucket.CloseDebit(id)
}

// WaitTime returns the time until the amount of units can be debited, or -1 if the amount exceeds the capacity.
func (d *DelayedRefill) WaitTime(now time.Time, amount int64) time.Duration {
	level := d.Level(now)

	switch {
	case amount <= level:
		return 0
	case amount > d.bucket.capacity || d.bucket.rate <= 0:
		return -1
	}

	missing := float64(amount-level) / float64(d.bucket.rate)

	return d.delay + time.Duration(missing*float64(time.Second))
}

// findPending returns the pending debit with the id, or nil.
func (d *DelayedRefill) findPending(id DebitID) *pendingDebit {
	index := int(id-d.bucket.lastID) - 1
	if index < 0 || index >= len(d.pending) {
		return nil
	}

	return &d.pending[index]
}

// advance applies the pending debits whose delay is over, each at its time plus the delay.
func (d *DelayedRefill) advance(now time.Time) {
	applied := 0

	for ; applied < len(d.pending); applied++ {
		debit := d.pending[applied]
		due := debit.at.Add(d.delay)

		if due.After(now) {
			break
		}

		d.bucket.advance(due)
		id := d.bucket.forceDebit(debit.amount)
		d.pendingTotal -= debit.amount

		if debit.closed {
			d.bucket.CloseDebit(id)
		}
	}

	d.pending = d.pending[applied:]
	d.bucket.advance(now)
}

// Package bucket implements token buckets with refunds. Refunds never let the debits of any period exceed its refill at the
// rate plus the capacity.
package bucket

import (
	"math"
	"math/bits"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// UnitsPerToken is the number of internal units in one token. Integer units avoid rounding errors that would exceed
// the limit.
const UnitsPerToken = 1_000_000

// DebitID identifies a debit of a bucket; 0 means that nothing was debited.
type DebitID int64

// Bucket is a token bucket. It is not safe for concurrent use, and time must not run backwards.
type Bucket struct {
	// rate is in units per second.
	rate int64
	// capacity is the highest level, in units.
	capacity int64
	// level is in units and at most capacity. It is negative only after a forced debit.
	level int64
	// refilledAt is the time up to which the level was refilled.
	refilledAt time.Time
	lastID     DebitID
	headroom   headroomStack
}

// New returns a bucket with a rate in units per second, and a capacity and a level in units.
func New(now time.Time, rate, capacity, level int64) *Bucket {
	return &Bucket{rate: rate, capacity: capacity, level: min(level, capacity), refilledAt: now}
}

// Level returns the level in units.
func (b *Bucket) Level(now time.Time) int64 {
	b.advance(now)
	return b.level
}

// SetLimits changes rate and capacity. A level above the new capacity is reduced to it.
func (b *Bucket) SetLimits(now time.Time, rate, capacity int64) {
	b.advance(now)
	b.rate = rate
	b.capacity = capacity
	b.level = min(b.level, capacity)
	b.headroom.limitTo(b.capacity - b.level)
}

// Debit takes up to the amount of units. The id is 0 if nothing was taken.
func (b *Bucket) Debit(now time.Time, amount int64) (DebitID, int64) {
	b.advance(now)

	taken := min(amount, b.level)
	if taken <= 0 {
		return 0, 0
	}

	return b.forceDebit(taken), taken
}

// DebitExact takes the whole amount of units or nothing.
func (b *Bucket) DebitExact(now time.Time, amount int64) (DebitID, bool) {
	b.advance(now)

	if amount <= 0 || b.level < amount {
		return 0, false
	}

	return b.forceDebit(amount), true
}

// Refund closes a debit and credits at most the amount: the bucket then has the level that it would have if the refunded
// amount had not been debited at all. It returns the credited units. Refunds of closed and unknown debits credit nothing.
func (b *Bucket) Refund(now time.Time, id DebitID, amount int64) int64 {
	b.advance(now)

	credited := b.headroom.close(id, max(amount, 0))
	b.level += credited
	invariant.Check(b.level <= b.capacity, "bucket-cap", "level %d exceeds capacity %d", b.level, b.capacity)

	return credited
}

// CloseDebit releases the state of a debit that will not be refunded.
func (b *Bucket) CloseDebit(id DebitID) {
	b.headroom.close(id, 0)
}

// forceDebit debits the amount even if the level becomes negative.
func (b *Bucket) forceDebit(amount int64) DebitID {
	b.level -= amount
	b.lastID++
	b.headroom.add(b.lastID, amount, b.capacity-b.level)

	return b.lastID
}

// advance refills the bucket up to a time.
func (b *Bucket) advance(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}

	b.level = min(b.capacity, saturatingAdd(b.level, Refill(b.rate, now.Sub(b.refilledAt))))
	b.refilledAt = now
	b.headroom.limitTo(b.capacity - b.level)
}

// Refill returns the units that a rate in units per second yields in a duration, rounded down.
func Refill(rate int64, elapsed time.Duration) int64 {
	if rate <= 0 || elapsed <= 0 {
		return 0
	}

	hi, lo := bits.Mul64(uint64(rate), uint64(elapsed))
	if hi >= uint64(time.Second) {
		return math.MaxInt64
	}

	units, _ := bits.Div64(hi, lo, uint64(time.Second))

	return int64(min(units, math.MaxInt64))
}

// saturatingAdd returns a + b, or the largest int64 if the sum overflows.
func saturatingAdd(a, b int64) int64 {
	if b > 0 && a > math.MaxInt64-b {
		return math.MaxInt64
	}

	return a + b
}

// Package bucket is a token bucket with refunds that never exceed the envelope of rate and cap.
package bucket

import (
	"math"
	"math/bits"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// UnitsPerToken is the number of internal units in one token. Integer units keep rounding errors out of the envelope.
const UnitsPerToken = 1_000_000

// DebitID identifies one debit of a bucket; 0 is no debit.
type DebitID int64

// Bucket is a token bucket. It is not safe for concurrent use, and time must not run backwards.
type Bucket struct {
	// rate is in units per second.
	rate int64
	// size is the highest level, in units.
	size int64
	// level is at most size. It is negative only after a forced debit.
	level int64
	// at is the time to which the level was refilled.
	at   time.Time
	last DebitID
	room rooms
}

// New returns a bucket with a rate in units per second, and a cap and a level in units.
func New(now time.Time, rate, size, level int64) *Bucket {
	return &Bucket{rate: rate, size: size, level: min(level, size), at: now}
}

// Level returns the level in units.
func (b *Bucket) Level(now time.Time) int64 {
	b.advance(now)
	return b.level
}

// SetLimits changes rate and cap; a level above the new cap is cut off.
func (b *Bucket) SetLimits(now time.Time, rate, size int64) {
	b.advance(now)
	b.rate = rate
	b.size = size
	b.level = min(b.level, size)
	b.room.lower(b.size - b.level)
}

// Debit takes up to the amount of units. Its mark is 0 if nothing was taken.
func (b *Bucket) Debit(now time.Time, amount int64) (DebitID, int64) {
	b.advance(now)

	taken := min(amount, b.level)
	if taken <= 0 {
		return 0, 0
	}

	return b.force(taken), taken
}

// DebitExact takes the whole amount of units or nothing.
func (b *Bucket) DebitExact(now time.Time, amount int64) (DebitID, bool) {
	b.advance(now)

	if amount <= 0 || b.level < amount {
		return 0, false
	}

	return b.force(amount), true
}

// Refund closes a debit and credits what can be credited of the amount: the bucket then has the level that it would
// have if the smaller amount had been debited at first. Refunds of closed and unknown debits credit nothing.
func (b *Bucket) Refund(now time.Time, mark DebitID, amount int64) int64 {
	b.advance(now)

	credited := b.room.take(mark, max(amount, 0))
	b.level += credited
	invariant.Check(b.level <= b.size, "bucket-cap", "level %d is above cap %d", b.level, b.size)

	return credited
}

// CloseDebit forgets a debit that will not be refunded.
func (b *Bucket) CloseDebit(mark DebitID) {
	b.room.take(mark, 0)
}

// force debits the amount even if the level becomes negative.
func (b *Bucket) force(amount int64) DebitID {
	b.level -= amount
	b.last++
	b.room.add(b.last, amount, b.size-b.level)

	return b.last
}

func (b *Bucket) advance(now time.Time) {
	if !now.After(b.at) {
		return
	}

	b.level = min(b.size, saturatingAdd(b.level, Refill(b.rate, now.Sub(b.at))))
	b.at = now
	b.room.lower(b.size - b.level)
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

func saturatingAdd(a, b int64) int64 {
	if b > 0 && a > math.MaxInt64-b {
		return math.MaxInt64
	}

	return a + b
}

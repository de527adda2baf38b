package bucket_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
)

var origin = time.Unix(0, 0)

// event is a debit with its net amount, or a change of rate and capacity.
type event struct {
	at       time.Duration
	net      int64
	change   bool
	rate     int64
	capacity int64
}

// debit identifies a debit that was not refunded yet, and index is its place in the list of events or admissions.
type debit struct {
	id    bucket.DebitID
	index int
}

// drawOpen returns a random open debit, one that was not refunded yet, and the remaining ones; it skips the step if none is
// open.
func drawOpen(t *rapid.T, open []debit) (drawn debit, rest []debit) {
	if len(open) == 0 {
		t.Skip("no debit is open")
	}

	index := rapid.IntRange(0, len(open)-1).Draw(t, "which")

	drawn = open[index]

	return drawn, slices.Delete(open, index, index+1)
}

// replay returns the level of a bucket in which every debit had its net amount from the start.
func replay(events []event, rate, capacity int64, until time.Duration) int64 {
	level, at := capacity, time.Duration(0)
	refill := func(to time.Duration) {
		level = min(capacity, level+rate*int64((to-at)/time.Second))
		at = to
	}

	for _, e := range events {
		refill(e.at)

		if e.change {
			rate, capacity = e.rate, e.capacity
			level = min(level, capacity)
		}

		level -= e.net
	}

	refill(until)

	return level
}

// Guards against a refund after which the level is higher than if the refunded amount had never been debited, and against
// one after which it is lower. A refund that only adds the amount to the level has the first fault: it also credits what the
// bucket has refilled since the debit.
func TestRefundRestoresTheLevelOfASmallerDebit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(0, 5).Draw(t, "rate")
		capacity := rapid.Int64Range(1, 40).Draw(t, "capacity")
		b := bucket.New(origin, rate, capacity, capacity)
		now := time.Duration(0)

		var events []event

		var open []debit

		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds")) * time.Second },
			"debit": func(t *rapid.T) {
				id, taken := b.Debit(origin.Add(now), rapid.Int64Range(1, 25).Draw(t, "amount"))
				if id != 0 {
					open = append(open, debit{id, len(events)})
					events = append(events, event{at: now, net: taken})
				}
			},
			"refund": func(t *rapid.T) {
				var drawn debit

				drawn, open = drawOpen(t, open)
				amount := rapid.Int64Range(0, events[drawn.index].net).Draw(t, "refund")
				events[drawn.index].net -= amount

				assert.Assert(t, b.Refund(origin.Add(now), drawn.id, amount) <= amount)
				assert.Equal(t, b.Refund(origin.Add(now), drawn.id, amount), int64(0), "second refund")
			},
			"set": func(t *rapid.T) {
				e := event{at: now, change: true}
				e.rate = rapid.Int64Range(0, 5).Draw(t, "rate")
				e.capacity = rapid.Int64Range(0, 40).Draw(t, "capacity")
				b.SetLimits(origin.Add(now), e.rate, e.capacity)
				events = append(events, e)
			},
			"": func(t *rapid.T) {
				assert.Equal(t, b.Level(origin.Add(now)), replay(events, rate, capacity, now))
			},
		})
	})
}

// admission is an admitted request: at is the time of its admission, which is at most the delay of the bucket after its debit,
// and net the amount that was not refunded.
type admission struct {
	at  time.Duration
	net int64
}

// Guards against admissions after unequal delays that exceed, in some window, the rate times the window plus the capacity.
func TestDelayedRefillKeepsTheLimitOfDelayedAdmissions(t *testing.T) {
	const maxDelay = 5 * time.Second

	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1, 5).Draw(t, "rate")
		capacity := rapid.Int64Range(1, 40).Draw(t, "capacity")
		b := bucket.NewDelayedRefill(origin, maxDelay, rate, capacity)
		now := time.Duration(0)

		var admitted []admission

		var open []debit

		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds")) * time.Second },
			"debit": func(t *rapid.T) {
				delay := time.Duration(rapid.IntRange(0, 5).Draw(t, "delay")) * time.Second

				id, taken := b.Debit(origin.Add(now), rapid.Int64Range(1, 25).Draw(t, "amount"))
				if id != 0 {
					open = append(open, debit{id, len(admitted)})
					admitted = append(admitted, admission{now + delay, taken})
				}
			},
			"refund": func(t *rapid.T) {
				var drawn debit

				drawn, open = drawOpen(t, open)
				amount := rapid.Int64Range(0, admitted[drawn.index].net).Draw(t, "refund")
				admitted[drawn.index].net -= amount
				b.Refund(origin.Add(now), drawn.id, amount)
			},
			"": func(t *rapid.T) { assertWithinLimit(t, admitted, rate, capacity) },
		})
	})
}

// assertWithinLimit checks that the admissions of every window are at most the rate times the window plus the capacity.
func assertWithinLimit(t *rapid.T, admitted []admission, rate, capacity int64) {
	for _, first := range admitted {
		for _, last := range admitted {
			if last.at < first.at {
				continue
			}

			sum := int64(0)

			for _, one := range admitted {
				if one.at >= first.at && one.at <= last.at {
					sum += one.net
				}
			}

			bound := rate*int64((last.at-first.at)/time.Second) + capacity
			assert.Assert(t, sum <= bound, "admitted %d tokens from %s to %s, more than %d", sum, first.at, last.at, bound)
		}
	}
}

// Guards against a partial debit by DebitExact.
func TestDebitExactTakesAllOrNothing(t *testing.T) {
	b := bucket.New(origin, 1, 10, 5)

	_, ok := b.DebitExact(origin, 6)
	assert.Assert(t, !ok)
	assert.Equal(t, b.Level(origin), int64(5))

	_, ok = b.DebitExact(origin, 5)
	assert.Assert(t, ok)
	assert.Equal(t, b.Level(origin), int64(0))
}

// Guards against a refill that overflows after a long time, or is rounded to zero after a short one.
func TestRefill(t *testing.T) {
	cases := map[string]struct {
		rate    int64
		elapsed time.Duration
		want    int64
	}{
		"whole":    {3, 2 * time.Second, 6},
		"fraction": {1_000_000, time.Microsecond, 1},
		"none":     {0, time.Hour, 0},
		"backward": {5, -time.Second, 0},
		"huge":     {1 << 62, 1 << 62, 1<<63 - 1},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, bucket.Refill(tc.rate, tc.elapsed), tc.want)
		})
	}
}

// Guards against a debit or refund that allocates or is slow while up to 250000 earlier debits are pending.
func BenchmarkDelayedRefillDebit(b *testing.B) {
	bkt := bucket.NewDelayedRefill(origin, time.Second/4, 1e15, 1e15)
	now := origin

	for b.Loop() {
		now = now.Add(time.Microsecond)

		id, _ := bkt.Debit(now, 1000)
		bkt.Refund(now.Add(time.Microsecond), id, 10)
	}
}

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

// event is a debit with its net amount, or a change of rate and cap.
type event struct {
	at     time.Duration
	net    int64
	change bool
	rate   int64
	size   int64
}

// debit is an open debit and its index in the log of the test.
type debit struct {
	mark  bucket.DebitID
	index int
}

// draw takes one of the open debits out of the list.
func draw(t *rapid.T, open []debit) (one debit, rest []debit) {
	if len(open) == 0 {
		t.Skip("no debit is open")
	}

	at := rapid.IntRange(0, len(open)-1).Draw(t, "which")

	one = open[at]

	return one, slices.Delete(open, at, at+1)
}

// replay returns the level of a bucket in which every debit had its net amount from the first.
func replay(events []event, rate, size int64, until time.Duration) int64 {
	level, at := size, time.Duration(0)
	refill := func(to time.Duration) {
		level = min(size, level+rate*int64((to-at)/time.Second))
		at = to
	}

	for _, e := range events {
		refill(e.at)

		if e.change {
			rate, size = e.rate, e.size
			level = min(level, size)
		}

		level -= e.net
	}

	refill(until)

	return level
}

// Guards against a refund that credits more than the level would be with the smaller debit (as a plain refund does),
// and against one that credits less.
func TestRefundGivesTheLevelOfTheSmallerDebit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(0, 5).Draw(t, "rate")
		size := rapid.Int64Range(1, 40).Draw(t, "size")
		b := bucket.New(origin, rate, size, size)
		now := time.Duration(0)

		var events []event

		var open []debit

		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds")) * time.Second },
			"debit": func(t *rapid.T) {
				mark, taken := b.Debit(origin.Add(now), rapid.Int64Range(1, 25).Draw(t, "amount"))
				if mark != 0 {
					open = append(open, debit{mark, len(events)})
					events = append(events, event{at: now, net: taken})
				}
			},
			"refund": func(t *rapid.T) {
				var one debit

				one, open = draw(t, open)
				amount := rapid.Int64Range(0, events[one.index].net).Draw(t, "refund")
				events[one.index].net -= amount

				assert.Assert(t, b.Refund(origin.Add(now), one.mark, amount) <= amount)
				assert.Equal(t, b.Refund(origin.Add(now), one.mark, amount), int64(0), "second refund")
			},
			"set": func(t *rapid.T) {
				e := event{at: now, change: true}
				e.rate = rapid.Int64Range(0, 5).Draw(t, "rate")
				e.size = rapid.Int64Range(0, 40).Draw(t, "size")
				b.SetLimits(origin.Add(now), e.rate, e.size)
				events = append(events, e)
			},
			"": func(t *rapid.T) {
				assert.Equal(t, b.Level(origin.Add(now)), replay(events, rate, size, now))
			},
		})
	})
}

// admission is a request that counts at its admission, up to a lag after its debit.
type admission struct {
	at  time.Duration
	net int64
}

// Guards against a window in which requests that were delayed by unequal times exceed rate times window plus burst.
func TestLaggedBucketKeepsTheEnvelopeOfDelayedAdmissions(t *testing.T) {
	const lag = 5 * time.Second

	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1, 5).Draw(t, "rate")
		size := rapid.Int64Range(1, 40).Draw(t, "size")
		b := bucket.NewDelayedRefill(origin, lag, rate, size)
		now := time.Duration(0)

		var admitted []admission

		var open []debit

		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds")) * time.Second },
			"debit": func(t *rapid.T) {
				delay := time.Duration(rapid.IntRange(0, 5).Draw(t, "delay")) * time.Second

				mark, taken := b.Debit(origin.Add(now), rapid.Int64Range(1, 25).Draw(t, "amount"))
				if mark != 0 {
					open = append(open, debit{mark, len(admitted)})
					admitted = append(admitted, admission{now + delay, taken})
				}
			},
			"refund": func(t *rapid.T) {
				var one debit

				one, open = draw(t, open)
				amount := rapid.Int64Range(0, admitted[one.index].net).Draw(t, "refund")
				admitted[one.index].net -= amount
				b.Refund(origin.Add(now), one.mark, amount)
			},
			"": func(t *rapid.T) { assertEnvelope(t, admitted, rate, size) },
		})
	})
}

func assertEnvelope(t *rapid.T, admitted []admission, rate, size int64) {
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

			bound := rate*int64((last.at-first.at)/time.Second) + size
			assert.Assert(t, sum <= bound, "%d admitted from %s to %s, above %d", sum, first.at, last.at, bound)
		}
	}
}

// Guards against a partial debit where all or nothing was asked for.
func TestDebitAllTakesAllOrNothing(t *testing.T) {
	b := bucket.New(origin, 1, 10, 5)

	_, ok := b.DebitExact(origin, 6)
	assert.Assert(t, !ok)
	assert.Equal(t, b.Level(origin), int64(5))

	_, ok = b.DebitExact(origin, 5)
	assert.Assert(t, ok)
	assert.Equal(t, b.Level(origin), int64(0))
}

// Guards against refill that overflows after a long time, or is lost in small steps.
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

// Guards against a debit that allocates or takes long when many debits are open.
func BenchmarkLaggedDebit(b *testing.B) {
	bkt := bucket.NewDelayedRefill(origin, time.Second/4, 1e15, 1e15)
	now := origin

	for b.Loop() {
		now = now.Add(time.Microsecond)

		mark, _ := bkt.Debit(now, 1000)
		bkt.Refund(now.Add(time.Microsecond), mark, 10)
	}
}

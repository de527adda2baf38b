package integration_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/baseline"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
)

// traffic sends the requests of one account and records the admitted ones.
type traffic struct {
	f *fleet
	// rate is the rate of the account at the start, in tokens per second.
	rate float64
	// offeredLoad is the offered load relative to the rate.
	offeredLoad float64
	// onlyWithinLimit drops requests that a single ideal bucket would reject.
	onlyWithinLimit bool
	// oneEntry sends all requests to one entry.
	oneEntry bool
	// largest is the highest cost of a request, in tokens.
	largest int64
	random  *rand.Rand

	inFlight sync.WaitGroup
	mu       sync.Mutex
	ideal    *bucket.Bucket
	static   *baseline.StaticSplit
	log      []admission
	// sent counts the sent requests, falselyRejected those that were rejected although the ideal bucket admitted them, and
	// staticRejected those that the static split rejected although the ideal bucket admitted them.
	sent            int
	falselyRejected int
	staticRejected  int
}

// admission is an admitted request.
type admission struct {
	at time.Time
	// net is the cost that was not refunded, in tokens.
	net int64
}

func newTraffic(f *fleet, offeredLoad float64, onlyWithinLimit, oneEntry bool, seed uint64) *traffic {
	doc := f.doc.Accounts[account]
	limits := terms.Limits{Rate: doc.Rate, Burst: doc.Burst}
	rate, capacity := limits.ForRange(terms.Range{End: terms.TotalShare})

	return &traffic{
		f: f, rate: doc.Rate, offeredLoad: offeredLoad, onlyWithinLimit: onlyWithinLimit, oneEntry: oneEntry, largest: doc.Burst / 10,
		random: rand.New(rand.NewPCG(seed, 4)),
		ideal:  bucket.New(time.Now(), rate, capacity, capacity),
		static: baseline.NewStaticSplit(time.Now(), limits, 3),
	}
}

// run sends requests at random intervals until the length has passed. Each request refunds a random part of its cost when it
// ends.
func (tr *traffic) run(length time.Duration) {
	meanNet := float64(tr.largest) / 4
	end := time.Now().Add(length)

	for time.Now().Before(end) {
		gap := tr.random.ExpFloat64() * meanNet / (tr.rate * tr.offeredLoad)
		time.Sleep(time.Duration(gap * float64(time.Second)))

		amount := 1 + tr.random.Int64N(tr.largest)
		unused := tr.random.Int64N(amount)
		duration := time.Duration(tr.random.Int64N(int64(4 * time.Second)))
		tr.send(amount, unused, duration)
	}

	tr.inFlight.Wait()
}

// send sends one request that takes a duration, and makes the same debit and refund at the ideal bucket and the static
// split.
func (tr *traffic) send(amount, unused int64, duration time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()

	idealDebit, admitted := tr.ideal.DebitExact(time.Now(), amount*bucket.UnitsPerToken)

	target := tr.selectEntry()
	if target == nil || tr.onlyWithinLimit && !admitted {
		return
	}

	part := 0
	if !tr.oneEntry {
		part = tr.random.IntN(3)
	}

	staticDebit, admittedByStatic := tr.static.Debit(time.Now(), part, amount)

	tr.sent++

	if admitted && !admittedByStatic {
		tr.staticRejected++
	}

	tr.inFlight.Go(func() {
		charge, err := target.ledger.Debit(context.Background(), account, amount)
		at := time.Now()

		time.Sleep(duration)

		tr.mu.Lock()
		defer tr.mu.Unlock()

		tr.ideal.Refund(time.Now(), idealDebit, unused*bucket.UnitsPerToken)

		tr.static.Refund(time.Now(), part, staticDebit, unused)

		if err != nil && admitted {
			tr.falselyRejected++
		}

		if err == nil {
			target.ledger.Refund(charge, unused)
			tr.log = append(tr.log, admission{at, amount - unused})
		}
	})
}

// selectEntry returns the entry that gets the next request: a random one that is not frozen, or always the first of these.
// It returns nil if all are frozen.
func (tr *traffic) selectEntry() *entry {
	available := slices.DeleteFunc(tr.f.running(), (*entry).frozen)

	switch {
	case len(available) == 0:
		return nil
	case tr.oneEntry:
		return available[0]
	default:
		return available[tr.random.IntN(len(available))]
	}
}

// frozen reports whether the entry is frozen.
func (e *entry) frozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	select {
	case <-e.thawed:
		return false
	default:
		return true
	}
}

// excess returns the largest number of tokens by which the admissions of a window exceed the rate times its length plus the
// burst, or 0 if none does.
func excess(log []admission, rate float64, burst int64) float64 {
	slices.SortFunc(log, func(a, b admission) int { return a.at.Compare(b.at) })

	worst, level := 0.0, 0.0

	for i, one := range log {
		if i > 0 {
			level = max(level-rate*one.at.Sub(log[i-1].at).Seconds(), 0)
		}

		level += float64(one.net)
		worst = max(worst, level-float64(burst))
	}

	return worst
}

// rounding is the maximum rounding error of the sums over one log, in tokens.
const rounding = 1e-6

// assertWithinLimit checks that the admissions of every window are within the rate times its length plus the burst.
func (tr *traffic) assertWithinLimit(t *testing.T, rate float64, burst int64) {
	t.Helper()

	over := excess(tr.log, rate, burst)
	assert.Assert(t, over < rounding, "exceeded the limit by %f tokens in %d admissions", over, len(tr.log))
}

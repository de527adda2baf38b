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

// traffic sends requests of one account and logs what was admitted.
type traffic struct {
	f *fleet
	// rate is that of the account at the start, in tokens per second.
	rate float64
	// load is the offered load relative to the rate.
	load float64
	// within drops requests that one ideal bucket would refuse before they are sent.
	within bool
	// one sends everything to one entry.
	one bool
	// largest is the highest cost of a request, in tokens.
	largest int64
	random  *rand.Rand

	running sync.WaitGroup
	mu      sync.Mutex
	ideal   *bucket.Bucket
	static  *baseline.StaticSplit
	log     []admission
	// sent counts requests; wrongful those refused although the ideal bucket admitted them, and baseline those that
	// the static split would have refused so.
	sent     int
	wrongful int
	baseline int
}

type admission struct {
	at time.Time
	// net is what was not refunded, in tokens.
	net int64
}

func newTraffic(f *fleet, load float64, within, one bool, seed uint64) *traffic {
	doc := f.doc.Accounts[account]
	limits := terms.Limits{Rate: doc.Rate, Burst: doc.Burst}
	rate, size := limits.ForRange(terms.Range{End: terms.TotalShare})

	return &traffic{
		f: f, rate: doc.Rate, load: load, within: within, one: one, largest: doc.Burst / 10,
		random: rand.New(rand.NewPCG(seed, 4)),
		ideal:  bucket.New(time.Now(), rate, size, size),
		static: baseline.NewStaticSplit(time.Now(), limits, 3),
	}
}

// run sends requests with random gaps for a time; each refunds a random part.
func (tr *traffic) run(length time.Duration) {
	meanNet := float64(tr.largest) / 4
	end := time.Now().Add(length)

	for time.Now().Before(end) {
		gap := tr.random.ExpFloat64() * meanNet / (tr.rate * tr.load)
		time.Sleep(time.Duration(gap * float64(time.Second)))

		amount := 1 + tr.random.Int64N(tr.largest)
		unused := tr.random.Int64N(amount)
		hold := time.Duration(tr.random.Int64N(int64(4 * time.Second)))
		tr.send(amount, unused, hold)
	}

	tr.running.Wait()
}

func (tr *traffic) send(amount, unused int64, hold time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()

	mark, admitted := tr.ideal.DebitExact(time.Now(), amount*bucket.UnitsPerToken)

	via := tr.entry()
	if via == nil || tr.within && !admitted {
		return
	}

	place := 0
	if !tr.one {
		place = tr.random.IntN(3)
	}

	split, kept := tr.static.Debit(time.Now(), place, amount)

	tr.sent++

	if admitted && !kept {
		tr.baseline++
	}

	tr.running.Go(func() {
		charge, err := via.ledger.Debit(context.Background(), account, amount)
		at := time.Now()

		time.Sleep(hold)

		tr.mu.Lock()
		defer tr.mu.Unlock()

		tr.ideal.Refund(time.Now(), mark, unused*bucket.UnitsPerToken)

		tr.static.Refund(time.Now(), place, split, unused)

		if err != nil && admitted {
			tr.wrongful++
		}

		if err == nil {
			via.ledger.Refund(charge, unused)
			tr.log = append(tr.log, admission{at, amount - unused})
		}
	})
}

// entry returns the entry that gets the next request: any that is not frozen, or always the first one.
func (tr *traffic) entry() *entry {
	alive := slices.DeleteFunc(tr.f.running(), (*entry).frozen)

	switch {
	case len(alive) == 0:
		return nil
	case tr.one:
		return alive[0]
	default:
		return alive[tr.random.IntN(len(alive))]
	}
}

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

// excess returns by how many tokens the worst window exceeds rate times its length plus burst, or 0.
func excess(log []admission, rate float64, burst int64) float64 {
	slices.SortFunc(log, func(a, b admission) int { return a.at.Compare(b.at) })

	worst, queue := 0.0, 0.0

	for i, one := range log {
		if i > 0 {
			queue = max(queue-rate*one.at.Sub(log[i-1].at).Seconds(), 0)
		}

		queue += float64(one.net)
		worst = max(worst, queue-float64(burst))
	}

	return worst
}

// rounding is the error of floating-point sums over one log, in tokens.
const rounding = 1e-6

func (tr *traffic) assertEnvelope(t *testing.T, rate float64, burst int64) {
	t.Helper()

	over := excess(tr.log, rate, burst)
	assert.Assert(t, over < rounding, "%f tokens above the envelope in %d admissions", over, len(tr.log))
}

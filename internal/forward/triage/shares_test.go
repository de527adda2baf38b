package triage_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/triage"
)

// arrival is a request of the play below.
type arrival struct {
	at      time.Duration
	work    triage.Work
	prefill time.Duration
	given   bool
}

// arrivals draws ten minutes of requests. An offered work of 1 is all that the server can do; urgent is the share of the most urgent kind.
func arrivals(rng *rand.Rand, offered, urgent float64) []*arrival {
	const (
		meanPrefill = 60 * ms
		length      = 10 * time.Minute
	)

	var list []*arrival

	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() / offered * float64(meanPrefill)) {
		urgency := 0
		if rng.Float64() > urgent {
			urgency = 1 + rng.IntN(2)
		}

		// Sizes from a third of the mean to about four times the mean.
		size := min(0.33+0.67*rng.ExpFloat64(), 4)
		work := triage.Work{
			Urgency: urgency, Due: start.Add(at + 800*ms), Expires: start.Add(at + 2800*ms), Tokens: int64(1000 * size), Output: 200, Fetch: rng.IntN(4) == 0,
		}
		work.Due = work.Due.Add(-time.Duration(size * float64(meanPrefill)))
		list = append(list, &arrival{at: at, work: work, prefill: time.Duration(size * float64(meanPrefill))})
	}

	return list
}

// serve plays the arrivals against one server and marks those that are given service.
func serve(list []*arrival) {
	var (
		queue   triage.Queue
		shares  triage.Shares
		waiting []*arrival
		now     time.Duration
		next    int
	)

	for next < len(list) || len(waiting) > 0 {
		for next < len(list) && (list[next].at <= now || len(waiting) == 0) {
			now = max(now, list[next].at)
			waiting = append(waiting, list[next])
			next++
		}

		turns := queue.Plan(start.Add(now), triage.Busy{}, candidatesOf(waiting, &shares))
		begun := (*arrival)(nil)
		hopeless := map[*arrival]bool{}

		for _, turn := range turns {
			request := waiting[turn.Index]

			switch {
			case turn.Standing == triage.Infeasible:
				hopeless[request] = true
			case begun == nil:
				begun = request
			}
		}

		for request := range hopeless {
			shares.Record(request.work, false)
		}

		if begun != nil {
			begun.given = true
			now += begun.prefill
			shares.Record(begun.work, true)
		}

		waiting = slices.DeleteFunc(waiting, func(a *arrival) bool { return a == begun || hopeless[a] })
	}
}

func candidatesOf(waiting []*arrival, shares *triage.Shares) []triage.Candidate {
	candidates := make([]triage.Candidate, 0, len(waiting))

	for _, a := range waiting {
		candidates = append(candidates, triage.Candidate{Work: a.work, Prefill: a.prefill, Usual: a.prefill})
	}

	triage.MarkUnderserved(candidates, shares)

	return candidates
}

// given returns the share of the requests that were given service among those which the filter accepts.
func given(list []*arrival, accept func(a *arrival) bool) float64 {
	total, served := 0.0, 0.0

	for _, a := range list {
		if !accept(a) {
			continue
		}

		total++

		if a.given {
			served++
		}
	}

	return served / total
}

// Guards against sizes, kinds and requests for adapters that are not loaded which get nothing under lasting overload. The bounds are those that
// callers are promised.
func TestNothingIsStarved(t *testing.T) {
	cases := map[string]struct {
		offered, urgent float64
	}{
		"some overload":                    {offered: 1.2, urgent: 0.2},
		"twice too much":                   {offered: 2, urgent: 0.2},
		"three times too much":             {offered: 3, urgent: 0.1},
		"too much of the most urgent kind": {offered: 2, urgent: 0.8},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list := arrivals(rand.New(rand.NewPCG(3, 4)), c.offered, c.urgent)
			serve(list)

			all := given(list, func(*arrival) bool { return true })
			fetched := given(list, func(a *arrival) bool { return a.work.Fetch })
			assert.Assert(t, fetched >= all/4, "adapters not loaded %.2f of %.2f", fetched, all)

			for urgency := range 3 {
				kind := given(list, func(a *arrival) bool { return a.work.Urgency == urgency })
				assert.Assert(t, kind >= all/4, "urgency %d %.2f of %.2f", urgency, kind, all)

				var sizes []int64

				for _, a := range list {
					if a.work.Urgency == urgency {
						sizes = append(sizes, a.work.Tokens)
					}
				}

				slices.Sort(sizes)

				for _, tenth := range []int{6, 7, 8, 9} {
					least := sizes[len(sizes)*tenth/10]
					share := given(list, func(a *arrival) bool {
						return a.work.Urgency == urgency && a.work.Tokens >= least && (tenth == 9 || a.work.Tokens < sizes[len(sizes)*(tenth+1)/10])
					})
					assert.Assert(t, share >= kind/2, "tenth %d by size of urgency %d %.2f of %.2f", tenth, urgency, share, kind)
				}
			}
		})
	}
}

// Guards against a kind that counts as refused more often than a less urgent one after a single refusal, and against one that does not count
// although several were refused.
func TestRefusalsThatAreADeficit(t *testing.T) {
	cases := map[string]struct {
		served, refused int
		want            bool
	}{
		"none refused":          {served: 20},
		"one of ten":            {served: 9, refused: 1},
		"two of twenty":         {served: 18, refused: 2},
		"three of thirty":       {served: 27, refused: 3, want: true},
		"within two in hundred": {served: 98, refused: 2},
		"five in hundred":       {served: 95, refused: 5, want: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var shares triage.Shares

			for range 50 {
				shares.Record(triage.Work{Urgency: 1, Tokens: 1000}, true)
			}

			for range c.served {
				shares.Record(triage.Work{Tokens: 1000}, true)
			}

			for range c.refused {
				shares.Record(triage.Work{Tokens: 1000}, false)
			}

			assert.Equal(t, shares.Deficit(triage.Work{Tokens: 1000}) > 0, c.want)
		})
	}
}

// Guards against a rare kind that is refused each time because it never has enough outcomes for a deficit.
func TestRareKindIsOwedAfterARefusal(t *testing.T) {
	var shares triage.Shares

	for range 30 {
		shares.Record(triage.Work{Tokens: 1000}, true)
	}

	rare := triage.Work{Urgency: 3, Tokens: 9000}
	assert.Assert(t, !shares.IsOwed(rare))

	shares.Record(rare, false)
	assert.Assert(t, shares.IsOwed(rare))
	assert.Equal(t, shares.Deficit(rare), 0.0)
	assert.Assert(t, !shares.IsOwed(triage.Work{Tokens: 1000}))
}

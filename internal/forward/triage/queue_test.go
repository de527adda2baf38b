package triage_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/triage"
)

var start = time.Unix(1_000_000, 0)

const ms = time.Millisecond

// candidate describes a request by the times that matter; gain is the same for all unless a test sets tokens.
func candidate(urgency int, prefill, due, expires time.Duration) triage.Candidate {
	return triage.Candidate{
		Work:    triage.Work{Urgency: urgency, Due: start.Add(due - prefill), Expires: start.Add(expires), Tokens: 1000},
		Prefill: prefill, Usual: prefill,
	}
}

// describe renders turns as one letter of the standing and the index of each request, in order.
func describe(turns []triage.Turn) string {
	names := map[triage.Standing]string{triage.OnTime: "o", triage.Late: "l", triage.Displaced: "d", triage.Infeasible: "h"}

	words := make([]string, 0, len(turns))
	for _, turn := range turns {
		words = append(words, names[turn.Standing]+string(rune('0'+turn.Index)))
	}

	return strings.Join(words, " ")
}

// Guards against an order in which everybody is a little late, and against requests that are late although room was left for them.
func TestOrderOfService(t *testing.T) {
	withTokens := func(c triage.Candidate, tokens int64) triage.Candidate {
		c.Work.Tokens = tokens
		return c
	}
	change := func(c triage.Candidate, f func(c *triage.Candidate)) triage.Candidate {
		f(&c)
		return c
	}

	cases := map[string]struct {
		busy       time.Duration
		candidates []triage.Candidate
		want       string
	}{
		"earliest due first": {
			candidates: []triage.Candidate{candidate(1, 100*ms, 800*ms, 3*time.Second), candidate(1, 100*ms, 300*ms, 3*time.Second)},
			want:       "o1 o0",
		},
		"equal due times keep their order": {
			candidates: []triage.Candidate{candidate(1, 100*ms, 800*ms, 3*time.Second), candidate(1, 50*ms, 800*ms, 3*time.Second)},
			want:       "o0 o1",
		},
		"the more urgent first while all are on time": {
			candidates: []triage.Candidate{candidate(2, 100*ms, 500*ms, 3*time.Second), candidate(0, 100*ms, 800*ms, 3*time.Second)},
			want:       "o1 o0",
		},
		"a less urgent one that would be late goes first": {
			candidates: []triage.Candidate{candidate(2, 100*ms, 150*ms, 3*time.Second), candidate(0, 100*ms, 800*ms, 3*time.Second)},
			want:       "o0 o1",
		},
		"a more urgent one without time to spare goes first": {
			candidates: []triage.Candidate{candidate(2, 100*ms, 150*ms, 3*time.Second), candidate(0, 100*ms, 350*ms, 3*time.Second)},
			want:       "o1 d0",
		},
		"the less urgent gives way": {
			candidates: []triage.Candidate{candidate(2, 100*ms, 150*ms, 3*time.Second), candidate(0, 100*ms, 160*ms, 3*time.Second)},
			want:       "o1 d0",
		},
		"among equals the most work for its gain gives way": {
			candidates: []triage.Candidate{candidate(1, 200*ms, 250*ms, 3*time.Second), candidate(1, 100*ms, 260*ms, 3*time.Second), candidate(1, 100*ms, 270*ms, 3*time.Second)},
			want:       "o1 o2 d0",
		},
		"more work for more gain stays": {
			candidates: []triage.Candidate{withTokens(candidate(1, 200*ms, 250*ms, 3*time.Second), 4000), candidate(1, 100*ms, 260*ms, 3*time.Second)},
			want:       "o0 d1",
		},
		"a stream that goes on has part of its work done": {
			candidates: []triage.Candidate{candidate(1, 200*ms, 300*ms, 3*time.Second), change(candidate(1, 200*ms, 320*ms, 3*time.Second), func(c *triage.Candidate) { c.Work.Resumed = true })},
			want:       "o1 d0",
		},
		"late ones last": {
			candidates: []triage.Candidate{candidate(0, 100*ms, -ms, 3*time.Second), candidate(2, 100*ms, 800*ms, 3*time.Second)},
			want:       "o1 l0",
		},
		"a late one is served when there is room": {
			candidates: []triage.Candidate{candidate(0, 100*ms, -ms, 3*time.Second)},
			want:       "l0",
		},
		"a late one that would expire goes before a less urgent one": {
			candidates: []triage.Candidate{candidate(2, 100*ms, 150*ms, 3*time.Second), candidate(0, 100*ms, -ms, 50*ms)},
			want:       "l1 d0",
		},
		"a late one gives way to its equals": {
			busy:       20 * ms,
			candidates: []triage.Candidate{candidate(1, 100*ms, 150*ms, 3*time.Second), candidate(1, 100*ms, -ms, 70*ms)},
			want:       "o0 h1",
		},
		"the load of an adapter delays nobody else": {
			candidates: []triage.Candidate{change(candidate(1, 100*ms, 400*ms, 3*time.Second), func(c *triage.Candidate) { c.Ready = 250 * ms }), candidate(1, 100*ms, 500*ms, 3*time.Second)},
			want:       "o0 o1",
		},
		"an adapter that comes too late": {
			candidates: []triage.Candidate{change(candidate(1, 100*ms, 300*ms, 3*time.Second), func(c *triage.Candidate) { c.Ready = 250 * ms }), candidate(1, 100*ms, 500*ms, 3*time.Second)},
			want:       "o1 l0",
		},
		"expires before its turn": {
			busy:       300 * ms,
			candidates: []triage.Candidate{candidate(1, 100*ms, -ms, 200*ms), candidate(1, 100*ms, -ms, 3*time.Second)},
			want:       "l1 h0",
		},
		"expires before it is due": {
			candidates: []triage.Candidate{candidate(1, 100*ms, 800*ms, 50*ms), candidate(1, 100*ms, 300*ms, 3*time.Second)},
			want:       "o0 o1",
		},
		"no target, among its equals": {
			candidates: []triage.Candidate{candidate(1, 100*ms, time.Hour, 3*time.Second), candidate(1, 100*ms, 300*ms, 3*time.Second)},
			want:       "o1 o0",
		},
		"no target, and too little time": {
			busy:       300 * ms,
			candidates: []triage.Candidate{candidate(1, 100*ms, time.Hour, 200*ms), candidate(1, 100*ms, 800*ms, 3*time.Second)},
			want:       "o1 h0",
		},
		"service is owed": {
			candidates: []triage.Candidate{candidate(0, 100*ms, 120*ms, 3*time.Second), change(candidate(5, 100*ms, -ms, 3*time.Second), func(c *triage.Candidate) { c.Underserved = true })},
			want:       "l1 d0",
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var queue triage.Queue

			assert.Equal(t, describe(queue.Plan(start, triage.Busy{Present: c.busy, Usual: c.busy}, c.candidates)), c.want)
		})
	}
}

// Guards against a request that is refused although only a moment of slowness keeps it from its turn, and against a refusal that brings the
// caller back before there is room.
func TestRefusalsBeforeExpiry(t *testing.T) {
	var queue triage.Queue

	first, second, third := candidate(0, 400*ms, time.Second, 3*time.Second), candidate(2, 100*ms, -ms, 300*ms), candidate(0, 100*ms, time.Second, 3*time.Second)

	turns := queue.Plan(start, triage.Busy{Present: 350 * ms, Usual: 350 * ms}, []triage.Candidate{first, second, third})
	assert.Equal(t, describe(turns), "o0 o2 h1")
	assert.Equal(t, turns[2].RetryAfter, 850*ms)

	first.Usual = 100 * ms
	turns = queue.Plan(start, triage.Busy{Present: 350 * ms, Usual: 100 * ms}, []triage.Candidate{first, second})
	assert.Equal(t, describe(turns), "o0 l1")
}

// drawCandidates draws a queue in which neither urgency nor gain tells the requests apart.
func drawCandidates(t *rapid.T, most int, urgencies int) []triage.Candidate {
	candidates := make([]triage.Candidate, rapid.IntRange(1, most).Draw(t, "count"))

	for i := range candidates {
		prefill := time.Duration(rapid.IntRange(10, 300).Draw(t, "prefill")) * ms
		due := time.Duration(rapid.IntRange(-100, 900).Draw(t, "due")) * ms
		candidates[i] = candidate(rapid.IntRange(0, urgencies-1).Draw(t, "urgency"), prefill, due, due+2*time.Second)
	}

	return candidates
}

func countOnTime(turns []triage.Turn, candidates []triage.Candidate, urgency int) int {
	count := 0

	for _, turn := range turns {
		if turn.Standing == triage.OnTime && candidates[turn.Index].Work.Urgency == urgency {
			count++
		}
	}

	return count
}

// fewestLate returns the largest number of requests that can start by their due times, by trying all sets.
func fewestLate(candidates []triage.Candidate) int {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b triage.Candidate) int {
		return a.Work.Due.Add(a.Prefill).Compare(b.Work.Due.Add(b.Prefill))
	})

	best := 0

	for set := range 1 << len(sorted) {
		end, count := time.Duration(0), 0

		for i := range sorted {
			if set&(1<<i) == 0 {
				continue
			}

			if end > sorted[i].Work.Due.Sub(start) {
				count = 0
				break
			}

			end += sorted[i].Prefill
			count++
		}

		best = max(best, count)
	}

	return best
}

// Guards against a plan that makes more requests late than necessary, that counts one as on time which is not, or that loses one.
func TestFewestRequestsAreLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue triage.Queue

		candidates := drawCandidates(t, 8, 1)
		turns := queue.Plan(start, triage.Busy{}, candidates)
		assert.Equal(t, countOnTime(turns, candidates, 0), fewestLate(candidates))

		seen := map[int]bool{}
		end := time.Duration(0)

		for _, turn := range turns {
			seen[turn.Index] = true

			assert.Assert(t, turn.Standing != triage.OnTime || !start.Add(end).After(candidates[turn.Index].Work.Due))

			if turn.Standing != triage.Infeasible {
				end += candidates[turn.Index].Prefill
			}
		}

		assert.Equal(t, len(seen), len(candidates))
	})
}

// Guards against less urgent requests that make more urgent ones late.
func TestLessUrgentRequestsMakeNoneLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue triage.Queue

		candidates := drawCandidates(t, 20, 3)
		urgent := slices.DeleteFunc(slices.Clone(candidates), func(c triage.Candidate) bool { return c.Work.Urgency > 0 })

		alone := countOnTime(queue.Plan(start, triage.Busy{}, urgent), urgent, 0)
		together := countOnTime(queue.Plan(start, triage.Busy{}, candidates), candidates, 0)
		assert.Assert(t, together >= alone, "%d of %d", together, alone)
	})
}

// Guards against a plan that takes a request from the set which is not in it: the work by rank and the set are kept apart, and a difference between
// them would cause a panic of the agent. Sizes and times are out of any order on purpose.
func TestPlanWithAnyWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue triage.Queue

		values := rapid.Int64Range(-int64(time.Hour), int64(time.Hour))
		if rapid.Bool().Draw(t, "extreme") {
			values = rapid.Int64()
		}

		for range 2 {
			candidates := make([]triage.Candidate, rapid.IntRange(1, 30).Draw(t, "count"))

			for i := range candidates {
				candidates[i] = candidate(rapid.IntRange(-2, 12).Draw(t, "urgency"), time.Duration(values.Draw(t, "prefill")), time.Duration(values.Draw(t, "due")), time.Duration(values.Draw(t, "expires")))
				candidates[i].Ready = time.Duration(values.Draw(t, "ready"))
				candidates[i].Displaced, candidates[i].Underserved, candidates[i].Work.Resumed = rapid.Bool().Draw(t, "displaced"), rapid.Bool().Draw(t, "owed"), rapid.Bool().Draw(t, "resumed")
			}

			busy := triage.Busy{Present: time.Duration(values.Draw(t, "present")), Usual: time.Duration(values.Draw(t, "usual"))}
			assert.Equal(t, len(queue.Plan(start, busy, candidates)), len(candidates))
		}
	})
}

// Guards against requests that overtake each other with each plan while nothing but the time changes.
func TestOrderIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue triage.Queue

		candidates := drawCandidates(t, 20, 3)
		standings := map[int]triage.Standing{}
		before := map[int]int{}

		for i, turn := range queue.Plan(start, triage.Busy{Present: 100 * ms, Usual: 100 * ms}, candidates) {
			standings[turn.Index], before[turn.Index] = turn.Standing, i
			candidates[turn.Index].Displaced = turn.Standing == triage.Displaced
		}

		// The running prefill goes on, so that each request is expected to start at the same time as before.
		turns := queue.Plan(start.Add(20*ms), triage.Busy{Present: 80 * ms, Usual: 80 * ms}, candidates)
		for i := 1; i < len(turns); i++ {
			a, b := turns[i-1].Index, turns[i].Index
			sameKind := candidates[a].Work.Urgency == candidates[b].Work.Urgency
			sameStanding := standings[a] == standings[b] && turns[i-1].Standing == turns[i].Standing && turns[i].Standing == standings[a]
			assert.Assert(t, !sameKind || !sameStanding || before[a] < before[b], "%d overtook %d", a, b)
		}
	})
}

// BenchmarkPlan plans a queue of 64 requests under overload.
func BenchmarkPlan(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	candidates := make([]triage.Candidate, 64)

	for i := range candidates {
		due := time.Duration(rng.IntN(1000)-200) * ms
		candidates[i] = candidate(rng.IntN(3), time.Duration(10+rng.IntN(100))*ms, due, due+2*time.Second)
	}

	slices.SortFunc(candidates, func(a, c triage.Candidate) int { return a.Work.Due.Compare(c.Work.Due) })

	var queue triage.Queue

	for b.Loop() {
		queue.Plan(start, triage.Busy{Present: 30 * ms, Usual: 30 * ms}, candidates)
	}
}

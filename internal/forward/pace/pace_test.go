package pace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/pace"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against a statement that counts for too long: a server that gets no work cannot say that it is well again.
func TestStatementsAge(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration
		want int
	}{
		"fresh":   {age: 50 * time.Millisecond, want: 250},
		"halfway": {age: 300 * time.Millisecond, want: 175},
		"stale":   {age: time.Second, want: 100},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var e pace.Estimator

			e.ObserveSlowness(start.Add(-time.Second), 100)
			e.ObserveSlowness(start, 250)
			assert.Equal(t, e.Slowness(start.Add(c.age)), c.want)
		})
	}
}

// Guards against an estimate that takes a moment of slowness for the usual speed of the server, and against one that forgets that a server is
// slow for good.
func TestPrefillTime(t *testing.T) {
	const tokens = 2000

	cases := map[string]struct {
		stated []int
		now    int
		want   time.Duration
	}{
		"as usual":        {stated: []int{100, 100, 100}, now: 100, want: 112 * time.Millisecond},
		"slow now":        {stated: []int{100, 100, 100}, now: 250, want: 280 * time.Millisecond},
		"slow for good":   {stated: []int{130, 130, 130}, now: 130, want: 145 * time.Millisecond},
		"nothing stated":  {stated: []int{0, 0, 0}, now: 0, want: 112 * time.Millisecond},
		"slow moments":    {stated: []int{100, 250, 250}, now: 100, want: 112 * time.Millisecond},
		"no true figures": {stated: []int{-5, 0, -1}, now: 0, want: 112 * time.Millisecond},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var e pace.Estimator

			at := start

			for _, percent := range append(c.stated, c.now) {
				at = at.Add(time.Second)
				e.ObserveSlowness(at, percent)

				// The server takes 50 µs for a token and 12 ms for a step.
				took := 112 * time.Millisecond * time.Duration(max(percent, 0)) / 100
				if percent <= 0 {
					took = 112 * time.Millisecond
				}

				e.ObservePrefill(at, tokens, took)
			}

			got := e.PrefillTime(at, tokens)
			assert.Assert(t, got > c.want*9/10 && got < c.want*11/10, "%s, want about %s", got, c.want)
		})
	}
}

// Guards against entries that take a server which is slow for good for a fast one, or one that is slow for a moment for one that is slow for good.
func TestRateAndStatement(t *testing.T) {
	const tokens = 2000

	cases := map[string]struct {
		stated   []int
		rate     float64
		slowness int
	}{
		"as usual":      {stated: []int{100, 100}, rate: 20_000, slowness: 100},
		"slow now":      {stated: []int{100, 250}, rate: 20_000, slowness: 250},
		"slow for good": {stated: []int{200, 200}, rate: 10_000, slowness: 100},
		"slower still":  {stated: []int{200, 500}, rate: 10_000, slowness: 250},
		"not stated":    {rate: 20_000},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var e pace.Estimator

			assert.Equal(t, e.Rate(), 0.0, "nothing observed")

			at := start
			for _, percent := range c.stated {
				at = at.Add(time.Second)
				e.ObserveSlowness(at, percent)
				e.ObservePrefill(at, tokens, 12*time.Millisecond+100*time.Millisecond*time.Duration(percent)/100)
			}

			if len(c.stated) == 0 {
				e.ObservePrefill(at, tokens, 112*time.Millisecond)
			}

			assert.Assert(t, e.Rate() > c.rate*0.9 && e.Rate() < c.rate*1.1, "%f, want about %f", e.Rate(), c.rate)

			slowness, age := e.Stated(at.Add(40 * time.Millisecond))
			assert.Equal(t, slowness, c.slowness)
			assert.Equal(t, age > 0, len(c.stated) > 0)
		})
	}
}

// Guards against an estimate for large prompts that is too high because small ones take long for their size: what a request takes besides its
// prompt is told apart.
func TestLargePromptsAreNotTakenForSlow(t *testing.T) {
	const (
		overhead = 40 * time.Millisecond
		perToken = 50 * time.Microsecond
	)

	var e pace.Estimator

	at := start

	for i := range 200 {
		at = at.Add(100 * time.Millisecond)
		tokens := int64(300 + 200*(i%5))
		e.ObservePrefill(at, tokens, overhead+time.Duration(tokens)*perToken)
	}

	want := 5800 * perToken
	got := e.Prefill(at).Stall(5800)
	assert.Assert(t, got > want*95/100 && got < want*105/100, "%s, want about %s", got, want)
}

// Guards against a large prompt that seems to take no time, so that it is started before streams that it makes late: small prompts whose times
// vary with the pace of the server tell nothing about the time of a token.
func TestSmallPromptsOfVaryingPace(t *testing.T) {
	var e pace.Estimator

	at := start

	for range 50 {
		at = at.Add(time.Second)
		e.ObservePrefill(at, 250, 60*time.Millisecond)
		e.ObservePrefill(at, 700, 30*time.Millisecond)
	}

	got := e.PrefillTime(at, 40_000)
	assert.Assert(t, got >= 400*time.Millisecond, "%s", got)
}

package pace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/pace"
)

// Guards against a conclusion from intervals that do not show that the server made an event within a prefill, and against one that is missed. The
// prompts have 6,000 tokens, which take 312 ms at the usual pace, and the usual time between two events is 50 ms.
func TestIntervalsWithinPrefills(t *testing.T) {
	const tokens = 6000

	ms := func(from, to int) pace.Interval {
		return pace.Interval{Began: start.Add(time.Duration(from) * time.Millisecond), Ended: start.Add(time.Duration(to) * time.Millisecond)}
	}

	cases := map[string]struct {
		tokens int64
		// took is the time of the prefill in milliseconds, which began at 0.
		took      int
		intervals []pace.Interval
		known     bool
		longest   time.Duration
	}{
		"two within":                     {took: 312, intervals: []pace.Interval{ms(10, 210), ms(30, 230)}, known: true, longest: 210 * time.Millisecond},
		"the longer one counts":          {took: 312, intervals: []pace.Interval{ms(10, 160), ms(30, 230)}, known: true, longest: 210 * time.Millisecond},
		"one within":                     {took: 312, intervals: []pace.Interval{ms(10, 210)}},
		"two of one step":                {took: 312, intervals: []pace.Interval{ms(10, 210), ms(12, 212)}},
		"in part":                        {took: 312, intervals: []pace.Interval{ms(-5, 150), ms(-5, 180)}, known: true, longest: 210 * time.Millisecond},
		"in small part":                  {took: 312, intervals: []pace.Interval{ms(-40, 100), ms(-30, 120)}},
		"at the end":                     {took: 312, intervals: []pace.Interval{ms(10, 300), ms(30, 312), ms(40, 400)}},
		"slow prefill":                   {took: 700, intervals: []pace.Interval{ms(10, 210), ms(30, 230)}},
		"the prompt waited":              {took: 400, intervals: []pace.Interval{ms(10, 60), ms(60, 260), ms(70, 290)}},
		"as long as without prefill":     {took: 312, intervals: []pace.Interval{ms(10, 60), ms(30, 80)}},
		"small prompt":                   {tokens: 100, took: 312, intervals: []pace.Interval{ms(10, 210), ms(30, 230)}},
		"prompt that took hardly longer": {tokens: 2000, took: 140, intervals: []pace.Interval{ms(2, 75), ms(4, 90)}, known: true, longest: 90300 * time.Microsecond},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var e pace.Estimator

			for i := range 40 {
				e.ObserveEvent(start.Add(time.Duration(50*i-3000)*time.Millisecond), 50*time.Millisecond)
			}

			if c.tokens == 0 {
				c.tokens = tokens
			}

			end := start.Add(time.Duration(c.took) * time.Millisecond)
			e.ObserveIntervals(pace.PrefillSpan{Tokens: c.tokens, Began: start, Ended: end}, c.intervals...)

			longest, known := e.ChunkedEventTime(end)
			assert.Equal(t, known, c.known)

			if known {
				assert.Assert(t, longest > c.longest-time.Millisecond && longest < c.longest+time.Millisecond, "%s, want %s", longest, c.longest)
			}
		})
	}
}

// Guards against a known time that outlasts an event which a prefill has delayed for longer.
func TestLongerIntervalCountsAtOnce(t *testing.T) {
	var e pace.Estimator

	within := func(from, to time.Duration) pace.Interval {
		return pace.Interval{Began: start.Add(from), Ended: start.Add(to)}
	}
	span := pace.PrefillSpan{Tokens: 6000, Began: start, Ended: start.Add(312 * time.Millisecond)}

	for range 20 {
		e.ObserveIntervals(span, within(10*time.Millisecond, 130*time.Millisecond), within(130*time.Millisecond, 250*time.Millisecond))
	}

	longest, known := e.ChunkedEventTime(span.Ended)
	assert.Assert(t, known && longest < 130*time.Millisecond, "%s", longest)

	e.ObserveIntervals(span, within(-20*time.Millisecond, 330*time.Millisecond))

	longest, _ = e.ChunkedEventTime(span.Ended)
	assert.Assert(t, longest > 310*time.Millisecond, "%s", longest)
}

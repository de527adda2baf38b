package ramp_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/admit/ramp"
)

var now = time.Unix(1000, 0)

// warmRamp returns a ramp whose limit has grown from 2 to 16, with a baseline of 10 ms per token.
func warmRamp() *ramp.Ramp {
	r := &ramp.Ramp{}
	r.Configure(2, 16)
	r.Report(now, "b1", false)
	r.Report(now.Add(time.Second), "b1", false)

	for range 40 {
		r.Observe(now, r.Epoch(), ramp.NextOutput, 10*time.Millisecond, 1)
		r.Complete(r.Epoch())
	}

	return r
}

// Guards against full load on a cold engine, for each way to detect a cold start.
func TestCold(t *testing.T) {
	tests := map[string]struct {
		event func(r *ramp.Ramp)
		limit int
	}{
		"still warm":  {func(r *ramp.Ramp) { r.Report(now, "b1", false) }, 16},
		"new boot id": {func(r *ramp.Ramp) { r.Report(now, "b2", false) }, 2},
		"new boot id, late cold flag": {func(r *ramp.Ramp) {
			r.Report(now, "b2", false)

			for range 20 {
				r.Complete(r.Epoch())
			}
		}, 2},
		"cold flag over": {func(r *ramp.Ramp) {
			r.Report(now, "b1", true)
			r.Report(now.Add(time.Second), "b1", false)

			for range 8 {
				r.Complete(r.Epoch())
			}
		}, 6},
		"cold flag": {func(r *ramp.Ramp) { r.Report(now, "b1", true) }, 2},
		"cold without a report": {func(r *ramp.Ramp) {
			for range 5 {
				r.Observe(now, r.Epoch(), ramp.NextOutput, 100*time.Millisecond, 1)
			}
		}, 2},
		"full batch": {func(r *ramp.Ramp) {
			for range 50 {
				r.Observe(now, r.Epoch(), ramp.NextOutput, 25*time.Millisecond, 1)
			}
		}, 16},
		"one slow event": {func(r *ramp.Ramp) { r.Observe(now, r.Epoch(), ramp.NextOutput, 60*time.Millisecond, 1) }, 16},
		"completions from before the cold start": {func(r *ramp.Ramp) {
			before := r.Epoch()
			r.Report(now, "b2", false)

			for range 20 {
				r.Complete(before)
			}
		}, 2},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := warmRamp()
			assert.Equal(t, r.Limit(), 16)
			test.event(r)
			assert.Equal(t, r.Limit(), test.limit)
		})
	}
}

// Guards against repeated cold starts of an engine that stays slow, and against a second slowdown that is not detected after
// the first has ended.
func TestColdAgain(t *testing.T) {
	r := warmRamp()
	observe := func(count int, took time.Duration) (starts int) {
		for range count {
			if r.Observe(now, r.Epoch(), ramp.NextOutput, took, 1) {
				starts++
			}
		}

		return starts
	}

	assert.Equal(t, observe(100, 100*time.Millisecond), 1)
	assert.Equal(t, observe(100, 10*time.Millisecond), 0)
	assert.Equal(t, observe(100, 100*time.Millisecond), 1)
}

// Guards against a limit that is out of bounds, or rises without completed requests, over random operations.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &ramp.Ramp{}
		r.Configure(2, 10)

		limit := r.Limit()
		at := now

		t.Repeat(map[string]func(*rapid.T){
			"complete": func(t *rapid.T) {
				r.Complete(r.Epoch() - rapid.Int64Range(0, 1).Draw(t, "age"))
				assert.Assert(t, r.Limit() <= limit+1)
			},
			"report": func(t *rapid.T) {
				at = at.Add(time.Second)
				boot := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "boot")

				if r.Report(at, boot, rapid.Bool().Draw(t, "cold")) {
					assert.Equal(t, r.Limit(), 2)
				}

				assert.Assert(t, r.Limit() <= limit)
			},
			"observe": func(t *rapid.T) {
				took := time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
				if r.Observe(at, r.Epoch(), ramp.FirstOutput, took, 1) {
					assert.Equal(t, r.Limit(), 2)
				}

				assert.Assert(t, r.Limit() <= limit)
			},
			"": func(t *rapid.T) {
				limit = r.Limit()
				assert.Assert(t, limit >= 2 && limit <= 10)
			},
		})
	})
}

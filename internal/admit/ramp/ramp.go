// Package ramp is the concurrency limit of a backend server, which restarts low in a cold start and grows with completions.
package ramp

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

const (
	// growth is added to the limit by each completion: a limit that is used in full grows by half in the time of one request.
	growth = 0.5
	// reportLag is how old the engine's report may be; an engine that says it is no longer cold may have said so before it
	// turned cold again.
	reportLag = time.Second
)

// Phase is a part of a request with its own normal speed.
type Phase int

// The phases: time to the first output, and time between outputs.
const (
	FirstOutput Phase = iota
	NextOutput
	phases
)

// Ramp is the concurrency limit. It is not safe for concurrent use.
type Ramp struct {
	// start and ceiling bound the limit: 1 <= start <= ceiling.
	start   int
	ceiling int
	// limit is between start and ceiling.
	limit float64
	boot  string
	// epoch grows with each cold start; completions of requests that started before it don't count.
	epoch int64
	// cold is the engine's own last report; an engine that has just started counts as cold until its report can be trusted.
	cold  bool
	since time.Time
	speed [phases]jump
}

// Configure sets the limit in a cold start and the highest limit.
func (r *Ramp) Configure(start, ceiling int) {
	r.ceiling = max(ceiling, 1)
	r.start = min(max(start, 1), r.ceiling)
	r.limit = min(max(r.limit, float64(r.start)), float64(r.ceiling))
}

// Limit returns the number of requests that may run at once.
func (r *Ramp) Limit() int {
	limit := int(r.limit)
	invariant.Check(limit >= r.start && limit <= r.ceiling, "ramp.limit", "limit %d is outside %d to %d", limit, r.start, r.ceiling)

	return limit
}

// Cold reports whether the limit is still below the ceiling after a cold start.
func (r *Ramp) Cold() bool {
	return r.cold || r.Limit() < r.ceiling
}

// Epoch identifies the time since the last cold start; a request keeps the epoch at which it started.
func (r *Ramp) Epoch() int64 {
	return r.epoch
}

// Report takes the engine's boot id and cold flag, and reports whether a cold start begins. The limit does not grow while
// the engine counts as cold.
func (r *Ramp) Report(now time.Time, boot string, cold bool) bool {
	restarted := boot != r.boot
	turned := cold && !r.cold
	r.boot = boot

	if cold || now.Sub(r.since) >= reportLag {
		r.cold = cold
	}

	if restarted {
		r.speed = [phases]jump{}
	}

	if !restarted && !turned {
		return false
	}

	r.restart(now)
	r.cold = true

	return true
}

// Observe takes the time that a phase took for a number of tokens, and reports whether a cold start begins.
func (r *Ramp) Observe(now time.Time, epoch int64, phase Phase, took time.Duration, tokens int64) bool {
	if epoch != r.epoch || tokens <= 0 {
		return false
	}

	if !r.speed[phase].observe(took.Seconds() / float64(tokens)) {
		return false
	}

	r.restart(now)

	return true
}

// Complete counts a request that ended well.
func (r *Ramp) Complete(epoch int64) {
	if epoch != r.epoch || r.cold {
		return
	}

	r.limit = min(r.limit+growth, float64(r.ceiling))

	if int(r.limit) == r.ceiling {
		for phase := range r.speed {
			r.speed[phase].settle()
		}
	}
}

func (r *Ramp) restart(now time.Time) {
	r.epoch++
	r.since = now
	r.limit = float64(r.start)
}

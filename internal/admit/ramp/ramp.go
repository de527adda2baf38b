// Package ramp implements the concurrency limit of a backend server, which is reset to a low value at a cold start and grows
// with each completed request.
package ramp

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

const (
	// limitIncrease is added to the limit by each completed request: a fully used limit grows by half in the time that one
	// request takes.
	limitIncrease = 0.5
	// staleReportWindow is the time after a cold start during which reports that the engine is not cold are ignored, because
	// they may have been made before the cold start.
	staleReportWindow = time.Second
)

// Phase is a part of a request with its own baseline service time.
type Phase int

// The phases of a request.
//
// FirstOutput lasts until the first output, NextOutput from one output to the next.
const (
	FirstOutput Phase = iota
	NextOutput
	phaseCount
)

// Ramp is the concurrency limit of one backend server. It is not safe for concurrent use.
type Ramp struct {
	// start and ceiling bound the limit: 1 <= start <= ceiling.
	start   int
	ceiling int
	// limit is between start and ceiling.
	limit float64
	// boot is the engine's boot id.
	boot string
	// epoch grows by 1 with each cold start; completions of requests that started before it do not count.
	epoch int64
	// cold is the flag of the engine's last report. A restart sets it, too. It is not cleared within staleReportWindow after
	// a cold start.
	cold bool
	// coldStartAt is the time of the last cold start.
	coldStartAt time.Time
	detectors   [phaseCount]slowdownDetector
}

// Configure sets the limit at a cold start and the maximum limit.
func (r *Ramp) Configure(start, ceiling int) {
	r.ceiling = max(ceiling, 1)
	r.start = min(max(start, 1), r.ceiling)
	r.limit = min(max(r.limit, float64(r.start)), float64(r.ceiling))
}

// Limit returns the number of requests that may run concurrently.
func (r *Ramp) Limit() int {
	limit := int(r.limit)
	invariant.Check(limit >= r.start && limit <= r.ceiling, "ramp.limit", "limit %d is outside %d to %d", limit, r.start, r.ceiling)

	return limit
}

// Cold reports whether the engine is cold, or the limit is still below the ceiling after a cold start.
func (r *Ramp) Cold() bool {
	return r.cold || r.Limit() < r.ceiling
}

// Epoch returns the number of cold starts so far; a request keeps the epoch in which it started.
func (r *Ramp) Epoch() int64 {
	return r.epoch
}

// Report records the engine's boot id and cold flag, and reports whether a cold start begins. The limit does not grow while
// the engine is cold.
func (r *Ramp) Report(now time.Time, boot string, cold bool) bool {
	restarted := boot != r.boot
	turnedCold := cold && !r.cold
	r.boot = boot

	if cold || now.Sub(r.coldStartAt) >= staleReportWindow {
		r.cold = cold
	}

	if restarted {
		r.detectors = [phaseCount]slowdownDetector{}
	}

	if !restarted && !turnedCold {
		return false
	}

	r.beginColdStart(now)
	r.cold = true

	return true
}

// Observe records the time that a phase took for a number of tokens, and reports whether a cold start begins.
// A slowdown counts as a cold start, because an engine may be cold without reporting it. Requests of an earlier epoch do not
// count.
func (r *Ramp) Observe(now time.Time, epoch int64, phase Phase, took time.Duration, tokens int64) bool {
	if epoch != r.epoch || tokens <= 0 {
		return false
	}

	if !r.detectors[phase].observe(took.Seconds() / float64(tokens)) {
		return false
	}

	r.beginColdStart(now)

	return true
}

// Complete raises the limit after a request that succeeded, unless the engine is cold or the request started in an earlier
// epoch. A slowdown that persists when the limit reaches the ceiling becomes the new baseline.
func (r *Ramp) Complete(epoch int64) {
	if epoch != r.epoch || r.cold {
		return
	}

	r.limit = min(r.limit+limitIncrease, float64(r.ceiling))

	if int(r.limit) == r.ceiling {
		for phase := range r.detectors {
			r.detectors[phase].acceptBaseline()
		}
	}
}

func (r *Ramp) beginColdStart(now time.Time) {
	r.epoch++
	r.coldStartAt = now
	r.limit = float64(r.start)
}

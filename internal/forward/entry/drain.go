package entry

import (
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/peak"
)

const (
	// durationMemory is how long the duration of a response is remembered at least.
	durationMemory = time.Minute
	// forecastTime is how long after the announcement of the end a request is taken on the forecast of its response. A wrong forecast costs
	// the caller its answer, while a refusal costs a retry, which may meet other entries that stop at the same time.
	forecastTime = 2500 * time.Millisecond
	// drainRetry is the retry delay of a request that is refused because this entry stops; another entry takes it at once.
	drainRetry = 100 * time.Millisecond
)

// drain is the end of the process, once it has been announced.
type drain struct {
	mu sync.Mutex
	// announced is when the end was announced, and end is when requests under way are cut off; zero while the process is not draining.
	announced, end time.Time
}

// begin announces the end.
func (d *drain) begin(announced, end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.announced, d.end = announced, end
}

// since returns the time since the end was announced; it has no meaning while the process is not draining.
func (d *drain) since(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	return now.Sub(d.announced)
}

// left returns the time until requests under way are cut off; false while the process is not draining.
func (d *drain) left(now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.end.Sub(now), !d.end.IsZero()
}

// durations holds how long the responses of each route have taken at most of late.
type durations struct {
	mu sync.Mutex
	// longest is keyed by route, in milliseconds.
	longest map[string]*peak.Peak
}

// record adds the duration of a complete response.
func (d *durations) record(now time.Time, route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.longest == nil {
		d.longest = map[string]*peak.Peak{}
	}

	if d.longest[route] == nil {
		d.longest[route] = &peak.Peak{Retention: durationMemory}
	}

	d.longest[route].Record(now, int(took.Milliseconds())+1)
}

// expected returns the longest duration of a response of a route of late; false if none is remembered.
func (d *durations) expected(now time.Time, route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	found := d.longest[route]
	if found == nil {
		return 0, false
	}

	longest := found.Get(now)

	return time.Duration(longest) * time.Millisecond, longest > 0
}

// drainDecision is why a request is taken or refused while the process is draining.
type drainDecision struct {
	// left is the time until the process ends, and needed the time that the response may take on the ground.
	left, needed time.Duration
	ground       drainGround
}

// startBy returns when a request must have been started so that it ends in time as forecast; the zero time if it ends by its deadline.
func (d drainDecision) startBy() time.Time {
	if d.ground != groundForecast {
		return time.Time{}
	}

	return time.Now().Add(d.left - d.needed)
}

// checkDrainBeforeSend refuses a request that has not run anywhere, and that may still be under way when this process ends. One that may have
// run cannot be refused truthfully, and is sent on.
func (e *Entry) checkDrainBeforeSend(j *job) *fault.Error {
	if j.runs > 0 {
		return nil
	}

	decision, err := e.checkDrain(j)
	j.startBy = decision.startBy()

	return err
}

// checkDrain refuses a request that may still be under way when this process ends. By its deadline it has an answer in any case; the longest
// response of late is only a forecast.
func (e *Entry) checkDrain(j *job) (drainDecision, *fault.Error) {
	now := time.Now()

	left, draining := e.drain.left(now)
	if !draining {
		return drainDecision{ground: groundNone}, nil
	}

	decision := drainDecision{left: left, needed: j.remaining(), ground: groundDeadline}

	expected, known := e.durations.expected(now, j.route.Name)
	if decision.needed > left && known && e.drain.since(now) < forecastTime && expected < decision.needed {
		decision.needed, decision.ground = expected, groundForecast
	}

	if decision.needed <= left {
		return decision, nil
	}

	return decision, fault.New(fault.Draining, "the entry stops in %d ms, and the response may take %d ms", left.Milliseconds(), decision.needed.Milliseconds()).WithRetryAfter(drainRetry)
}

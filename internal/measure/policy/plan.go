package policy

import "time"

// epoch is the virtual time at which every run starts.
var epoch = time.Unix(1_000_000_000, 0)

// Plan says when the events of a run happen, in time since its start.
type Plan struct {
	Seed uint64
	// Pause is how long in each minute the account that exceeds its rate sends nothing. Its buckets fill meanwhile, and
	// refunds of requests that still run come when they have been emptied again.
	Pause time.Duration
	// Warm ends the start with empty engines, which counts in no measure but the excess.
	Warm time.Duration
	// Shift is when popularity changes.
	Shift time.Duration
	// Cold is when engines turn cold without warning, one after the other.
	Cold time.Duration
	// Out and Back are when one failure domain is taken out of service and returns, with empty, cold engines.
	Out  time.Duration
	Back time.Duration
	// Settled ends the time that counts as the domain's return.
	Settled time.Duration
	// Lost and Found are when one entry is lost, and when another process holds its shares.
	Lost  time.Duration
	Found time.Duration
	// Regular is when a lost entry no longer counts in the refusals.
	Regular time.Duration
	End     time.Duration
}

// FullPlan is the plan of docs/measurements.md.
func FullPlan(seed uint64) Plan {
	return Plan{
		Seed:    seed,
		Warm:    100 * time.Second,
		Shift:   200 * time.Second,
		Cold:    300 * time.Second,
		Out:     420 * time.Second,
		Back:    520 * time.Second,
		Settled: 600 * time.Second,
		Lost:    700 * time.Second,
		Found:   720 * time.Second,
		Regular: 760 * time.Second,
		End:     900 * time.Second,
	}
}

// BurstyPlan is the full plan with an account that exceeds its rate in bursts.
func BurstyPlan(seed uint64) Plan {
	plan := FullPlan(seed)
	plan.Pause = 9 * time.Second

	return plan
}

// ShortPlan is a plan for tests.
func ShortPlan(seed uint64) Plan {
	return Plan{
		Seed:    seed,
		Warm:    60 * time.Second,
		Shift:   90 * time.Second,
		Cold:    110 * time.Second,
		Out:     140 * time.Second,
		Back:    180 * time.Second,
		Settled: 230 * time.Second,
		Lost:    240 * time.Second,
		Found:   260 * time.Second,
		Regular: 290 * time.Second,
		End:     300 * time.Second,
	}
}

func (p Plan) moment(since time.Duration) time.Time {
	return epoch.Add(since)
}

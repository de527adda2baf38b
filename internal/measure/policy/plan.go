package policy

import "time"

// startTime is the virtual time at which every run starts.
var startTime = time.Unix(1_000_000_000, 0)

// Plan is the schedule of the events of a run, as times since its start.
type Plan struct {
	Seed uint64
	// GreedyPause is how long in each minute the greedy account, which exceeds its rate, sends nothing. Its buckets refill
	// meanwhile, and refunds of requests that are still running arrive after the buckets have been emptied again.
	GreedyPause time.Duration
	// WarmupEnd ends the warm-up with empty engines, which counts only in the envelope excess and in the totals of the engines
	// and of the weight store.
	WarmupEnd time.Duration
	// PopularityShift is when the popularity of adapters changes.
	PopularityShift time.Duration
	// ColdStarts is when engines begin to become cold, one after the other, without reporting it.
	ColdStarts time.Duration
	// DomainOut and DomainBack are when one failure domain is taken out of service and returns with empty, cold engines.
	DomainOut  time.Duration
	DomainBack time.Duration
	// DomainSettled ends the period whose requests count as affected by the evacuation and the return of the domain.
	DomainSettled time.Duration
	// EntryLost is when one entry is lost, and EntryReplaced when another process holds its shares.
	EntryLost     time.Duration
	EntryReplaced time.Duration
	// EntryLossEnd ends the period whose false rejections are attributed to the lost entry.
	EntryLossEnd time.Duration
	End          time.Duration
}

// FullPlan is the plan of docs/measurements.md.
func FullPlan(seed uint64) Plan {
	return Plan{
		Seed:            seed,
		WarmupEnd:       100 * time.Second,
		PopularityShift: 200 * time.Second,
		ColdStarts:      300 * time.Second,
		DomainOut:       420 * time.Second,
		DomainBack:      520 * time.Second,
		DomainSettled:   600 * time.Second,
		EntryLost:       700 * time.Second,
		EntryReplaced:   720 * time.Second,
		EntryLossEnd:    760 * time.Second,
		End:             900 * time.Second,
	}
}

// BurstyPlan is the full plan with an account that exceeds its rate in bursts.
func BurstyPlan(seed uint64) Plan {
	plan := FullPlan(seed)
	plan.GreedyPause = 9 * time.Second

	return plan
}

// ShortPlan is a plan for tests.
func ShortPlan(seed uint64) Plan {
	return Plan{
		Seed:            seed,
		WarmupEnd:       60 * time.Second,
		PopularityShift: 90 * time.Second,
		ColdStarts:      110 * time.Second,
		DomainOut:       140 * time.Second,
		DomainBack:      180 * time.Second,
		DomainSettled:   230 * time.Second,
		EntryLost:       240 * time.Second,
		EntryReplaced:   260 * time.Second,
		EntryLossEnd:    290 * time.Second,
		End:             300 * time.Second,
	}
}

func (p Plan) timeAt(since time.Duration) time.Time {
	return startTime.Add(since)
}

package policy

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Measurement is the value of one metric under one policy.
type Measurement struct {
	Policy string
	Metric string
	Value  float64
	Unit   string
}

// Measure runs the policies on the same arrivals and returns the measurements in the order of the policies.
func Measure(plan Plan, policies ...Policy) []Measurement {
	list := drawArrivals(plan)

	var all []Measurement

	for _, policy := range policies {
		f := newFleet(plan, policy)
		f.run(list)
		all = append(all, f.measurements()...)
	}

	return all
}

// Print writes one line for each measurement: policy, metric, value and unit.
func Print(out io.Writer, measurements []Measurement) error {
	for _, one := range measurements {
		if _, err := fmt.Fprintf(out, "%s %s %.3f %s\n", one.Policy, one.Metric, one.Value, one.Unit); err != nil {
			return err
		}
	}

	return nil
}

const (
	percent = 100
	// fullBatchFactor is the ratio of the time of a step with a full batch to stepTime.
	fullBatchFactor = 1 + stepGrowth*batchSize
)

func (f *fleet) measurements() []Measurement {
	plan := f.plan
	afterWarmup := f.arrivedBetween(plan.WarmupEnd, plan.End)
	normal := append(f.arrivedBetween(plan.WarmupEnd, plan.EntryLost), f.arrivedBetween(plan.EntryLossEnd, plan.End)...)
	entryLost := f.arrivedBetween(plan.EntryLost, plan.EntryLossEnd)
	domainOut := f.arrivedBetween(plan.DomainOut, plan.DomainSettled)
	before := f.arrivedBetween(plan.WarmupEnd, plan.DomainOut)
	generations := filter(afterWarmup, func(r *request) bool { return r.adapter != "" && r.charged != nil })
	stalled := filter(generations, func(r *request) bool { return r.stalled })
	waits := secondsUntil(stalled, func(r *request) (time.Time, bool) { return r.loadedAt, !r.loadedAt.IsZero() })
	share, slowest := f.worstAccount(afterWarmup)

	values := []struct {
		name  string
		value float64
		unit  string
	}{
		{"stalls", percentage(len(stalled), len(generations)), "%"},
		{"stall_p50", quantile(waits, 0.5), "s"},
		{"stall_p95", quantile(waits, 0.95), "s"},
		{"stall_p99", quantile(waits, 0.99), "s"},
		{"batch_efficiency", f.batchEfficiency(), "%"},
		{"worst_account", share, "%"},
		{"worst_account_ttft_p99", slowest, "s"},
		{"wrongful_refusals", falseRejectionPercentage(normal), "%"},
		{"wrongful_refusals_others", falseRejectionPercentage(withoutGreedyAccount(normal)), "%"},
		{"wrongful_refusals_entry_lost", falseRejectionPercentage(entryLost), "%"},
		{"wrongful_refusals_entry_lost_others", falseRejectionPercentage(withoutGreedyAccount(entryLost)), "%"},
		{"success", successPercentage(afterWarmup), "%"},
		{"success_before", successPercentage(before), "%"},
		{"success_domain", successPercentage(domainOut), "%"},
		{"ttft_p99_before", ttftP99(before), "s"},
		{"ttft_p99_domain", ttftP99(domainOut), "s"},
		{"store_loads", float64(f.store.totalLoads) / plan.End.Seconds(), "1/s"},
		{"store_transit", float64(f.store.maxActiveLoads), "loads"},
		{"envelope_excess", f.envelopeExcess(), "tokens"},
	}

	result := make([]Measurement, 0, len(values))
	for _, one := range values {
		result = append(result, Measurement{f.policy.Name, one.name, one.value, one.unit})
	}

	return result
}

// arrivedBetween returns the requests that arrived in a period of the run, without those that were in flight at the lost
// entry or could still be running at the end.
func (f *fleet) arrivedBetween(from, to time.Duration) []*request {
	start := f.plan.timeAt(from)
	end := f.plan.timeAt(min(to, f.plan.End-generationTimeout))

	return filter(f.requests, func(r *request) bool {
		return !r.at.Before(start) && r.at.Before(end) && r.outcome != lostWithEntry
	})
}

func filter(list []*request, keep func(*request) bool) []*request {
	var found []*request

	for _, r := range list {
		if keep(r) {
			found = append(found, r)
		}
	}

	return found
}

func percentage(count, of int) float64 {
	return percent * float64(count) / float64(max(of, 1))
}

// secondsUntil returns the sorted times from the arrival of requests to timeOf, in seconds. It omits requests for which timeOf
// returns false.
func secondsUntil(list []*request, timeOf func(*request) (time.Time, bool)) []float64 {
	var found []float64

	for _, r := range list {
		if at, ok := timeOf(r); ok {
			found = append(found, at.Sub(r.at).Seconds())
		}
	}

	slices.Sort(found)

	return found
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}

	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func ttftP99(list []*request) float64 {
	return quantile(secondsUntil(list, func(r *request) (time.Time, bool) {
		return r.firstTokenAt, r.adapter != "" && !r.firstTokenAt.IsZero()
	}), 0.99)
}

// idealAdmits reports whether an ideal bucket admits the request.
func idealAdmits(r *request) bool {
	return r.outcome != rateLimited || r.falselyRejected
}

func successPercentage(list []*request) float64 {
	admissible := filter(list, idealAdmits)
	return percentage(len(filter(admissible, func(r *request) bool { return r.outcome == completed })), len(admissible))
}

func falseRejectionPercentage(list []*request) float64 {
	return percentage(len(filter(list, func(r *request) bool { return r.falselyRejected })), len(list))
}

// withoutGreedyAccount returns the requests of the accounts that stay within their rate on average.
func withoutGreedyAccount(list []*request) []*request {
	return filter(list, func(r *request) bool { return r.account != greedyAccount })
}

// worstAccount returns the lowest percentage of its entitled tokens that any account got, and the highest p99 time to first
// token of any account.
func (f *fleet) worstAccount(list []*request) (share, slowest float64) {
	share = percent

	for account := range f.accounts {
		own := filter(list, func(r *request) bool { return r.account == account && idealAdmits(r) })

		var entitledTokens, servedTokens int64

		for _, r := range own {
			entitledTokens += r.usedTokens()

			if r.outcome == completed {
				servedTokens += r.usedTokens()
			}
		}

		share = min(share, percent*float64(servedTokens)/float64(max(entitledTokens, 1)))
		slowest = max(slowest, ttftP99(own))
	}

	return share, slowest
}

// batchEfficiency returns the tokens per busy second of the engines as a percentage of those with full batches.
func (f *fleet) batchEfficiency() float64 {
	var totalSteps, busySeconds float64

	for _, one := range f.servers[:models] {
		one.engine.advance()
		totalSteps += one.engine.totalSteps
		busySeconds += one.engine.busyTime.Seconds()
	}

	return percent * totalSteps / busySeconds * stepTime.Seconds() * fullBatchFactor / batchSize
}

// envelopeExcess returns the largest excess of any account over its rate and burst in any window, in tokens.
func (f *fleet) envelopeExcess() float64 {
	// rounding covers the rounding errors of sums of fractions of tokens.
	const rounding = 1e-3

	largest := 0.0

	for i := range f.accounts {
		own := filter(f.requests, func(r *request) bool { return r.account == i && r.spentTokens > 0 })
		slices.SortStableFunc(own, func(a, b *request) int { return a.admittedAt.Compare(b.admittedAt) })

		level, at := 0.0, startTime

		for _, r := range own {
			level = max(0, level-accountRate(i)*r.admittedAt.Sub(at).Seconds()) + float64(r.spentTokens)
			at = r.admittedAt
			largest = max(largest, level-float64(accountBurst(i)))
		}
	}

	if largest < rounding {
		return 0
	}

	return largest
}

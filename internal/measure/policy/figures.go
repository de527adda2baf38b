package policy

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Figure is one measured value of one policy.
type Figure struct {
	Policy  string
	Measure string
	Value   float64
	Unit    string
}

// Measure runs the policies on the same arrivals.
func Measure(plan Plan, policies ...Policy) []Figure {
	list := arrivals(plan)

	var figures []Figure

	for _, policy := range policies {
		f := newFleet(plan, policy)
		f.run(list)
		figures = append(figures, f.figures()...)
	}

	return figures
}

// Print writes one line for each figure: policy, measure, value and unit.
func Print(out io.Writer, figures []Figure) error {
	for _, one := range figures {
		if _, err := fmt.Fprintf(out, "%s %s %.3f %s\n", one.Policy, one.Measure, one.Value, one.Unit); err != nil {
			return err
		}
	}

	return nil
}

const (
	percent = 100
	// full is the factor of one step with a full batch.
	full = 1 + stepGrowth*batch
)

func (f *fleet) figures() []Figure {
	plan := f.plan
	counted := f.between(plan.Warm, plan.End)
	calm := append(f.between(plan.Warm, plan.Lost), f.between(plan.Regular, plan.End)...)
	short := f.between(plan.Lost, plan.Regular)
	away := f.between(plan.Out, plan.Settled)
	before := f.between(plan.Warm, plan.Out)
	generations := where(counted, func(r *request) bool { return r.adapter != "" && r.paid != nil })
	stalled := where(generations, func(r *request) bool { return r.stalled })
	waits := spans(stalled, func(r *request) (time.Time, bool) { return r.loaded, !r.loaded.IsZero() })
	share, slowest := f.worst(counted)

	values := []struct {
		name  string
		value float64
		unit  string
	}{
		{"stalls", percentage(len(stalled), len(generations)), "%"},
		{"stall_p50", quantile(waits, 0.5), "s"},
		{"stall_p95", quantile(waits, 0.95), "s"},
		{"stall_p99", quantile(waits, 0.99), "s"},
		{"batch_efficiency", f.efficiency(), "%"},
		{"worst_account", share, "%"},
		{"worst_account_ttft_p99", slowest, "s"},
		{"wrongful_refusals", wrongful(calm), "%"},
		{"wrongful_refusals_others", wrongful(others(calm)), "%"},
		{"wrongful_refusals_entry_lost", wrongful(short), "%"},
		{"wrongful_refusals_entry_lost_others", wrongful(others(short)), "%"},
		{"success", success(counted), "%"},
		{"success_before", success(before), "%"},
		{"success_domain", success(away), "%"},
		{"ttft_p99_before", firsts(before), "s"},
		{"ttft_p99_domain", firsts(away), "s"},
		{"store_loads", float64(f.store.loads) / plan.End.Seconds(), "1/s"},
		{"store_transit", float64(f.store.most), "loads"},
		{"envelope_excess", f.excess(), "tokens"},
	}

	figures := make([]Figure, 0, len(values))
	for _, one := range values {
		figures = append(figures, Figure{f.policy.Name, one.name, one.value, one.unit})
	}

	return figures
}

// between returns the requests that arrived in a part of the run, without those that were under way at the lost entry or
// could still be running at the end.
func (f *fleet) between(from, to time.Duration) []*request {
	start := f.plan.moment(from)
	end := f.plan.moment(min(to, f.plan.End-timeout))

	return where(f.requests, func(r *request) bool {
		return !r.at.Before(start) && r.at.Before(end) && r.outcome != dropped
	})
}

func where(list []*request, wanted func(*request) bool) []*request {
	var found []*request

	for _, r := range list {
		if wanted(r) {
			found = append(found, r)
		}
	}

	return found
}

func percentage(count, of int) float64 {
	return percent * float64(count) / float64(max(of, 1))
}

// spans returns the sorted times from arrival to a moment, in seconds.
func spans(list []*request, moment func(*request) (time.Time, bool)) []float64 {
	var found []float64

	for _, r := range list {
		if at, ok := moment(r); ok {
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

func firsts(list []*request) float64 {
	return quantile(spans(list, func(r *request) (time.Time, bool) {
		return r.first, r.adapter != "" && !r.first.IsZero()
	}), 0.99)
}

// entitled requests are those that an ideal bucket admits.
func entitled(r *request) bool {
	return r.outcome != limited || r.wrongful
}

func success(list []*request) float64 {
	due := where(list, entitled)
	return percentage(len(where(due, func(r *request) bool { return r.outcome == served })), len(due))
}

func wrongful(list []*request) float64 {
	return percentage(len(where(list, func(r *request) bool { return r.wrongful })), len(list))
}

// others are the requests of the accounts that stay within their rate on average.
func others(list []*request) []*request {
	return where(list, func(r *request) bool { return r.account != greedy })
}

// worst returns the least share of entitled tokens that an account got, and the highest p99 time to first token.
func (f *fleet) worst(list []*request) (share, slowest float64) {
	share = percent

	for account := range f.accounts {
		own := where(list, func(r *request) bool { return r.account == account && entitled(r) })

		var due, got int64

		for _, r := range own {
			due += r.use()

			if r.outcome == served {
				got += r.use()
			}
		}

		share = min(share, percent*float64(got)/float64(max(due, 1)))
		slowest = max(slowest, firsts(own))
	}

	return share, slowest
}

// efficiency compares the tokens per busy second of the engines with those of full batches.
func (f *fleet) efficiency() float64 {
	var steps, busy float64

	for _, one := range f.servers[:models] {
		one.engine.advance()
		steps += one.engine.steps
		busy += one.engine.busy.Seconds()
	}

	return percent * steps / busy * stepTime.Seconds() * full / batch
}

// excess returns the largest excess of any account over its rate and burst in any window, in tokens.
func (f *fleet) excess() float64 {
	// rounding covers the sums of fractions of tokens.
	const rounding = 1e-3

	most := 0.0

	for i := range f.accounts {
		own := where(f.requests, func(r *request) bool { return r.account == i && r.spent > 0 })
		slices.SortStableFunc(own, func(a, b *request) int { return a.admitted.Compare(b.admitted) })

		level, at := 0.0, epoch

		for _, r := range own {
			level = max(0, level-rate(i)*r.admitted.Sub(at).Seconds()) + float64(r.spent)
			at = r.admitted
			most = max(most, level-float64(burst(i)))
		}
	}

	if most < rounding {
		return 0
	}

	return most
}

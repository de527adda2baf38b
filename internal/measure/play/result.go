package play

import (
	"math"
	"slices"
	"time"
)

// outcome is how a request ended.
type outcome int

const (
	outcomeOnTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
)

// window is the time over which the worst share of requests on time is taken.
const window = 2 * time.Second

// Result is what the callers of one run got. Shares are parts of all requests.
type Result struct {
	Requests int
	OnTime   float64
	Late     float64
	Refused  float64
	// Failed counts answers that were broken off.
	Failed float64
	// Worst is the lowest share on time of the requests that arrived in one window.
	Worst float64
	// Median and Tail are the 50th and 99th percentile of the time to the first output, of served requests.
	Median time.Duration
	Tail   time.Duration
	// Fetches is the number of adapters that were brought from the weight store.
	Fetches int
	// Windows holds the share on time by the time of arrival.
	Windows []float64

	counts [outcomeFailed + 1]int
	firsts []time.Duration
	ended  []ended
}

type ended struct {
	arrived time.Time
	onTime  bool
}

func (r *Result) add(c *call, outcome outcome) {
	r.counts[outcome]++
	r.ended = append(r.ended, ended{arrived: c.arrived, onTime: outcome == outcomeOnTime})

	if outcome == outcomeOnTime || outcome == outcomeLate {
		r.firsts = append(r.firsts, c.first.Sub(c.arrived))
	}
}

// close works the figures out.
func (r *Result) close(load *Load) {
	r.Requests = len(r.ended)
	all := float64(max(r.Requests, 1))
	r.OnTime = float64(r.counts[outcomeOnTime]) / all
	r.Late = float64(r.counts[outcomeLate]) / all
	r.Refused = float64(r.counts[outcomeRefused]) / all
	r.Failed = float64(r.counts[outcomeFailed]) / all

	slices.Sort(r.firsts)
	r.Median = quantile(r.firsts, 0.5)
	r.Tail = quantile(r.firsts, 0.99)
	r.Windows = windows(r.ended, load.Length)
	r.Worst = slices.Min(r.Windows)
}

// windows returns the share on time of each window; a window without requests counts as served.
func windows(all []ended, length time.Duration) []float64 {
	count := int(math.Ceil(float64(length) / float64(window)))
	asked, served := make([]float64, count), make([]float64, count)

	for _, one := range all {
		at := min(int(one.arrived.Sub(start)/window), count-1)
		asked[at]++

		if one.onTime {
			served[at]++
		}
	}

	shares := make([]float64, count)
	for i := range shares {
		shares[i] = 1
		if asked[i] > 0 {
			shares[i] = served[i] / asked[i]
		}
	}

	return shares
}

func quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}

	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

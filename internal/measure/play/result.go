package play

import (
	"cmp"
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

// windowLength is the length of the windows for which the share of requests on time is computed.
const windowLength = 2 * time.Second

// Result describes the outcome of one run for its clients. Shares are fractions of all requests.
type Result struct {
	Requests int
	OnTime   float64
	// Late is the share that was late, and LatePause the part of it whose first event was on time.
	Late      float64
	LatePause float64
	Refused   float64
	// Failed is the share of requests whose output was cut off.
	Failed float64
	// WorstWindow is the lowest share of requests on time among the windows.
	WorstWindow float64
	// MedianTTFT and P99TTFT are the 50th and 99th percentile of the time to the first output token, over the completed requests.
	MedianTTFT time.Duration
	P99TTFT    time.Duration
	// Fetches is the number of adapters that were fetched from the weight store.
	Fetches int
	// Windows holds the share of requests on time for each window of arrival times.
	Windows []float64
	// Kinds holds the outcome of each kind by its name.
	Kinds map[string]*KindResult

	counts             [outcomeFailed + 1]int
	timesToFirstOutput []time.Duration
	requests           []requestResult
}

// KindResult is the outcome of the requests of one kind, as shares of them.
type KindResult struct {
	Requests                      int
	OnTime, Late, Refused, Failed float64
	// Served is the share that was completed, and ServedLargest that of the largest tenth by prompt.
	Served, ServedLargest float64
}

type requestResult struct {
	kind         string
	firstSent    time.Time
	promptTokens int64
	// latePause is true if the request was late only because of a pause.
	latePause bool
	outcome   outcome
}

func (r *Result) record(c *clientRequest, outcome outcome) {
	r.counts[outcome]++
	r.requests = append(r.requests, requestResult{kind: c.kind.Name, firstSent: c.firstSent, promptTokens: c.promptTokens, outcome: outcome, latePause: outcome == outcomeLate && c.beganOnTime()})

	if outcome == outcomeOnTime || outcome == outcomeLate {
		r.timesToFirstOutput = append(r.timesToFirstOutput, c.firstOutput.Sub(c.firstSent))
	}
}

// compute sets the exported fields after the last request.
func (r *Result) compute(workload *Workload) {
	r.Requests = len(r.requests)
	total := float64(max(r.Requests, 1))
	r.OnTime = float64(r.counts[outcomeOnTime]) / total
	r.Late = float64(r.counts[outcomeLate]) / total
	r.LatePause = float64(countIf(r.requests, func(one requestResult) bool { return one.latePause })) / total
	r.Refused = float64(r.counts[outcomeRefused]) / total
	r.Failed = float64(r.counts[outcomeFailed]) / total

	slices.Sort(r.timesToFirstOutput)
	r.MedianTTFT = quantile(r.timesToFirstOutput, 0.5)
	r.P99TTFT = quantile(r.timesToFirstOutput, 0.99)
	r.Windows = onTimeByWindow(r.requests, workload.Length)
	r.WorstWindow = slices.Min(r.Windows)
	r.Kinds = map[string]*KindResult{}

	for i := range workload.Kinds {
		name := workload.Kinds[i].Name
		r.Kinds[name] = newKindResult(slices.DeleteFunc(slices.Clone(r.requests), func(one requestResult) bool { return one.kind != name }))
	}
}

func countIf(requests []requestResult, accept func(one requestResult) bool) int {
	count := 0

	for _, one := range requests {
		if accept(one) {
			count++
		}
	}

	return count
}

func newKindResult(requests []requestResult) *KindResult {
	slices.SortStableFunc(requests, func(a, b requestResult) int { return cmp.Compare(a.promptTokens, b.promptTokens) })

	share := func(among []requestResult, outcomes ...outcome) float64 {
		count := countIf(among, func(one requestResult) bool { return slices.Contains(outcomes, one.outcome) })

		return float64(count) / float64(max(len(among), 1))
	}

	return &KindResult{
		Requests: len(requests),
		OnTime:   share(requests, outcomeOnTime), Late: share(requests, outcomeLate), Refused: share(requests, outcomeRefused), Failed: share(requests, outcomeFailed),
		Served: share(requests, outcomeOnTime, outcomeLate), ServedLargest: share(requests[len(requests)*9/10:], outcomeOnTime, outcomeLate),
	}
}

// onTimeByWindow returns the share of requests on time in each window; 1 for a window without requests.
func onTimeByWindow(results []requestResult, duration time.Duration) []float64 {
	count := int(math.Ceil(float64(duration) / float64(windowLength)))
	total, onTimeCount := make([]float64, count), make([]float64, count)

	for _, result := range results {
		index := min(int(result.firstSent.Sub(startTime)/windowLength), count-1)
		total[index]++

		if result.outcome == outcomeOnTime {
			onTimeCount[index]++
		}
	}

	shares := make([]float64, count)
	for i := range shares {
		shares[i] = 1
		if total[i] > 0 {
			shares[i] = onTimeCount[i] / total[i]
		}
	}

	return shares
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}

	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

package queue

import "time"

// rateSmoothing is the weight of the newest completion in the exponential moving average, which is thus dominated by about
// the last 20 completions.
const rateSmoothing = 0.1

// Rate is a moving average of the speed at which one running request is served, in tokens of cost per second. The zero
// value has no observations.
type Rate struct {
	average float64
}

// Observe adds a completed request to the average.
func (r *Rate) Observe(cost int64, service time.Duration) {
	if cost <= 0 || service <= 0 {
		return
	}

	sample := float64(cost) / service.Seconds()

	if r.average == 0 {
		r.average = sample
		return
	}

	r.average += rateSmoothing * (sample - r.average)
}

// Total returns the service rate of a number of requests that run concurrently; 0 if nothing has been observed.
func (r *Rate) Total(parallel int) float64 {
	return r.average * float64(parallel)
}

package queue

import "time"

// rateGain is the weight of the newest completion in the moving average; about the last 20 completions count.
const rateGain = 0.1

// Rate observes how fast one running request is served, in tokens of cost per second. The zero value has seen nothing.
type Rate struct {
	average float64
}

// Observe adds a completion.
func (r *Rate) Observe(cost int64, service time.Duration) {
	if cost <= 0 || service <= 0 {
		return
	}

	sample := float64(cost) / service.Seconds()

	if r.average == 0 {
		r.average = sample
		return
	}

	r.average += rateGain * (sample - r.average)
}

// Total returns the service rate of a number of requests that run at once; 0 if nothing was observed.
func (r *Rate) Total(parallel int) float64 {
	return r.average * float64(parallel)
}

package ramp

const (
	// recentGain is the weight of the newest sample in the recent average.
	recentGain = 0.3
	// baselineGain is the weight of the newest sample in the baseline, which changes slowly.
	baselineGain = 0.02
	// jumpFactor is the ratio of recent to baseline that counts as cold; a full batch slows an engine by less than this.
	jumpFactor = 3
	// calmFactor is the ratio below which a jump is over.
	calmFactor = 1.5
	// learnSamples is the number of samples before the baseline is trusted.
	learnSamples = 8
)

// jump compares recent service times per token with a moving baseline.
type jump struct {
	samples  int
	recent   float64
	baseline float64
	// jumped holds the baseline while the slow phase lasts, so that it is not learned as normal and not reported twice.
	jumped bool
}

// observe takes a sample in seconds per token and reports whether a jump begins.
func (j *jump) observe(sample float64) bool {
	j.samples++

	if j.samples == 1 {
		j.recent = sample
		j.baseline = sample

		return false
	}

	j.recent += recentGain * (sample - j.recent)

	if j.jumped {
		j.jumped = j.recent > calmFactor*j.baseline
		return false
	}

	if j.samples > learnSamples && j.recent > jumpFactor*j.baseline {
		j.jumped = true
		return true
	}

	// While few samples are known the baseline is their plain mean.
	gain := max(baselineGain, 1/float64(j.samples))
	j.baseline += gain * (sample - j.baseline)

	return false
}

// settle takes the recent speed as normal, once the limit has grown to its ceiling in spite of it.
func (j *jump) settle() {
	if !j.jumped {
		return
	}

	j.jumped = false
	j.baseline = j.recent
}

package ramp

const (
	// recentSmoothing is the weight of the newest sample in the recent average.
	recentSmoothing = 0.3
	// baselineSmoothing is the weight of the newest sample in the baseline, which changes slowly.
	baselineSmoothing = 0.02
	// slowdownRatio is the ratio of recent average to baseline above which the engine counts as cold; a full batch slows an
	// engine by less than this.
	slowdownRatio = 3
	// recoveryRatio is the ratio at or below which a slowdown is over.
	recoveryRatio = 1.5
	// minSamples is the number of samples before the baseline is trusted; no slowdown is reported until then.
	minSamples = 8
)

// slowdownDetector compares the recent service time per token with a moving baseline.
type slowdownDetector struct {
	samples int
	// recent and baseline are moving averages, in seconds per token.
	recent   float64
	baseline float64
	// slow is set during a slowdown. The baseline does not change meanwhile, so that the slowdown neither becomes the
	// baseline nor is reported twice.
	slow bool
}

// observe adds a sample in seconds per token and reports whether a slowdown begins.
func (d *slowdownDetector) observe(sample float64) bool {
	d.samples++

	if d.samples == 1 {
		d.recent = sample
		d.baseline = sample

		return false
	}

	d.recent += recentSmoothing * (sample - d.recent)

	if d.slow {
		d.slow = d.recent > recoveryRatio*d.baseline
		return false
	}

	if d.samples > minSamples && d.recent > slowdownRatio*d.baseline {
		d.slow = true
		return true
	}

	// The baseline is the arithmetic mean of the first samples.
	gain := max(baselineSmoothing, 1/float64(d.samples))
	d.baseline += gain * (sample - d.baseline)

	return false
}

// acceptBaseline ends a slowdown and takes the recent average as the baseline. It is called when the limit has grown to its
// ceiling in spite of the slowdown.
func (d *slowdownDetector) acceptBaseline() {
	if !d.slow {
		return
	}

	d.slow = false
	d.baseline = d.recent
}

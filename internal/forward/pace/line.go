package pace

const (
	// lineDecay is the weight that earlier observations keep with each new one: the last fifty or so count.
	lineDecay = 0.98
	// minVariation is the least variance of the sizes, as a fraction of the square of their mean, from which the slope is determined.
	minVariation = 0.04
)

// line is a straight line through observations, by least squares with weights that decay. It separates the prefill time per token from the
// constant overhead of each request: a mean time per token would be too high for large prompts.
type line struct {
	weight, sumX, sumY, sumXX, sumXY float64
}

// observe adds an observation.
func (l *line) observe(x, y float64) {
	l.weight = l.weight*lineDecay + 1
	l.sumX = l.sumX*lineDecay + x
	l.sumY = l.sumY*lineDecay + y
	l.sumXX = l.sumXX*lineDecay + x*x
	l.sumXY = l.sumXY*lineDecay + x*y
}

// fit returns the value at 0, which is between 0 and most, and the slope. As long as the observations do not determine the value at 0, it
// is the assumed one. There is at least one observation.
func (l *line) fit(assumed, most float64) (atZero, slope float64) {
	meanX, meanY := l.sumX/l.weight, l.sumY/l.weight
	variance := l.sumXX/l.weight - meanX*meanX
	atZero = assumed

	if variance > minVariation*meanX*meanX {
		slope = (l.sumXY/l.weight - meanX*meanY) / variance
		atZero = min(max(meanY-slope*meanX, 0), most)
	}

	// A least-squares line goes through the mean.
	return atZero, max(meanY-atZero, 0) / meanX
}

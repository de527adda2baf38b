package pace

import (
	"slices"
	"time"
)

const (
	// chunkEvidence is the evidence from which the time between two events during a prefill is known, and intervalEvidence the most that one
	// interval gives, so that at least two are needed. The evidence of an interval is the time of the prefill divided by that of the interval.
	chunkEvidence    = 2.4
	intervalEvidence = 2.0
	// chunkReserve is the longest time that is expected between two events during a prefill, as a percentage of the known one.
	chunkReserve = 105
	// longerShare and shorterShare are the weights of one more observation that is longer or shorter than the known time: it is to be close to the
	// longest one, since some events hold three tokens and some four. A shorter one counts less if the prefill was hardly longer.
	longerShare  = 0.5
	shorterShare = 0.1
	// contradiction is the time between two events during a prefill, relative to the known one, from which the known one is wrong.
	contradiction = 1.25
	// minShare is the least share of an event that must have been made within the prefill. Servers that prefill a large chunk make the remaining
	// tokens of an event in quick steps before or after it, so that the pause is not several times the chunk.
	minShare = 0.5
	// shortestEventShare is the shortest time between two events as a share of the mean: some events hold three tokens and some four.
	shortestEventShare = 0.75
	// Times between events are averaged in groups of at least groupEvents events and groupPeriod. With each group, the lowest mean is raised by
	// groupRise at most. Half a second has five groups, so that a moment of slowness raises it little.
	groupEvents = 4
	groupPeriod = 100 * time.Millisecond
	groupRise   = 1.01
	// defaultFastestEvent is used as long as there is no mean; the time between two events is longer at any server.
	defaultFastestEvent = defaultEventTime / 2
	// minEventRatio is the time between two events during a prefill, relative to that without one, from which the server prefilled between them. A
	// prompt may also wait at the server.
	minEventRatio = 1.25
	// maxPrefillRatio is the time of a prefill, relative to the usual one, up to which its intervals are evidence. A longer one was slow in part,
	// or waited in part.
	maxPrefillRatio = 1.5
	// sameStep is the time in which events of one step of the server arrive.
	sameStep = 3 * time.Millisecond
)

// PrefillSpan is the prefill of one prompt, from the send of its request to its first event. No other prompt was prefilled meanwhile.
type PrefillSpan struct {
	Tokens       int64
	Began, Ended time.Time
}

func (p PrefillSpan) took() time.Duration {
	return p.Ended.Sub(p.Began)
}

// overlap returns the part of an interval that lies within the prefill.
func (p PrefillSpan) overlap(interval Interval) time.Duration {
	return min(interval.took(), p.took(), interval.Ended.Sub(p.Began), p.Ended.Sub(interval.Began))
}

// Interval is the time from one event of a stream to the next.
type Interval struct {
	Began, Ended time.Time
}

func (i Interval) took() time.Duration {
	return i.Ended.Sub(i.Began)
}

// chunks is what is known about the time between two events of a stream while the server prefills, at the slowness of 100 percent. A server prefills
// at most one chunk in a step, and makes an event in a few steps.
type chunks struct {
	// time is close to the longest of the latest times, and the longest of all until the evidence suffices. evidence is at most chunkEvidence.
	time     time.Duration
	evidence float64
	// lastEnd is the end of the last interval that gave evidence.
	lastEnd time.Time
}

// raise records that two events during a prefill were at least the given time apart.
func (c *chunks) raise(took time.Duration) {
	if !c.known() || float64(took) > float64(c.time)*contradiction {
		c.time = max(c.time, took)
	}
}

// observe records an interval that ended within a prefill and would have taken the given time if it had been within it as a whole.
func (c *chunks) observe(took time.Duration, evidence float64, end time.Time) {
	if end.Sub(c.lastEnd) <= sameStep {
		return
	}

	share := longerShare
	if took < c.time {
		share = shorterShare * min(evidence-1, 1)
	}

	if c.known() {
		c.time += time.Duration(share * float64(took-c.time))
	} else {
		c.time = max(c.time, took)
	}

	c.evidence = min(c.evidence+min(evidence, intervalEvidence), chunkEvidence)
	c.lastEnd = end
}

func (c *chunks) known() bool {
	return c.evidence >= chunkEvidence
}

// fastestEvent estimates the time between two events while no prompt is prefilled, at the fastest pace of the server. It does not use the slowness
// that the server states: a statement may be too old for a single event.
type fastestEvent struct {
	// lowest is the lowest mean of a group of events; 0 if there was none.
	lowest time.Duration
	// sum is the total time between the count events since began, which are the present group.
	sum   time.Duration
	count int
	began time.Time
}

func (f *fastestEvent) observe(now time.Time, took time.Duration) {
	if f.count == 0 {
		f.began = now
	}

	f.sum += took
	f.count++

	if f.count < groupEvents || now.Sub(f.began) < groupPeriod {
		return
	}

	mean := f.sum / time.Duration(f.count)
	if raised := time.Duration(float64(f.lowest) * groupRise); f.lowest > 0 {
		mean = min(mean, raised)
	}

	*f = fastestEvent{lowest: mean}
}

func (f *fastestEvent) time() time.Duration {
	if f.lowest == 0 {
		return defaultFastestEvent
	}

	return f.lowest
}

// ObserveIntervals records intervals between events of streams that overlap a prefill which has ended. It is called before the prefill is passed
// to ObservePrefill, so that a prompt which waited at the server does not seem to be prefilled at the usual pace.
//
// An interval gives two bounds for the time between two events during a prefill: that time may be as long as the overlap, and it is at most the
// overlap, extended by what the server would have taken within the prefill for the part of the event that it made outside.
func (e *Estimator) ObserveIntervals(span PrefillSpan, intervals ...Interval) {
	if span.Tokens < minPromptTokens || span.took() <= 0 {
		return
	}

	expected := e.UsualPrefill().Time(span.Tokens)
	waited := slices.ContainsFunc(intervals, func(i Interval) bool { return e.isUndisturbed(span, i) })
	steady := !waited && float64(span.took()) <= float64(expected)*maxPrefillRatio

	for _, interval := range intervals {
		// A longer prefill than usual was slow, and so was the interval.
		overlap := float64(span.overlap(interval)) * min(float64(expected)/float64(span.took()), 1)
		e.chunks.raise(e.atUsual(time.Duration(overlap)))

		if steady {
			e.observeExtended(span, interval)
		}
	}
}

// observeExtended extends the overlap of an interval with a prefill to a whole event, and records the result if the interval is evidence.
func (e *Estimator) observeExtended(span PrefillSpan, interval Interval) {
	overlap := span.overlap(interval)

	// The event may be from the step that ended the prefill.
	if overlap <= 0 || span.Ended.Sub(interval.Ended) < e.undisturbedTime(span) {
		return
	}

	outside := interval.took() - overlap
	if e.leastShareWithin(outside) >= minShare && e.isDelayed(span, interval) {
		whole := float64(overlap) / e.usualShareWithin(outside)
		e.chunks.observe(e.atUsual(time.Duration(whole)), float64(span.took())/float64(interval.took()), interval.Ended)
	}
}

// isDelayed reports whether the time between two events was longer than without a prefill.
func (e *Estimator) isDelayed(span PrefillSpan, interval Interval) bool {
	return float64(interval.took()) >= float64(e.undisturbedTime(span))*minEventRatio
}

// undisturbedTime returns the time between two events without a prefill, at the pace in which a prefill ended or the fastest one if that is lower:
// the server may have been slow only for the last statement.
func (e *Estimator) undisturbedTime(span PrefillSpan) time.Duration {
	return max(e.EventTime(span.Ended), e.fastestEvent.time())
}

// isUndisturbed reports whether an interval lies within the prefill and was no longer than without one. The prompt waited at the server then.
func (e *Estimator) isUndisturbed(span PrefillSpan, interval Interval) bool {
	return span.overlap(interval) == interval.took() && !e.isDelayed(span, interval)
}

// atUsual converts a duration at the usual pace of the server to one at the slowness of 100 percent.
func (e *Estimator) atUsual(took time.Duration) time.Duration {
	return took * Usual / time.Duration(e.usual())
}

// usualShareWithin returns the share of an event of the mean length that was made within a prefill, if the server took the given time for the rest
// of it at its fastest pace.
func (e *Estimator) usualShareWithin(outside time.Duration) float64 {
	return 1 - float64(outside)/float64(e.fastestEvent.time())
}

// leastShareWithin is usualShareWithin for the shortest events.
func (e *Estimator) leastShareWithin(outside time.Duration) float64 {
	return 1 - float64(outside)/(shortestEventShare*float64(e.fastestEvent.time()))
}

// ChunkedEventTime returns the longest time that is expected between two events of a stream while a prompt is prefilled, however long that
// takes; false if it is not known. A server that prefills a prompt in small chunks makes events between them.
func (e *Estimator) ChunkedEventTime(now time.Time) (time.Duration, bool) {
	return e.scale(now, e.chunks.time*chunkReserve/Usual), e.chunks.known()
}

// HasChunkedEvidence reports whether there is any evidence for the time of ChunkedEventTime, although it may not suffice.
func (e *Estimator) HasChunkedEvidence() bool {
	return e.chunks.evidence > 0
}

package pace

import (
	"slices"
	"time"
)

const (
	// chunkEvidence is the evidence from which the time between two events during a prefill is known, and intervalEvidence the most that one
	// interval gives, so that at least two count. An interval gives as much as the prefill is longer than it.
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
	// leastEventPart is the shortest time between two events as a share of the mean: some events hold three tokens and some four.
	leastEventPart = 0.75
	// The mean of at least groupEvents events within at least groupPeriod is compared with the lowest mean, which is raised by groupRise with each one.
	// A moment of slowness has few of them, and half a second is five.
	groupEvents = 4
	groupPeriod = 100 * time.Millisecond
	groupRise   = 1.01
	// defaultLeastEvent is below the time between two events of any server, as long as there is no mean.
	defaultLeastEvent = defaultEventTime / 2
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
	// time is close to the longest of the latest times, and the longest of all until the evidence suffices.
	time     time.Duration
	evidence float64
	// lastEnd is the end of the last interval that gave evidence.
	lastEnd time.Time
}

// raise records a prefill that took at least the given time between two events.
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

// leastEvents is the time between two events while no prompt is prefilled at the fastest pace of the server, without regard to what it states: a
// statement may be too old by the time of an event.
type leastEvents struct {
	lowest time.Duration
	// sum is that of count events since began.
	sum   time.Duration
	count int
	began time.Time
}

func (l *leastEvents) observe(now time.Time, took time.Duration) {
	if l.count == 0 {
		l.began = now
	}

	l.sum += took
	l.count++

	if l.count < groupEvents || now.Sub(l.began) < groupPeriod {
		return
	}

	mean := l.sum / time.Duration(l.count)
	if raised := time.Duration(float64(l.lowest) * groupRise); l.lowest > 0 {
		mean = min(mean, raised)
	}

	*l = leastEvents{lowest: mean}
}

func (l *leastEvents) time() time.Duration {
	if l.lowest == 0 {
		return defaultLeastEvent
	}

	return l.lowest
}

// ObserveIntervals records intervals between events of streams that overlap a prefill which has ended. It is called before the prefill is passed
// to ObservePrefill, so that a prompt which waited at the server does not seem to be prefilled at the usual pace.
//
// An interval that lies within the prefill in part gives two bounds: the server prefilled in the whole overlap at most, and if the event had been made
// within the prefill as a whole, it would have taken longer than the overlap by as much as the rest of the event was made outside.
func (e *Estimator) ObserveIntervals(span PrefillSpan, intervals ...Interval) {
	if span.Tokens < minPromptTokens || span.took() <= 0 {
		return
	}

	expected := e.UsualPrefill().Time(span.Tokens)
	steady := float64(span.took()) <= float64(expected)*maxPrefillRatio && !slices.ContainsFunc(intervals, func(i Interval) bool { return e.isUndisturbed(span, i) })

	for _, interval := range intervals {
		overlap := span.overlap(interval)

		// A longer prefill than usual was slow, and so was the interval.
		e.chunks.raise(e.atUsual(time.Duration(float64(overlap) * min(float64(expected)/float64(span.took()), 1))))

		// The event may be from the step that ended the prefill.
		if !steady || overlap <= 0 || span.Ended.Sub(interval.Ended) < e.undisturbedTime(span) {
			continue
		}

		outside := interval.took() - overlap
		if e.leastShare(outside) >= minShare && e.isDelayed(span, interval) {
			whole := float64(overlap) / e.usualShare(outside)
			e.chunks.observe(e.atUsual(time.Duration(whole)), float64(span.took())/float64(interval.took()), interval.Ended)
		}
	}
}

// isDelayed reports whether the time between two events was longer than without a prefill.
func (e *Estimator) isDelayed(span PrefillSpan, interval Interval) bool {
	return float64(interval.took()) >= float64(e.undisturbedTime(span))*minEventRatio
}

// undisturbedTime returns the time between two events without a prefill, at the pace in which a prefill ended or the fastest one if that is lower:
// the server may have been slow only for the last statement.
func (e *Estimator) undisturbedTime(span PrefillSpan) time.Duration {
	return max(e.EventTime(span.Ended), e.leastEvents.time())
}

// isUndisturbed reports whether an interval lies within the prefill and was no longer than without one. The prompt waited at the server then.
func (e *Estimator) isUndisturbed(span PrefillSpan, interval Interval) bool {
	return span.overlap(interval) == interval.took() && !e.isDelayed(span, interval)
}

// atUsual converts a duration at the usual pace of the server to one at the slowness of 100 percent.
func (e *Estimator) atUsual(took time.Duration) time.Duration {
	return took * Usual / time.Duration(e.usual())
}

// usualShare returns the share of an event that was made within a prefill, if the server took the given time for the rest at its usual pace.
func (e *Estimator) usualShare(outside time.Duration) float64 {
	return 1 - float64(outside)/float64(e.leastEvents.time())
}

// leastShare returns the least share for events of any length.
func (e *Estimator) leastShare(outside time.Duration) float64 {
	return 1 - float64(outside)/(leastEventPart*float64(e.leastEvents.time()))
}

// ChunkedEventTime returns the longest time that is expected between two events of a stream while a prompt is prefilled, however long that
// takes; false if it is not known. A server that prefills a prompt in small chunks makes events between them.
func (e *Estimator) ChunkedEventTime(now time.Time) (time.Duration, bool) {
	return e.scale(now, e.chunks.time*chunkReserve/Usual), e.chunks.known()
}

// IsChunkedAssumed reports whether there is any evidence for the time of ChunkedEventTime, although it may not be known.
func (e *Estimator) IsChunkedAssumed() bool {
	return e.chunks.evidence > 0
}

package schedule

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/pace"
)

const (
	// heldPeriod is the time after which a held request is checked again, if no event comes before.
	heldPeriod = 20 * time.Millisecond
	// stepSpread is the time in which the events of one step of the server arrive.
	stepSpread = 3 * time.Millisecond
	// startReserve is the period before the latest start of a request in which the weight of the streams that it may delay increases linearly. In
	// lastPeriod after it, it may delay all of them, and is checked at least once.
	startReserve = 300 * time.Millisecond
	lastPeriod   = 2 * heldPeriod
	// expiryMargin is the time between the expiry of a request and the timeout of its client, which entries leave for the prefill.
	expiryMargin = 400 * time.Millisecond
	// ownUrgencyFactor keeps the weight that a request may make late below its own, so that it makes no stream of its own urgency late.
	ownUrgencyFactor = 0.99
	// maxLateHarm bounds the weight of the streams that a request past its due time may make late, by its own weight, unless its kind or size was
	// served too seldom. Without it, each large prompt that is late already makes all streams of a busy server late too.
	maxLateHarm = 8
	// stepsPerEvent is the least number of steps of a server in which it makes the tokens of an event.
	stepsPerEvent = 3
	// maxIntervals is the number of intervals of one prefill that are kept until it ends.
	maxIntervals = 256
)

// ObserveEvent records an event of the response to a request. The first one ends its prefill; it reports whether this is the first one.
func (s *Scheduler) ObserveEvent(now time.Time, request *Request) bool {
	first := request.phase == prefilling

	switch request.phase {
	case prefilling:
		request.phase = decoding
		request.late = now.After(request.Due)
		s.endPrefill(request)
		s.observePrefillSpan(now, request)
		s.pace.ObservePrefill(now, request.InputTokens, now.Sub(request.sentAt))
		s.prefillEnd = now
		s.stalled += max(now.Sub(request.sentAt)-s.pace.EventTime(now)/stepsPerEvent, 0)
	case decoding:
		took := now.Sub(request.lastEvent)
		request.late = request.late || request.GapTarget > 0 && took > request.GapTarget

		if s.prefilling == 0 && request.lastEvent.After(s.prefillEnd) {
			s.pace.ObserveEvent(now, took)
		}

		s.observeInterval(request, pace.Interval{Began: request.lastEvent, Ended: now})
	case waiting, ended:
		return false
	}

	request.lastEvent, request.stalledBefore = now, s.stalled

	return first
}

// streamInterval is the time between two events of a stream.
type streamInterval struct {
	stream   *Request
	interval pace.Interval
}

// observeInterval records the time between two events of a stream, which may overlap the last prefill and the present one.
func (s *Scheduler) observeInterval(stream *Request, interval pace.Interval) {
	if interval.Began.Before(s.lastPrefill.Ended) {
		s.pace.ObserveIntervals(s.lastPrefill, interval)
	}

	if s.prefilling > 0 && len(s.intervals) < maxIntervals {
		s.intervals = append(s.intervals, streamInterval{stream: stream, interval: interval})
	}
}

// observePrefillSpan records the intervals that have ended within the prefill of a request, but for streams that have ended: their last events may
// hold fewer tokens.
func (s *Scheduler) observePrefillSpan(now time.Time, request *Request) {
	s.lastPrefill = pace.PrefillSpan{}

	if s.prefillAlone && s.prefilling == 0 {
		s.lastPrefill = pace.PrefillSpan{Tokens: request.InputTokens, Began: request.sentAt, Ended: now}

		within := make([]pace.Interval, 0, len(s.intervals))

		for _, observed := range s.intervals {
			if observed.stream.phase == decoding {
				within = append(within, observed.interval)
			}
		}

		s.pace.ObserveIntervals(s.lastPrefill, within...)
	}

	clear(s.intervals)
	s.intervals = s.intervals[:0]
}

// ObserveSlowness records how long work takes at the server, as it states in percent of what is usual.
func (s *Scheduler) ObserveSlowness(now time.Time, percent int) {
	s.pace.ObserveSlowness(now, percent)
}

// HeldUntil returns when Dispatch may start a request that waits only so that it does not delay streams; false if there is none.
func (s *Scheduler) HeldUntil() (time.Time, bool) {
	return s.heldUntil, s.held
}

// Recheck moves HeldUntil to when the events of one step of the server, which come nearly at once, have arrived. It is called after an event,
// and reports whether HeldUntil has changed.
func (s *Scheduler) Recheck(now time.Time) bool {
	at := now.Add(stepSpread)
	if !s.held || !at.Before(s.heldUntil) {
		return false
	}

	s.heldUntil = at

	return true
}

// harm is what a prompt does to the streams that are on time.
type harm struct {
	// running is the weight of all of them, and now that of those that are late if the prefill begins now.
	running, now float64
	// assumed is the part of now that is late also if ChunkedEventTime, for which the evidence may not suffice, is right.
	assumed float64
	// always is true if some are late whenever it begins.
	always bool
}

// delaysStreams reports whether the request is to wait because its prefill would delay streams that are on time: the server makes no event until
// a prompt is prefilled. The request is started once the weight of the streams that it makes late is allowed by allowedHarm.
func (s *Scheduler) delaysStreams(now time.Time, request *Request) bool {
	if s.policy().IgnoreGaps {
		return false
	}

	prefill := s.pace.PrefillTime(now, request.InputTokens)
	expected := s.expectedHarm(now, prefill)

	allowed := allowedHarm(now, request, prefill, expected.running)
	if s.policy().FixedHarm {
		allowed = fixedHarm(now, request, expected.running)
	} else {
		if mustStartNow(now, request, prefill) {
			// The prompt would be late otherwise, and its prefill shows whether the assumption holds.
			expected.now = expected.assumed
		}

		if !s.shares.IsOwed(s.work(request)) {
			allowed = min(allowed, maxLateHarm*weight(request.Urgency))
		}
	}

	if s.heldUrgency >= request.Urgency && (expected.now == 0 || expected.now <= allowed) {
		return false
	}

	// A less urgent prompt would take the time that the next events of the streams leave for this one.
	if !expected.always && !s.policy().FixedHarm {
		s.heldUrgency = min(s.heldUrgency, request.Urgency)
	}

	request.held = true
	s.held, s.heldUntil = true, now.Add(heldPeriod)

	return true
}

// fixedHarm returns the weight of the streams on time that a request may make late under Policy.FixedHarm.
func fixedHarm(now time.Time, request *Request, running float64) float64 {
	switch {
	case request.Expires.Sub(now) < time.Second:
		return running
	case now.After(request.Due):
		return 1
	default:
		return 0
	}
}

// allowedHarm returns the weight of the streams on time that a request may make late now, of those that run. Each request may start in the end:
// if large prompts were refused because of the streams, their size would be starved where they are much larger than the others.
//   - As long as it can wait and still be on time, it makes no stream late.
//   - When it would be late otherwise, it makes less urgent streams late that weigh less than itself together.
//   - When it is late, it waits until it makes no stream late. In startReserve before its latest start, the allowed weight increases to the
//     maximum, so that it starts at a time at which it makes few streams late.
func allowedHarm(now time.Time, request *Request, prefill time.Duration, running float64) float64 {
	latest := request.Expires.Add(-max(prefill-expiryMargin, 0))
	if left := latest.Sub(now) - lastPeriod; left < startReserve {
		return running * min(1-float64(left)/float64(startReserve), 1)
	}

	if mustStartNow(now, request, prefill) {
		return weight(request.Urgency) * ownUrgencyFactor
	}

	return 0
}

// mustStartNow reports whether the request must start now to be on time.
func mustStartNow(now time.Time, request *Request, prefill time.Duration) bool {
	spare := request.Due.Sub(now) - prefill

	return spare >= 0 && spare < heldPeriod
}

// weight returns the weight of a request or stream: half of that of the next more urgent ones.
func weight(urgency int) float64 {
	return 1 / float64(int(1)<<min(max(urgency, 0), UrgencyClasses))
}

// expectedHarm returns the harm of a prompt that is prefilled for the given time. A server that makes events while it prefills, in time for a
// stream, does not harm that one.
func (s *Scheduler) expectedHarm(now time.Time, prefill time.Duration) harm {
	var expected harm

	event := s.pace.EventTime(now)
	chunked, isChunked := s.pace.ChunkedEventTime(now)

	for request := range s.active {
		if !request.isOnTime(now) {
			continue
		}

		expected.running += weight(request.Urgency)

		if isChunked && chunked <= request.GapTarget {
			continue
		}

		expected.always = expected.always || event+event/2+prefill > request.GapTarget

		if s.expectedGap(now, request, event)+prefill > request.GapTarget {
			expected.now += weight(request.Urgency)

			if !s.pace.HasChunkedEvidence() || chunked > request.GapTarget {
				expected.assumed += weight(request.Urgency)
			}
		}
	}

	return expected
}

// isOnTime reports whether the request is a stream that was on time so far and can be late.
func (r *Request) isOnTime(now time.Time) bool {
	return r.phase == decoding && !r.late && r.GapTarget > 0 && now.Sub(r.lastEvent) <= r.GapTarget
}

// expectedGap returns the time that is expected between the last and the next event of a stream without a further prefill: the usual time and
// the prefills since the last event, and at least the time since then and one step. Half the usual time is added for its variation: an event holds
// three or four tokens, and steps take longer with more streams.
func (s *Scheduler) expectedGap(now time.Time, request *Request, event time.Duration) time.Duration {
	return event/2 + max(s.stalled-request.stalledBefore+event, now.Sub(request.lastEvent)+event/stepsPerEvent)
}

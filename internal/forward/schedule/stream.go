package schedule

import "time"

const (
	// heldPeriod is the time after which a request that is held is looked at again, if no event comes before.
	heldPeriod = 20 * time.Millisecond
	// startReserve is the time before a request expires from which on it is started whatever streams it holds up.
	startReserve = time.Second
)

// ObserveEvent records an event of the response to a request. The first one ends its prefill; it reports whether this is the first one.
func (s *Scheduler) ObserveEvent(now time.Time, request *Request) bool {
	first := request.phase == prefilling

	switch request.phase {
	case prefilling:
		request.phase = decoding
		request.late = now.After(request.Due)
		s.endPrefill(request)
		s.pace.ObservePrefill(now, request.InputTokens, now.Sub(request.sentAt))
		s.prefillEnd = now
		s.stalled += s.pace.Prefill(now).Stall(request.InputTokens)
	case decoding:
		took := now.Sub(request.lastEvent)
		request.late = request.late || request.GapTarget > 0 && took > request.GapTarget

		if s.prefilling == 0 && request.lastEvent.After(s.prefillEnd) {
			s.pace.ObserveEvent(now, took)
		}
	case waiting, ended:
		return false
	}

	request.lastEvent, request.stalled = now, s.stalled

	return first
}

// ObserveSlowness records how long work takes at the server, as it states in percent of what is usual.
func (s *Scheduler) ObserveSlowness(now time.Time, percent int) {
	s.pace.ObserveSlowness(now, percent)
}

// Held reports whether a request waits only so that it does not hold up streams.
func (s *Scheduler) Held() bool {
	return s.held
}

// holdsUpStreams reports whether the request is to wait because streams that are on time would be held up by its prefill: the server makes no
// event until a prompt is prefilled. A request that would be late otherwise may hold up one stream, and one that expires soon any number.
func (s *Scheduler) holdsUpStreams(now time.Time, request *Request) bool {
	if s.policy().IgnoreGaps {
		return false
	}

	hurt := s.heldUp(now, s.pace.Prefill(now).Stall(request.InputTokens))
	allowed := 0

	switch {
	case request.Expires.Sub(now) < startReserve:
		allowed = hurt
	case now.After(request.Due):
		allowed = 1
	}

	if hurt <= allowed {
		return false
	}

	request.held = true
	s.held, s.heldUntil = true, now.Add(heldPeriod)

	return true
}

// heldUp returns the number of streams on time whose next event would come too late if the server stalled for the given time. The pause before
// that event is the time between two events without a stall, and the stalls since the last one.
func (s *Scheduler) heldUp(now time.Time, stall time.Duration) int {
	event := s.pace.EventTime(now)
	count := 0

	for request := range s.active {
		if request.phase != decoding || request.late || request.GapTarget == 0 {
			continue
		}

		pause := max(event+s.stalled-request.stalled, now.Sub(request.lastEvent)) + stall
		if pause > request.GapTarget {
			count++
		}
	}

	return count
}

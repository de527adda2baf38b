// Package lateness determines for one stream of events whether it is on time for its client, and if not, whether the first event was late, the
// server paused, or the process that forwards the stream delayed it.
package lateness

import "time"

// Cause is why a stream is late.
type Cause int

// The values of Cause.
const (
	// OnTime means that the stream is not late.
	OnTime Cause = iota
	// First means that the first event came too late.
	First
	// Gap means that two events came too far apart.
	Gap
	// Forward means that the stream is late only because of the time that this process took to forward events.
	Forward
)

// Targets are those of a route; each is 0 if there is none.
type Targets struct {
	// First is the longest time from the arrival of the request to the first event.
	First time.Duration
	// Gap is the longest pause between two events.
	Gap time.Duration
}

// Stream records when the events of one stream passed. The zero value is ready to use.
type Stream struct {
	// firstReceived and firstWritten are the times from the arrival of the request to the first event.
	firstReceived, firstWritten time.Duration
	// longestReceived is the longest time that this process waited for an event after the previous one was written, and longestWritten the
	// longest time between the ends of two writes. Both are at least 0.
	longestReceived, longestWritten time.Duration
	// lastWritten is the end of the last write, or the arrival of the request before the first event. lastStalled is the time for which the process
	// had stalled until then.
	lastWritten time.Time
	lastStalled time.Duration
}

// Event is one or more whole events that were received at once.
type Event struct {
	// Received is when the event was received, and Written when its write to the client ended.
	Received, Written time.Time
	// Stalled is the total time for which the process has stalled.
	Stalled time.Duration
}

// Begin records the arrival of the request, and the total time for which the process has stalled until now.
func (s *Stream) Begin(arrived time.Time, stalled time.Duration) {
	*s = Stream{lastWritten: arrived, lastStalled: stalled, firstWritten: -1}
}

// Observe records an event. Begin was called before.
//
// An event that arrives while the previous one is being written, or while the process is stalled, is received late. The time from the end of the
// previous write, less that of stalls, is therefore taken as the pause of the server.
func (s *Stream) Observe(event Event) {
	received := max(event.Received.Sub(s.lastWritten)-(event.Stalled-s.lastStalled), 0)
	written := event.Written.Sub(s.lastWritten)

	if s.firstWritten < 0 {
		s.firstReceived, s.firstWritten = received, written
	} else {
		s.longestReceived = max(s.longestReceived, received)
		s.longestWritten = max(s.longestWritten, written)
	}

	s.lastWritten, s.lastStalled = event.Written, event.Stalled
}

// LongestGap returns the longest pause between two events for the client.
func (s *Stream) LongestGap() time.Duration {
	return s.longestWritten
}

// Cause returns why the stream is late. A first event that came too late is named before a pause, and a pause before late forwarding.
func (s *Stream) Cause(targets Targets) Cause {
	switch {
	case exceeds(s.firstReceived, targets.First):
		return First
	case exceeds(s.longestReceived, targets.Gap):
		return Gap
	case exceeds(s.firstWritten, targets.First), exceeds(s.longestWritten, targets.Gap):
		return Forward
	default:
		return OnTime
	}
}

func exceeds(took, target time.Duration) bool {
	return target > 0 && took > target
}

// Package events splits a stream of server-sent events into complete events, so that another server can resume an interrupted
// stream.
package events

import (
	"bytes"
	"strconv"
)

// Splitter buffers the bytes of a stream and returns complete events. The zero value is ready to use.
type Splitter struct {
	// LastID is the id of the newest event returned; events with ids up to it are left out. It is negative before the first
	// one.
	LastID int64
	// Consecutive is true while each event returned had an id, each one above the one before.
	Consecutive bool
	// pending holds the bytes after the last complete event, at most maxEventBytes between two calls of Push. line is where the first line
	// in it starts that has no end yet.
	pending []byte
	line    int
	// tooLong is true if an event had more than maxEventBytes.
	tooLong bool
	// resumed is true from Resume to the first event that goes on from LastID, and misplaced from one that does not.
	resumed, misplaced bool
}

// Resume discards the bytes of an incomplete event. What is pushed from now on is the stream of another server, which goes on after
// LastID.
func (s *Splitter) Resume() {
	s.pending, s.line = nil, 0
	s.resumed, s.misplaced, s.tooLong = s.LastID >= 0, false, false
}

// Misplaced reports whether the stream of another server does not go on after LastID: its first new event has no id, or a later one than
// is due where all ids so far were consecutive. Nothing of it is returned from that event on.
func (s *Splitter) Misplaced() bool {
	return s.misplaced
}

// TooLong reports whether an event had more than maxEventBytes. It is dropped, so that what follows belongs to no event.
func (s *Splitter) TooLong() bool {
	return s.tooLong
}

// Push adds bytes of the stream and returns the events that they complete. The result is valid until the next call.
func (s *Splitter) Push(data []byte) []byte {
	s.pending = append(s.pending, data...)

	var complete []byte

	for {
		end := s.eventEnd()
		if end < 0 {
			s.boundPending()

			return complete
		}

		event := s.pending[:end]
		s.pending, s.line = s.pending[end:], 0

		if s.isNew(event) && !s.misplaced {
			complete = append(complete, event...)
		}
	}
}

// boundPending drops an incomplete event that is too long.
func (s *Splitter) boundPending() {
	if len(s.pending) > maxEventBytes {
		s.pending, s.line, s.tooLong = nil, 0, true
	}
}

// Remainder returns the bytes after the last complete event.
func (s *Splitter) Remainder() []byte {
	return s.pending
}

// isNew reports whether the event has no id or one above LastID, which it then updates.
func (s *Splitter) isNew(event []byte) bool {
	id, ok := eventID(event)
	if ok && id <= s.LastID {
		return false
	}

	next := ok && id == s.LastID+1

	if s.resumed {
		s.misplaced = !ok || s.Consecutive && !next
		s.resumed = false
	}

	if s.misplaced {
		return true
	}

	s.Consecutive = next && (s.Consecutive || s.LastID < 0)

	if ok {
		s.LastID = id
	}

	return true
}

// eventEnd returns the length of the first event with its blank line; -1 if it is incomplete. As for Progress, a line is blank if it holds
// nothing but carriage returns, so that the bytes of one event are bounded for both.
func (s *Splitter) eventEnd() int {
	for {
		rest := s.pending[s.line:]

		index := bytes.IndexByte(rest, '\n')
		if index < 0 {
			return -1
		}

		blank := s.line > 0 && len(bytes.TrimLeft(rest[:index], "\r")) == 0
		s.line += index + 1

		if blank {
			return s.line
		}
	}
}

// eventID returns the id of an event; false if it has none or one that is not a number.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}

		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)

		return id, err == nil
	}

	return 0, false
}

// Package events splits an event stream into whole events, so that a stream can go on at another server after a break.
package events

import (
	"bytes"
	"strconv"
)

// Splitter collects the bytes of a stream and gives out whole events. The zero value is ready.
type Splitter struct {
	// Last is the id of the newest event given out; events up to it are left out. It is negative before the first one.
	LastID  int64
	pending []byte
}

// Push adds bytes of the stream and returns the whole events among all bytes so far. The result is valid until the next
// call.
func (s *Splitter) Push(data []byte) []byte {
	s.pending = append(s.pending, data...)

	var whole []byte

	for {
		end := boundary(s.pending)
		if end < 0 {
			return whole
		}

		event := s.pending[:end]
		s.pending = s.pending[end:]

		if s.fresh(event) {
			whole = append(whole, event...)
		}
	}
}

// Rest returns the bytes after the last whole event.
func (s *Splitter) Remainder() []byte {
	return s.pending
}

// Restart forgets the bytes of an event that was broken off.
func (s *Splitter) Reset() {
	s.pending = nil
}

// fresh reports whether the event is new, and remembers its id.
func (s *Splitter) fresh(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		return true
	}

	if id <= s.LastID {
		return false
	}

	s.LastID = id

	return true
}

// boundary returns the length of the first event with its blank line; -1 if it is not whole.
func boundary(data []byte) int {
	end := -1

	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.Index(data, []byte(mark)); at >= 0 && (end < 0 || at+len(mark) < end) {
			end = at + len(mark)
		}
	}

	return end
}

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

package events

import "github.com/cockroachdb/errors"

// maxEventBytes is the size of an event above which a stream is invalid.
const maxEventBytes = 1 << 20

// ErrTooLong is returned for an event of more than maxEventBytes.
var ErrTooLong = errors.New("event is too long")

// Progress tells whole events from bytes that complete none, so that a server which sends a byte now and then does not count as
// sending. The zero value is ready to use.
type Progress struct {
	// lineBytes is the number of bytes in the current line without its end, and eventBytes that since the last whole event.
	lineBytes  int
	eventBytes int
	// seen is true after the first whole event.
	seen bool
}

// Seen reports whether a whole event was scanned.
func (p *Progress) Seen() bool {
	return p.seen
}

// InsideEvent reports whether the bytes so far end in the middle of an event. Blank lines before an event belong to none.
func (p *Progress) InsideEvent() bool {
	return p.eventBytes > 0
}

// Scan reports whether the bytes complete an event. It returns ErrTooLong if the event after it is too long.
func (p *Progress) Scan(data []byte) (bool, error) {
	complete := false

	for _, b := range data {
		p.eventBytes++

		switch {
		case b == '\n' && p.lineBytes == 0:
			// An empty line after at least one other ends an event.
			complete = complete || p.eventBytes > len("\r\n")
			p.eventBytes = 0
		case b == '\n':
			p.lineBytes = 0
		case b != '\r':
			p.lineBytes++
		}
	}

	p.seen = p.seen || complete

	if p.eventBytes > maxEventBytes {
		return complete, ErrTooLong
	}

	return complete, nil
}

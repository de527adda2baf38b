package framing

import (
	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/events"
)

var (
	// ErrInsideEvent is returned for a stream that ends in the middle of an event, however its body is framed.
	ErrInsideEvent = errors.New("the stream ends inside an event")
	// ErrNoEvent is returned for a stream without any event whose end is marked only by the end of the connection.
	ErrNoEvent = errors.New("the connection ends before the first event of the stream")
)

// Body follows a response body and decides whether it is complete at its end. A body with a length or chunks that ends early is
// reported by net/http; this adds what only the content tells. A body with neither that ends between two events, or that is no
// stream, cannot be told from a complete one.
type Body struct {
	Kind Kind
	// EventStream is true if the body is a stream of server-sent events.
	EventStream bool
	// EventsDue is true if the body is to be one, so that only whole events are progress although its head does not say so.
	EventsDue bool

	// received is true after the first bytes.
	received bool
	progress events.Progress
}

// Scan reports whether the bytes are progress: any bytes, or the end of an event where events are due. It returns an error if an event is
// too long.
func (b *Body) Scan(data []byte) (bool, error) {
	b.received = b.received || len(data) > 0

	if !b.EventStream && !b.EventsDue {
		return true, nil
	}

	return b.progress.Scan(data)
}

// Begun reports whether a whole event of a stream, or any byte of another body, was scanned.
func (b *Body) Begun() bool {
	if b.EventStream {
		return b.progress.Seen()
	}

	return b.received
}

// CheckEnd returns an error if a body that has ended without one is known to be incomplete.
func (b *Body) CheckEnd() error {
	switch {
	case !b.EventStream:
		return nil
	case b.progress.InsideEvent():
		return ErrInsideEvent
	case b.Kind == Connection && !b.progress.Seen():
		return ErrNoEvent
	default:
		return nil
	}
}

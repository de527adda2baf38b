package upstream

import (
	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/events"
)

var (
	// errInsideEvent is returned for a stream that ends in the middle of an event, however its body is framed.
	errInsideEvent = errors.New("the stream ends inside an event")
	// errNoEvent is returned for a stream without any event whose end is marked only by the end of the connection.
	errNoEvent = errors.New("the connection ends before the first event of the stream")
)

// body follows a response body and decides whether it is complete at its end. A body with a length or chunks that ends early is
// reported by net/http; this adds what only the content tells. A body with neither that ends between two events, or that is no
// stream, cannot be told from a complete one.
type body struct {
	framing     Framing
	eventStream bool
	progress    events.Progress
}

// scan reports whether the bytes are progress: any bytes, or the end of an event in a stream.
func (b *body) scan(data []byte) (bool, error) {
	if !b.eventStream {
		return true, nil
	}

	return b.progress.Scan(data)
}

// checkEnd returns an error if a body that has ended without one is known to be incomplete.
func (b *body) checkEnd() error {
	switch {
	case !b.eventStream:
		return nil
	case b.progress.InsideEvent():
		return errInsideEvent
	case b.framing == FramedByConnection && !b.progress.Seen():
		return errNoEvent
	default:
		return nil
	}
}

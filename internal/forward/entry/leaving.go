package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

const (
	// moveMargin is the time before the end of a server at which its streams are moved to others. An entry may learn of the end up to half a second
	// late, and the other server takes up to a second to begin.
	moveMargin = 1500 * time.Millisecond
	// drainCheckPeriod is the time between two checks whether the server of a stream is about to end.
	drainCheckPeriod = 300 * time.Millisecond
)

var errServerEnding = errors.New("the backend server is about to end")

// canMove reports whether the stream is moved to another server if its server is about to end.
func (w *silenceWatch) canMove() bool {
	j := w.response.job

	return j.service.Engine != nil && j.route.RetryPolicy == catalog.Resumable
}

// untilMove returns the time until the stream is to be moved; false if the end of the server is not known.
func (w *silenceWatch) untilMove(now time.Time) (time.Duration, bool) {
	if !w.canMove() {
		return 0, false
	}

	end, known := w.entry.Fleet.EndsAt(w.server)

	return end.Sub(now) - moveMargin, known
}

// handleNext handles an event from the agent of the server to which a stream is moved. The server that is about to end continues until the other
// one sends the first piece of the response, so that the move causes no pause.
func (w *silenceWatch) handleNext(h *handover, next *job, event message.Event) error {
	switch e := event.(type) {
	case message.RequestSent:
		h.sent = true
		return nil
	case message.ResponseStarted:
		if e.Head.Status != http.StatusOK || !e.Head.IsEventStream() {
			return errTakenBack
		}

		h.head = event

		return nil
	case message.Data:
	default:
		return nil
	}

	if h.head == nil || !w.handOver(h, next, errServerEnding) {
		return errTakenBack
	}

	h.handedOver = true

	if err := h.pass(h.head); err != nil {
		return err
	}

	return h.pass(event)
}

// isCurrent reports whether the response has not advanced since another server was asked, so that this one may take over. A server that is about
// to end continues meanwhile; events that the other one repeats are then dropped. The lock must be held.
func (w *silenceWatch) isCurrent(next *job, reason error) bool {
	j := w.response.job
	if j.responseStarted != next.responseStarted {
		return false
	}

	if errors.Is(reason, errServerEnding) {
		return j.bound == next.bound && next.splitter.LastID <= j.splitter.LastID
	}

	return j.splitter.LastID == next.splitter.LastID
}

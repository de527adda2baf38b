package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/events"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/lateness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// response forwards the events of the response of one server to the client.
type response struct {
	entry  *Entry
	job    *job
	server fleet.Server
	// startedAt is the start of the process that responds, in Unix milliseconds; 0 if it is not known.
	startedAt int64
	// status is the status that the server sent; 0 before the head.
	status int
	// begun is true after the first whole event, or the first byte of another body.
	begun bool
	// withheld is true if the response is an error that is not forwarded, because the request may be retried, and withheldBytes is the
	// number of bytes of its body so far.
	withheld      bool
	withheldBytes int
	// rejected is why no more of the response is read; nil if it is read to its end.
	rejected error
	// kept is the memory of the incomplete event.
	kept memory.Reservation
}

func newResponse(e *Entry, j *job, server fleet.Server) *response {
	return &response{entry: e, job: j, server: server, kept: memory.Reservation{Budget: e.ResponseMemory, Free: freeEventBytes}}
}

// maxWithheldBytes is the size of the body of an error that is read to use the connection again.
const maxWithheldBytes = 64 << 10

const (
	// eventCopies is the number of times that the bytes of an incomplete event are kept, as its buffer grows.
	eventCopies = 2
	// freeEventBytes is the memory that an incomplete event may take without a reservation.
	freeEventBytes = 64 << 10
)

var (
	errNotContinued = errors.New("the response does not continue the stream of the earlier server")
	errErrorTooLong = errors.New("the body of an error is too long")
	errEventMemory  = errors.New("the events of other responses take the memory for incomplete events")
)

// handle handles one event; an error means that the client has disconnected.
func (r *response) handle(event message.Event) error {
	switch e := event.(type) {
	case message.ResponseStarted:
		r.startedAt = e.StartedAt

		return r.handleHead(e.Head)
	case message.Data:
		return r.handleBytes(e.Bytes)
	default:
		return nil
	}
}

func (r *response) handleHead(head message.Head) error {
	j := r.job
	r.status = head.Status

	if j.responseStarted {
		// The client has received the head of an earlier response, which only a stream of events can continue.
		if !head.IsEventStream() {
			return r.reject(errNotContinued)
		}

		return nil
	}

	if head.Status >= http.StatusInternalServerError && j.route.RetryPolicy != catalog.AtMostOnce && j.runs+1 < j.route.MaxAttempts && j.remaining() > 0 {
		r.withheld = true
		return nil
	}

	if j.sink.Begin(head) != nil {
		j.clientDisconnected = true
		return errClientDisconnected
	}

	j.responseStarted = true
	j.active.begin()
	j.status = head.Status
	j.eventStream = head.IsEventStream()

	return nil
}

// reject ends the response and returns the reason.
func (r *response) reject(reason error) error {
	r.rejected = reason

	return reason
}

// handleBytes handles a piece of the body. The events that it completes are forwarded before one after them that is too long ends the
// response, since the splitter counts them as forwarded.
func (r *response) handleBytes(data []byte) error {
	if err := r.handleData(data); err != nil {
		return err
	}

	if r.job.splitter.TooLong() {
		return r.reject(events.ErrTooLong)
	}

	if !r.kept.Resize(eventCopies * int64(len(r.job.splitter.Remainder()))) {
		return r.reject(errEventMemory)
	}

	return nil
}

func (r *response) handleData(data []byte) error {
	received := time.Now()

	if r.withheld {
		r.withheldBytes += len(data)

		if r.withheldBytes > maxWithheldBytes {
			return r.reject(errErrorTooLong)
		}

		return nil
	}

	if r.job.route.Stream && r.job.eventStream {
		data = r.job.splitter.Push(data)

		if r.job.splitter.Misplaced() {
			return r.reject(errNotContinued)
		}
	}

	if len(data) == 0 {
		return nil
	}

	if !r.begun && r.status == http.StatusOK {
		r.begun = true
		r.entry.Quarantine.recordLoaded(r.job)

		if r.job.route.Stream && r.job.eventStream {
			r.entry.recordBegin(r.job, r.server, r.startedAt)
			r.entry.countBegin(r.job)
		}
	}

	r.job.lastPiece = time.Now()

	if r.job.timeToFirst == 0 {
		r.job.timeToFirst = time.Since(r.job.request.Arrived)
		metric.Observe(r.entry.Metrics, "latency.first", r.job.timeToFirst)
	}

	if r.job.sink.Write(data) != nil {
		r.job.clientDisconnected = true
		return errClientDisconnected
	}

	written := time.Now()
	r.job.lateness.Observe(lateness.Event{Received: received, Written: written, Stalled: r.entry.Standstill.Total(written)})

	return nil
}

// outcome returns the outcome of the response, given that of its exchange.
func (r *response) outcome(last message.Event) message.Event {
	if r.rejected != nil {
		return message.Failed{Err: fault.Wrap(r.rejected, fault.BackendFailed, "backend server responded with status %d", r.status)}
	}

	if _, completed := last.(message.Completed); completed {
		return r.finish()
	}

	return last
}

// finish returns the outcome of a response that was received completely.
func (r *response) finish() message.Event {
	if r.withheld {
		return message.Failed{Err: fault.New(fault.BackendFailed, "backend server responded with status %d", r.status)}
	}

	if rest := r.job.splitter.Remainder(); len(rest) > 0 && r.job.sink.Write(rest) != nil {
		r.job.clientDisconnected = true
		return message.Failed{Err: fault.Wrap(errClientDisconnected, fault.Canceled, "client disconnected")}
	}

	return message.Completed{}
}

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/events"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// errClientDisconnected is returned when the client of a response has disconnected.
var errClientDisconnected = errors.New("client disconnected")

// chooseService chooses a service of the route at random by weight. The choice depends only on the id of the request, or of the one that
// began the stream which it takes up, so that a stream stays with its service.
func chooseService(route catalog.Route, id string) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}

	total := 0.0
	for _, candidate := range route.Targets {
		total += candidate.Weight
	}

	const steps = 1 << 20

	point := float64(xxhash.Sum64String(id)%steps) / steps * total

	for _, candidate := range route.Targets {
		if point < candidate.Weight {
			return candidate.Service
		}

		point -= candidate.Weight
	}

	return route.Targets[len(route.Targets)-1].Service
}

// run sends the request to one server after the other until one responds or the request fails.
func (e *Entry) run(ctx context.Context, j *job) {
	e.retryBudget.countRequest(time.Now(), j.service.Name, e.Bounds)
	e.takeUp(ctx, j)

	for {
		server, err := e.next(ctx, j)
		if err != nil {
			server, err = e.chooseSame(ctx, j, err)
		}

		if err == nil {
			err = e.checkDrainBeforeSend(j)
		}

		if err == nil {
			err = e.Quarantine.admit(j)
		}

		if err != nil {
			e.fail(ctx, j, err)
			return
		}

		j.servers = append(j.servers, server.ID)
		j.active.sentTo(server.ID)

		switch outcome := e.send(ctx, j, server).(type) {
		case message.Completed:
			now := time.Now()
			e.durations.record(now, j.route.Name, now.Sub(j.request.Arrived))
			e.reportEnd(j, nil)

			return
		case message.Refused:
			if !e.afterRefusal(ctx, j, server, outcome) {
				return
			}
		case message.Failed:
			if !e.afterFailure(ctx, j, server, outcome) {
				return
			}
		}
	}
}

// afterRefusal handles a refusal and reports whether the request is to be sent to another server.
func (e *Entry) afterRefusal(ctx context.Context, j *job, server fleet.Server, refused message.Refused) bool {
	j.refusals++

	// A server whose queue was too long may be chosen again, since it may have loaded the adapter in the meantime; a server
	// that rejected the request itself is excluded.
	if refused.ByBackend || refused.Err.Kind != fault.Overloaded || j.gaveUp != nil {
		j.excluded[server.ID] = true
	}

	// The load of an adapter that is tried may have ended the server.
	failedTrial := j.tried != "" && refused.Err.Kind == fault.AdapterUnavailable
	again := ctx.Err() == nil && j.refusals < maxRefusals && j.remaining() > 0 && !failedTrial

	if again && refused.ByBackend {
		again = e.takeRetry(time.Now(), j.service.Name)
	}

	metric.Count(e.Metrics, "try.refused."+string(refused.Err.Kind))
	e.Log.WithFields(logrus.Fields{
		fieldRequest: j.request.ID, fieldServer: server.ID, "arrived": refused.ByBackend, "again": again,
	}).WithError(refused.Err).Info("try refused")

	if !again {
		e.fail(ctx, j, refused.Err)
	}

	return again
}

// afterFailure handles a failure and reports whether the request is to be retried at another server.
func (e *Entry) afterFailure(ctx context.Context, j *job, server fleet.Server, failed message.Failed) bool {
	j.runs++
	j.excluded[server.ID] = true

	if j.successor == nil {
		j.gaveUp = nil
	}

	wanted := ctx.Err() == nil && !j.clientDisconnected
	if wanted {
		e.health.recordFailure(time.Now(), server.ID)
	}

	if j.crash != nil {
		e.Quarantine.reportCrash(*j.crash)
	}

	again := wanted && j.retryable() && e.Quarantine.mayRepeat(j) && (j.successor != nil || e.takeRetry(time.Now(), j.service.Name))

	metric.Count(e.Metrics, "try.failed."+string(failed.Err.Kind))
	e.Log.WithFields(logrus.Fields{
		fieldRequest: j.request.ID, fieldServer: server.ID, "ran": j.runs, "last": j.splitter.LastID, "again": again, "parts": j.sharedParts,
		"digest": j.digest(), "ended": j.crash != nil,
	}).WithError(failed.Err).Info("try failed")

	if again {
		return true
	}

	e.fail(ctx, j, failed.Err)

	return false
}

// fail ends the request with an error, which is adapted to what is known of the client, the deadline and earlier runs.
func (e *Entry) fail(ctx context.Context, j *job, err *fault.Error) {
	if j.clientDisconnected || errors.Is(ctx.Err(), context.Canceled) {
		err = fault.Wrap(err, fault.Canceled, "client disconnected")
	}

	// The connection to a server times out at the same time as the request.
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded) || j.remaining() <= 0
	if expired && err.Kind.Response().Ran != fault.RanNo {
		err = fault.Wrap(err, fault.DeadlineExceeded, "no response before the deadline")
	}

	if j.runs > 0 && err.Kind.Response().Ran == fault.RanNo {
		err = fault.Wrap(err, fault.OutcomeUnknown, "the request may have run at %d servers", j.runs)
	}

	checkError(j, err)
	e.reportEnd(j, err)

	if err.Kind.Response().Ran == fault.RanNo {
		e.attempts.forget(j.request.ID)
	}

	if j.responseStarted {
		if j.bound {
			e.shareBegin(j)
		}

		j.sink.Abort()

		return
	}

	j.sink.Fail(err)
}

// send sends the request to one server, forwards the response to the client, and returns the outcome.
func (e *Entry) send(ctx context.Context, j *job, server fleet.Server) message.Event {
	checkSend(j, server)

	if j.responseStarted {
		j.splitter.Resume()
	}

	response := newResponse(e, j, server)
	defer response.kept.Release()

	watched, watch := e.watchSilence(ctx, server, response)

	var last message.Event
	if j.service.Engine != nil {
		last = e.relay(watched, j, server, watch.emit)
	} else {
		last = e.direct(ctx, j, server, watch)
	}

	if silent := watch.stop(); silent != nil {
		last = givenUp(last, silent)
	}

	checkRefused(j, response.status, last)

	j.broken = response.status == http.StatusOK

	if _, ended := last.(message.Completed); ended {
		e.health.recordSuccess(server.ID)
		e.Quarantine.recordRun(j, response.begun, e.ends.any())
	}

	outcome := response.outcome(last)
	if failed, ok := outcome.(message.Failed); ok {
		j.recordBreak(server, response.startedAt, failed)
	}

	return outcome
}

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
		}
	}

	if r.job.timeToFirst == 0 {
		r.job.timeToFirst = time.Since(r.job.request.Arrived)
		metric.Observe(r.entry.Metrics, "latency.first", r.job.timeToFirst)
	}

	if r.job.sink.Write(data) != nil {
		r.job.clientDisconnected = true
		return errClientDisconnected
	}

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

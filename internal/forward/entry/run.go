package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
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

	defer j.dropHandover()

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
	held := refused.Err.Kind == fault.Quarantined
	again := ctx.Err() == nil && j.refusals < maxRefusals && j.remaining() > 0 && !failedTrial && !held

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

	handover := j.takeHandover(server)
	watched, watch := e.watchSilence(ctx, server, response)

	var last message.Event

	switch {
	case handover != nil:
		last = handover.receive(watched, watch.emit)
	case j.service.Engine != nil:
		last = e.relay(watched, j, server, watch.emit)
	default:
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

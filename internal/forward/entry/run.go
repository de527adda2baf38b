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

// errClient says that the client of an answer has gone.
var errClient = errors.New("the client has gone")

// target chooses a service of the route by its weights; the same request always gets the same one.
func target(route catalog.Route, id string) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}

	total := 0.0
	for _, candidate := range route.Targets {
		total += candidate.Weight
	}

	const steps = 1 << 20

	at := float64(xxhash.Sum64String(id)%steps) / steps * total

	for _, candidate := range route.Targets {
		if at < candidate.Weight {
			return candidate.Service
		}

		at -= candidate.Weight
	}

	return route.Targets[len(route.Targets)-1].Service
}

// run sends the request to servers until it has an answer or none can give one.
func (e *Entry) run(ctx context.Context, j *job) {
	e.budget.count(time.Now(), j.service.Name, e.Bounds)

	for {
		server, err := e.choose(j)
		if err != nil {
			e.fail(ctx, j, err)
			return
		}

		j.servers = append(j.servers, server.ID)

		switch outcome := e.send(ctx, j, server).(type) {
		case message.Completed:
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

// afterRefusal reports whether the request goes to another server.
func (e *Entry) afterRefusal(ctx context.Context, j *job, server fleet.Server, refused message.Refused) bool {
	j.refusals++

	// A server without a turn in time may have loaded the adapter meanwhile; one that rejects the request is passed over.
	if refused.ByBackend || refused.Err.Kind != fault.Overloaded {
		j.passed[server.ID] = true
	}

	again := ctx.Err() == nil && j.refusals < refusalLimit && j.left() > 0
	if again && refused.ByBackend {
		again = e.budget.take(time.Now(), j.service.Name, e.Bounds, e.Links.EntryCount())
	}

	metric.Count(e.Metrics, "try.refused."+string(refused.Err.Kind))
	e.Log.WithFields(logrus.Fields{
		"request": j.request.ID, "server": server.ID, "arrived": refused.ByBackend, "again": again,
	}).WithError(refused.Err).Info("try refused")

	if !again {
		e.fail(ctx, j, refused.Err)
	}

	return again
}

// afterFailure reports whether the request runs once more at another server.
func (e *Entry) afterFailure(ctx context.Context, j *job, server fleet.Server, failed message.Failed) bool {
	j.ran++
	j.passed[server.ID] = true

	wanted := ctx.Err() == nil && !j.gone
	if wanted {
		e.health.fail(time.Now(), server.ID)
	}

	again := wanted && j.repeatable() && e.budget.take(time.Now(), j.service.Name, e.Bounds, e.Links.EntryCount())

	metric.Count(e.Metrics, "try.failed."+string(failed.Err.Kind))
	e.Log.WithFields(logrus.Fields{
		"request": j.request.ID, "server": server.ID, "ran": j.ran, "last": j.splitter.LastID, "again": again,
	}).WithError(failed.Err).Info("try failed")

	if again {
		return true
	}

	e.fail(ctx, j, failed.Err)

	return false
}

// fail ends the request with an error.
func (e *Entry) fail(ctx context.Context, j *job, err *fault.Error) {
	if j.gone || errors.Is(ctx.Err(), context.Canceled) {
		err = fault.Wrap(err, fault.Canceled, "the client has gone")
	}

	// The connection to a server times out at the same moment as the request.
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded) || j.left() <= 0
	if expired && err.Kind.Answer().Ran != fault.RanNo {
		err = fault.Wrap(err, fault.DeadlineExceeded, "no answer in time")
	}

	if j.ran > 0 && err.Kind.Answer().Ran == fault.RanNo {
		err = fault.Wrap(err, fault.OutcomeUnknown, "the request may have run at %d servers", j.ran)
	}

	checkError(j, err)
	e.reportEnd(j, err)

	if j.begun {
		j.sink.Abort()
		return
	}

	j.sink.Fail(err)
}

// send sends the request to one server and passes the answer on.
func (e *Entry) send(ctx context.Context, j *job, server fleet.Server) message.Event {
	checkSend(j, server)
	j.splitter.Reset()

	answer := &answer{entry: e, job: j}

	var last message.Event
	if j.service.Engine != nil {
		last = e.relay(ctx, j, server, answer.take)
	} else {
		last = e.direct(ctx, j, server, answer.take)
	}

	checkRefused(j, answer.status, last)

	if _, ended := last.(message.Completed); ended {
		e.health.pass(server.ID)
		return answer.end()
	}

	return last
}

// answer passes the events of one server's answer on to the client.
type answer struct {
	entry *Entry
	job   *job
	// status is the server's status; 0 before the head.
	status int
	// withheld says that the answer is a failure after which the request runs once more.
	withheld bool
}

// take handles one event; an error says that the client has gone.
func (a *answer) take(event message.Event) error {
	switch e := event.(type) {
	case message.ResponseStarted:
		return a.begin(e.Head)
	case message.Data:
		return a.data(e.Bytes)
	default:
		return nil
	}
}

func (a *answer) begin(head message.Head) error {
	j := a.job
	a.status = head.Status

	if j.begun {
		// The client has the head of the first answer; a failure can't continue it.
		a.withheld = head.Status != http.StatusOK
		return nil
	}

	if head.Status >= http.StatusInternalServerError && j.route.RetryPolicy != catalog.AtMostOnce && j.ran+1 < j.route.MaxAttempts && j.left() > 0 {
		a.withheld = true
		return nil
	}

	if j.sink.Begin(head) != nil {
		j.gone = true
		return errClient
	}

	j.begun = true
	j.status = head.Status

	return nil
}

func (a *answer) data(data []byte) error {
	if a.withheld {
		return nil
	}

	if a.job.route.Stream && a.status == http.StatusOK {
		data = a.job.splitter.Push(data)
	}

	if len(data) == 0 {
		return nil
	}

	if a.job.first == 0 {
		a.job.first = time.Since(a.job.request.Arrived)
		metric.Observe(a.entry.Metrics, "latency.first", a.job.first)
	}

	if a.job.sink.Write(data) != nil {
		a.job.gone = true
		return errClient
	}

	return nil
}

// end finishes an answer that is whole.
func (a *answer) end() message.Event {
	if a.withheld {
		return message.Failed{Err: fault.New(fault.BackendFailed, "backend server answered with status %d", a.status)}
	}

	if rest := a.job.splitter.Remainder(); len(rest) > 0 && a.job.sink.Write(rest) != nil {
		a.job.gone = true
		return message.Failed{Err: fault.Wrap(errClient, fault.Canceled, "the client has gone")}
	}

	return message.Completed{}
}

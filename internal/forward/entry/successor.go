package entry

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
)

const (
	// maxTakeoverWait is how long a request may wait in the queue of a server that takes over from a silent one, which may go on meanwhile.
	maxTakeoverWait = 300 * time.Millisecond
	// maxTakeoverRefusals is the number of servers that may refuse to take over before the request returns to the silent one.
	maxTakeoverRefusals = 2
)

// afterGivingUp returns a copy of the job as it is once the server is given up.
func (r *response) afterGivingUp(server fleet.Server) *job {
	next := *r.job
	next.runs++
	next.broken = r.status == http.StatusOK
	next.excluded = maps.Clone(next.excluded)
	next.excluded[server.ID] = true
	next.gaveUp = &server

	return &next
}

var (
	errNoAttemptLeft = fault.New(fault.OutcomeUnknown, "the route allows no further run")
	errNoRepeat      = fault.New(fault.OutcomeUnknown, "the quarantine allows no further run")
	errNoRetryLeft   = fault.New(fault.OutcomeUnknown, "the retry budget allows no further run")
	errNoTakeover    = fault.New(fault.OutcomeUnknown, "the servers that could take over refuse the request")
)

// findSuccessor returns the server that can run the request after the one that is given up, or why there is none. It takes nothing from the
// retry budget.
func (e *Entry) findSuccessor(ctx context.Context, next *job) (fleet.Server, *fault.Error) {
	switch {
	case !next.retryable():
		return fleet.Server{}, errNoAttemptLeft
	case !e.Quarantine.mayRepeat(next):
		return fleet.Server{}, errNoRepeat
	case !e.mayRetry(time.Now(), next.service.Name):
		return fleet.Server{}, errNoRetryLeft
	}

	return e.choose(ctx, next)
}

// next returns the server to which the request is sent next: the one for which a silent one was given up, if it is still usable, and the silent
// one again if no other takes the request over.
func (e *Entry) next(ctx context.Context, j *job) (fleet.Server, *fault.Error) {
	successor := j.successor
	j.successor = nil

	if successor != nil {
		if listed, ok := e.Fleet.Get(successor.ID); ok && listed == *successor && !j.excluded[listed.ID] {
			return listed, nil
		}
	}

	if j.gaveUp != nil && j.refusals >= maxTakeoverRefusals {
		return e.returnToSilent(ctx, j, errNoTakeover)
	}

	server, err := e.choose(ctx, j)
	if err != nil && j.gaveUp != nil {
		return e.returnToSilent(ctx, j, err)
	}

	return server, err
}

// returnToSilent chooses with the silent server that was given up, or returns the error if its process is no longer listed.
func (e *Entry) returnToSilent(ctx context.Context, j *job, err *fault.Error) (fleet.Server, *fault.Error) {
	silent := *j.gaveUp
	j.gaveUp = nil

	if listed, ok := e.Fleet.Get(silent.ID); !ok || listed != silent {
		return fleet.Server{}, err
	}

	delete(j.excluded, silent.ID)
	j.returnsTo = silent.ID

	metric.Count(e.Metrics, "silence.returned")
	e.Log.WithError(err).WithFields(logrus.Fields{fieldRequest: j.request.ID, fieldServer: silent.ID, "last": j.splitter.LastID}).
		Info("no server takes over, the silent one may go on")

	return e.choose(ctx, j)
}

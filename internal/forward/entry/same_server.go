package entry

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// sameServerDelay is the time from a broken stream to its continuation at the same server. The agent has asked the server for a report by
// then, which shows whether the process has ended.
const sameServerDelay = 500 * time.Millisecond

// recordBreak remembers the server that broke off a stream which it may itself go on with: one that only a process of its version may
// continue, at a process that the list and the agent know by the same start.
func (j *job) recordBreak(server fleet.Server, startedAt int64, failed message.Failed) {
	j.brokenAt = nil

	known := startedAt != 0 && startedAt == server.StartedAt
	if j.bound && j.broken && known && j.service.Engine != nil && failed.Err.Kind == fault.OutcomeUnknown {
		j.brokenAt = &server
	}
}

// chooseSame chooses again with the server that broke off the stream, for which no other one can go on. It returns the given error unless the
// process of that server still runs.
func (e *Entry) chooseSame(ctx context.Context, j *job, err *fault.Error) (fleet.Server, *fault.Error) {
	broken := j.brokenAt
	j.brokenAt = nil

	if broken == nil {
		return fleet.Server{}, err
	}

	delete(j.excluded, broken.ID)
	j.returnsTo = broken.ID

	// A server that cannot go on now is not waited for.
	if _, refused := e.choose(ctx, j); refused != nil {
		return fleet.Server{}, err
	}

	select {
	case <-ctx.Done():
		return fleet.Server{}, err
	case <-time.After(sameServerDelay):
	}

	if listed, ok := e.Fleet.Get(broken.ID); !ok || listed != *broken {
		return fleet.Server{}, err
	}

	server, refused := e.choose(ctx, j)
	if refused != nil {
		return fleet.Server{}, err
	}

	metric.Count(e.Metrics, "stream.same_server")
	e.Log.WithField(fieldRequest, j.request.ID).WithField(fieldServer, server.ID).WithField("last", j.splitter.LastID).Info("stream goes on at the server that broke it off")

	return server, nil
}

package entry

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
)

// maxPermits is the number of limited servers for which one request asks for permission before it is refused.
const maxPermits = 3

// ObserveLimit records what a response of a server of a plain service states about its limit. Other entries learn of the begin and the
// end of a limit from the agent that holds it.
func (e *Entry) ObserveLimit(instance string, sentAt time.Time, limit throttle.Limit) {
	server, ok := e.Fleet.Find(instance)
	if !ok {
		return
	}

	stated := throttle.Statement{Server: server.ID, StartedAt: server.StartedAt, Limit: limit, At: sentAt}
	if !e.limits.observe(time.Now(), stated) {
		return
	}

	e.logLimit(stated, "response")

	go e.reportLimit(stated)
}

// reportLimit passes a statement to the holder of the limit. If the holder cannot be reached, it learns of the limit from the next
// request to the server.
func (e *Entry) reportLimit(stated throttle.Statement) {
	if decision, ok := e.Permits.Report(context.Background(), stated); ok {
		e.AdoptLimits([]throttle.Statement{decision.Newest})
	}
}

// AdoptLimits records statements that an agent has passed on.
func (e *Entry) AdoptLimits(statements []throttle.Statement) {
	for _, stated := range statements {
		if e.limits.adopt(time.Now(), stated) {
			e.logLimit(stated, "agent")
		}
	}
}

func (e *Entry) logLimit(stated throttle.Statement, source string) {
	metric.Count(e.Metrics, "limit.changed")
	e.Log.WithField(fieldServer, stated.Server).WithField("limit", stated.Limit.String()).WithField("source", source).
		Info("limit of a plain service changed")
}

// permit reports whether the request may be sent to a server of a plain service, as far as the limit of the server is concerned.
func (e *Entry) permit(ctx context.Context, j *job, server fleet.Server) bool {
	known, limited := e.limits.limited(server)
	if !limited {
		return true
	}

	var granted bool

	outcome := "denied"

	if decision, ok := e.Permits.Permit(ctx, known, j.urgency); ok {
		granted = e.limits.settle(time.Now(), server.ID, decision)
	} else {
		outcome = "unreachable"
		granted = e.limits.takeReserve(time.Now(), server.ID, e.Entries())
	}

	if granted {
		outcome = "granted"
	}

	metric.Count(e.Metrics, "permit."+outcome)

	return granted
}

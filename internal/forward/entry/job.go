package entry

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/events"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

const (
	// defaultWait bounds a request whose client and route state no time.
	defaultWait = 30 * time.Second
	// refusalLimit is the number of servers that may refuse a request before the client is told to come back.
	refusalLimit = 3
)

// job is one request on its way through the entry.
type job struct {
	request  *message.Request
	route    catalog.Route
	config   *catalog.Config
	service  catalog.Service
	account  catalog.Account
	urgency  int
	deadline time.Time
	sink     Sink
	splitter events.Splitter
	// begun says that the answer has begun at the client.
	begun bool
	// gone says that the client no longer takes the answer.
	gone bool
	// ran counts the servers at which the request may have run.
	ran int
	// refusals counts the servers that refused the request.
	refusals int
	// passed holds the servers that failed or refused the request.
	passed map[string]bool
	// status is that of the answer; 0 before it has begun.
	status int
	// expected is the wait that was expected at the server chosen last, and first the time to the first piece of the answer.
	expected time.Duration
	first    time.Duration
	// servers is the sequence of servers that were chosen, for the log.
	servers []string
}

func newJob(request *message.Request, route catalog.Route, config *catalog.Config) *job {
	wait := defaultWait

	if request.Timeout > 0 {
		wait = min(wait, request.Timeout)
	}

	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}

	return &job{
		request:  request,
		route:    route,
		config:   config,
		service:  config.Services[target(route, request.ID)],
		urgency:  route.Urgency,
		deadline: request.Arrived.Add(wait),
		splitter: events.Splitter{LastID: request.LastEventID},
		passed:   map[string]bool{},
	}
}

// repeatable reports whether the request may run once more.
func (j *job) repeatable() bool {
	switch {
	case j.ran >= j.route.MaxAttempts:
		return false
	case j.route.RetryPolicy == catalog.Resumable:
		return true
	default:
		return j.route.RetryPolicy == catalog.Idempotent && !j.begun
	}
}

// left returns the time until the client stops waiting.
func (j *job) left() time.Duration {
	return time.Until(j.deadline)
}

func (j *job) delivery(instance string, version int64) *message.Delivery {
	request := *j.request
	if j.begun {
		request.LastEventID = j.splitter.LastID
	}

	return &message.Delivery{
		Request:      &request,
		Instance:     instance,
		Account:      j.account.Name,
		MinVersion:   version,
		Deadline:     j.deadline,
		Objective:    j.route.Objective,
		QueueTimeout: j.patience(),
		ReadTimeout:  j.silence(),
		Urgency:      j.urgency,
	}
}

package entry

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/events"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/lateness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/origin"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
)

const (
	// defaultTimeout is the longest time for a request, also if neither its client nor its route sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxRefusals is the number of servers that may refuse a request before the client gets the error.
	maxRefusals = 3
)

// job is the state of one request in the entry.
type job struct {
	request  *message.Request
	route    catalog.Route
	config   *catalog.Config
	service  catalog.Service
	account  catalog.Account
	urgency  int
	deadline time.Time
	// sharedParts are the ids of the prompt parts that other requests may share.
	sharedParts []string
	// requestDigest is the digest of the request; empty until digest is called.
	requestDigest string
	sink          Sink
	splitter      events.Splitter
	// responseStarted is true if the response head was sent to the client.
	responseStarted bool
	// eventStream is true if that head was the head of a stream of events, which another server can continue.
	eventStream bool
	// clientDisconnected is true if the client has disconnected.
	clientDisconnected bool
	// tried is the subject in quarantine that this request tries; empty for none.
	tried string
	// broken is true if the last server sent the head of a successful response; it is read only if that one did not complete.
	broken bool
	// crash is the end of the last server, of a plain service, before its response was complete; nil if it has not ended.
	crash *quarantine.Crash
	// bound is true if the client has events of the stream, so that the request may only run at the version at which it began; begin is
	// where that was.
	bound bool
	begin origin.Begin
	// originSource is from whom begin is known if the client takes up the stream; empty otherwise.
	originSource originSource
	// runs counts the servers at which the request may have run.
	runs int
	// refusals counts the servers that refused the request.
	refusals int
	// excluded holds the ids of the servers that failed or refused the request; they do not get it again.
	excluded map[string]bool
	// status is the status of the response to the client; 0 before it has started.
	status int
	// successor is the server for which a silent one was given up, with a retry taken from the budget; nil for none.
	successor *fleet.Server
	// handover has the response of the successor if that has been sent the request already; nil if it has not.
	handover *handover
	// gaveUp is the silent server that was given up, until another one has begun to run the request or has failed; nil for none.
	gaveUp *fleet.Server
	// brokenAt is the server that broke off the stream last and may go on with it if no other can; nil for none. returnsTo is its id once it may
	// be chosen again although it has failed.
	brokenAt  *fleet.Server
	returnsTo string
	// expectedWait is the wait that was predicted for the server chosen last, and timeToFirst the time from the arrival of
	// the request to the first piece of the response body; 0 before it.
	expectedWait time.Duration
	timeToFirst  time.Duration
	// lateness records when the events of the response were received and written.
	lateness lateness.Stream
	// lastPiece is when the latest piece of the response body came; zero before the first one.
	lastPiece time.Time
	// drain is why the request was taken although the process was draining.
	drain drainDecision
	// startBy is when the request must have been started at a server, so that it ends before the process as forecast; zero for no limit.
	startBy time.Time
	// active is the request as the log shows it if the end of the process cuts it off.
	active *activeRequest
	// servers lists the ids of the chosen servers in order, for the log.
	servers []string
}

func newJob(request *message.Request, route catalog.Route, config *catalog.Config) *job {
	timeout := defaultTimeout

	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout)
	}

	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}

	j := &job{
		request:  request,
		route:    route,
		config:   config,
		service:  config.Services[chooseService(route, request.Origin())],
		urgency:  route.Urgency,
		deadline: request.Arrived.Add(timeout),
		splitter: events.Splitter{LastID: request.LastEventID},
		excluded: map[string]bool{},

		active:      &activeRequest{request: request, route: route.Name, ground: groundNone},
		sharedParts: quarantine.SharedParts(request.PromptParts),
	}

	j.lateness.Begin(request.Arrived, 0)

	return j
}

// digest returns the digest of the request.
func (j *job) digest() string {
	if j.requestDigest == "" {
		j.requestDigest = quarantine.RequestDigest(j.request, j.account.Name)
	}

	return j.requestDigest
}

// ownSubjects returns what the quarantine may hold of the request besides its prompt parts.
func (j *job) ownSubjects() []string {
	subjects := []string{quarantine.RequestSubject(j.digest())}
	if j.request.Adapter != "" {
		subjects = append(subjects, j.adapterSubject())
	}

	return subjects
}

// adapterSubject returns the adapter of the request as a subject of the quarantine.
func (j *job) adapterSubject() string {
	return quarantine.AdapterSubject(j.request.Model, j.request.Adapter)
}

// retryable reports whether the request may run once more.
func (j *job) retryable() bool {
	switch {
	case j.runs >= j.route.MaxAttempts:
		return false
	case j.route.RetryPolicy == catalog.Resumable:
		return !j.responseStarted || j.eventStream
	default:
		return j.route.RetryPolicy == catalog.Idempotent && !j.responseStarted
	}
}

// remaining returns the time until the deadline of the request.
func (j *job) remaining() time.Duration {
	return time.Until(j.deadline)
}

// targetLeft returns what is left of the time in which the next event is on time; 0 if that time has passed. The target for the first event
// counts from the arrival of the request, and that for a later one from the event before it. Without a target, it is the time to the deadline:
// agents take 0 for a target that has passed.
func (j *job) targetLeft() time.Duration {
	target, since := j.route.Objective, j.request.Arrived
	if !j.lastPiece.IsZero() {
		target, since = j.route.GapTarget, j.lastPiece
	}

	if target <= 0 {
		return max(j.remaining(), 0)
	}

	return max(target-time.Since(since), 0)
}

// delivery returns the request for one backend server and the minimum version of its adapter. After the response has started, it resumes
// after the last event that the client has received.
func (j *job) delivery(server fleet.Server, version int64) *message.Delivery {
	request := *j.request
	if j.responseStarted {
		request.LastEventID = j.splitter.LastID
	}

	return &message.Delivery{
		Request:     &request,
		Instance:    server.ID,
		Account:     j.account.Name,
		MinVersion:  version,
		Deadline:    j.deadline,
		Objective:   j.targetLeft(),
		GapTarget:   j.route.GapTarget,
		MaxWait:     j.maxWait(),
		Urgency:     j.urgency,
		SharedParts: j.sharedParts,

		ServerVersion: server.Version,
		StartedAt:     server.StartedAt,
		Bound:         j.bound,
		Stream:        j.route.Stream,
	}
}

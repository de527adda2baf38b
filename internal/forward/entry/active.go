package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// maxCutOffLines is the number of requests cut off at the end of the process that are logged one by one; the rest is counted.
const maxCutOffLines = 50

// drainGround is why a request is taken although the process is draining.
type drainGround string

const (
	// groundNone is that of a request that was taken before the process was draining.
	groundNone drainGround = "none"
	// groundDeadline is that the request has an answer by its deadline, before the process ends.
	groundDeadline drainGround = "deadline"
	// groundForecast is that the responses of its route have taken less time of late than is left.
	groundForecast drainGround = "forecast"
)

// activeRequest is a request that has been taken and not been answered yet, as its log line at the end of the process shows it.
type activeRequest struct {
	request *message.Request
	route   string
	ground  drainGround

	mu sync.Mutex
	// server is the id of the server to which the request was sent last; empty before the first.
	server string
	// begun is true once the head of the response has been sent to the client.
	begun bool
}

func (r *activeRequest) sentTo(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.server = server
}

func (r *activeRequest) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.begun = true
}

// fields returns the log fields of the request, which still runs at the given time, so long after the end of the process was announced.
func (r *activeRequest) fields(now time.Time, since time.Duration) logrus.Fields {
	r.mu.Lock()
	defer r.mu.Unlock()

	took := now.Sub(r.request.Arrived)

	return logrus.Fields{
		fieldRequest: r.request.ID, "route": r.route, "took": took.Milliseconds(), "since": (since - took).Milliseconds(), "ground": r.ground, fieldServer: r.server, "begun": r.begun,
	}
}

// activeRequests holds the requests that have been taken and not been answered yet.
type activeRequests struct {
	mu      sync.Mutex
	running map[*activeRequest]bool
}

func (a *activeRequests) add(request *activeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.running == nil {
		a.running = map[*activeRequest]bool{}
	}

	a.running[request] = true
}

func (a *activeRequests) remove(request *activeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.running, request)
}

func (a *activeRequests) count() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	return int64(len(a.running))
}

// list returns the requests, the latest arrivals first.
func (a *activeRequests) list() []*activeRequest {
	a.mu.Lock()
	defer a.mu.Unlock()

	all := make([]*activeRequest, 0, len(a.running))
	for request := range a.running {
		all = append(all, request)
	}

	slices.SortFunc(all, func(x, y *activeRequest) int {
		return cmp.Or(y.request.Arrived.Compare(x.request.Arrived), cmp.Compare(x.request.ID, y.request.ID))
	})

	return all
}

// ActiveCount returns the number of requests that have been taken and not been answered yet.
func (e *Entry) ActiveCount() int64 {
	return e.active.count()
}

// ReportCutOff logs and counts the requests that the end of the process cuts off, and returns their number. It is called when the process
// ends.
func (e *Entry) ReportCutOff() int {
	now := time.Now()
	since := e.drain.since(now)
	cut := e.active.list()

	for i, request := range cut {
		metric.Count(e.Metrics, "request.cut."+string(request.ground))

		if i >= maxCutOffLines {
			continue
		}

		e.Log.WithFields(request.fields(now, since)).Warn("request cut off")
	}

	return len(cut)
}

// reportTaken logs and counts a request that is taken although the process is draining.
func (e *Entry) reportTaken(j *job) {
	if j.drain.ground == groundNone {
		return
	}

	metric.Count(e.Metrics, "request.draining."+string(j.drain.ground))
	e.Log.WithFields(logrus.Fields{
		fieldRequest: j.request.ID, "route": j.route.Name, "left": j.drain.left.Milliseconds(), "needed": j.drain.needed.Milliseconds(),
		"ground": j.drain.ground,
	}).Info("request taken while draining")
}

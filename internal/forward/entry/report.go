package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// fieldRequest and fieldServer are the log fields with the ids of a request and a backend server.
const (
	fieldRequest = "request"
	fieldServer  = "server"
)

// reportRefusal logs and counts the outcome of a request that was refused before it was sent anywhere.
func (e *Entry) reportRefusal(request *message.Request, err *fault.Error) {
	age, _ := e.Freshness.SharedAge()
	version := int64(-1)
	account := ""

	if config := e.config.Load(); config != nil {
		version = config.Version
		holder, _ := config.AccountByKey(request.Key)
		account = holder.Name
	}

	metric.Count(e.Metrics, "request.refused."+string(err.Kind))
	e.Log.WithFields(logrus.Fields{
		fieldRequest: request.ID, "host": request.Host, "path": request.Path, "account": account, "config": version, "age": age.Milliseconds(),
		"kind": err.Kind, "retry": err.RetryDelay().Milliseconds(), "detail": err.Message,
	}).Info("request refused")
}

// reportEnd logs and counts the outcome of a request that was sent or for which no server was found; a nil error means that
// the response is complete.
func (e *Entry) reportEnd(j *job, err *fault.Error) {
	e.reportTakenUp(j, err)

	age, _ := e.Freshness.SharedAge()
	took := time.Since(j.request.Arrived)

	entry := e.Log.WithFields(logrus.Fields{
		fieldRequest: j.request.ID, "route": j.route.Name, "service": j.service.Name, "account": j.account.Name,
		"adapter": j.request.Adapter, "config": j.config.Version, "age": age.Milliseconds(), "servers": j.servers,
		"expected": j.expectedWait.Milliseconds(), "first": j.timeToFirst.Milliseconds(), "took": took.Milliseconds(),
		"last": j.splitter.LastID, "status": j.status,
		"gap": j.lateness.LongestGap().Milliseconds(), "objective": j.route.Objective.Milliseconds(),
	})

	if err == nil {
		e.countLateness(j)
		metric.Count(e.Metrics, "request.done")
		metric.Observe(e.Metrics, "latency.whole", took)
		entry.Info("request done")

		return
	}

	metric.Count(e.Metrics, "request.failed."+string(err.Kind))
	entry.WithFields(logrus.Fields{"kind": err.Kind, "begun": j.responseStarted, "ran": j.runs, "retry": err.RetryDelay().Milliseconds()}).WithError(err).
		Info("request failed")
}

// RegisterGauges registers the gauges of the entry: the configuration version and age, the age of the latest confirmation
// by the store, and the numbers of requests under way, listed servers, connected agents and known entries.
func (e *Entry) RegisterGauges() {
	gauge := func(name string, value func() int64) { metric.Gauge(e.Metrics, name, value) }

	gauge("config.version", e.ConfigVersion)
	gauge("config.age", func() int64 {
		age, _ := e.Freshness.SharedAge()
		return age.Milliseconds()
	})
	gauge("store.age", func() int64 {
		age, _ := e.Freshness.Age()
		return age.Milliseconds()
	})
	gauge("store.reader", func() int64 {
		if e.Links.IsReader() {
			return 1
		}

		return 0
	})
	gauge("requests.active", e.active.count)
	gauge("quarantine.held", e.Quarantine.held)
	gauge("servers.listed", func() int64 { return int64(len(e.Fleet.All())) })
	gauge("agents.linked", func() int64 { return int64(e.Links.ConnectedCount()) })
	gauge("entries.known", func() int64 { return int64(e.Entries()) })
	gauge("retries.extra", func() int64 { return int64(e.extraRetries(time.Now())) })
}

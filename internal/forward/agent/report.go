package agent

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// exchangeReport is what is logged of one request at the model server.
type exchangeReport struct {
	// waited is the time until the request was sent, and timeToFirst that from then on to the first output; 0 without output. took is
	// the time from then on to the outcome.
	waited, timeToFirst, took time.Duration
	// gap is the longest pause between two whole events of a stream.
	gap time.Duration
	// scheduled is the request as the queue had it; nil if it did not get there.
	scheduled *schedule.Request
	// info is the head of the response; nil if the request was not sent, and without a framing if there was no head.
	info *upstream.ResponseInfo
	// last is the outcome.
	last message.Event
}

// reportExchange logs and counts the outcome of a request.
func (a *Agent) reportExchange(delivery *message.Delivery, report exchangeReport) {
	entry := a.Log.WithFields(logrus.Fields{
		"request": delivery.ID, "adapter": delivery.Adapter, "version": delivery.MinVersion, "instance": delivery.Instance,
		"waited": report.waited.Milliseconds(), "first": report.timeToFirst.Milliseconds(), "took": report.took.Milliseconds(),
		"gap": report.gap.Milliseconds(), "patience": delivery.MaxWait.Milliseconds(),
	})

	if report.scheduled != nil {
		entry = entry.WithField("displaced", report.scheduled.Displaced).WithField("held", report.scheduled.Held())
	}

	if report.info != nil && report.info.Framing != "" {
		entry = entry.WithField("framing", report.info.Framing)
		metric.Count(a.Metrics, "response.framing."+string(report.info.Framing))
	}

	if report.info != nil && report.info.Limit != (throttle.Limit{}) {
		entry = entry.WithField("limit", report.info.Limit.String())
		metric.Count(a.Metrics, "response.limited")
	}

	metric.Observe(a.Metrics, "wait.queue", report.waited)

	var err *fault.Error

	switch outcome := report.last.(type) {
	case message.Refused:
		err = outcome.Err
	case message.Failed:
		err = outcome.Err
	default:
		metric.Count(a.Metrics, "request.done")
		metric.Observe(a.Metrics, "wait.first", report.timeToFirst)
		entry.Info("request done")

		return
	}

	metric.Count(a.Metrics, "request.failed."+string(err.Kind))
	entry.WithField("kind", err.Kind).WithField("parts", delivery.SharedParts).
		WithField("digest", quarantine.RequestDigest(delivery.Request, delivery.Account)).WithError(err).Info("request failed")
}

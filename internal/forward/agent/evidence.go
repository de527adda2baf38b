package agent

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// responseBroken records that the model server ended the connection of a request, sent at the given time, before its response was known to
// be complete. The request or one of its prompt parts may have ended the server, wherever the response stood. The next report tells whether
// the server itself has ended.
func (a *Agent) responseBroken(delivery *message.Delivery, sentAt time.Time) {
	suspect := quarantine.Suspect{Request: delivery.ID, SentAt: sentAt, Subjects: requestSubjects(delivery)}

	a.mu.Lock()
	a.monitor.RecordBroken(time.Now(), suspect)
	a.mu.Unlock()

	a.wakeControl()
}

// requestSubjects returns the request and its prompt parts as subjects of the quarantine.
func requestSubjects(delivery *message.Delivery) []string {
	digest := quarantine.RequestDigest(delivery.Request, delivery.Account)

	return slices.Concat([]string{quarantine.RequestSubject(digest)}, delivery.SharedParts)
}

// RecordCrash implements relay.DRPCRelayServer.
func (a *Agent) RecordCrash(_ context.Context, report *relay.CrashReport) (*relay.CrashReply, error) {
	now := time.Now()

	a.mu.Lock()
	defer a.mu.Unlock()

	if a.monitor.RecordCrash(now, convert.CrashFromWire(now, report.GetCrash())) {
		a.notifyUrgent()
	}

	return &relay.CrashReply{}, nil
}

// recordVerdicts records what an entry has concluded about subjects, and notifies all entries if it is news.
func (a *Agent) recordVerdicts(settings *relay.Settings) {
	now := time.Now()

	a.mu.Lock()
	defer a.mu.Unlock()

	version := a.monitor.Version()
	a.monitor.RecordSound(convert.SoundFromWire(now, settings.GetSound()))

	if a.monitor.RecordHolds(now, convert.HoldsFromWire(now, settings.GetHolds())) {
		a.refuseAllQuarantined()
		a.dispatch()
	}

	// What is sound goes with the next message about the load.
	if a.monitor.Version() != version {
		a.notifyUrgent()
	}
}

// observeEnd records the end of the model server if a report, or the failure to get it, shows that it has ended. The lock must be held.
func (a *Agent) observeEnd(report *schedule.Report, err error) {
	restarted := err == nil && a.startedAt != 0 && report.StartedAt != a.startedAt
	if err == nil {
		a.startedAt = report.StartedAt
	}

	if err == nil && !restarted {
		a.monitor.RecordLoaded(func(subject string) bool { return holdsAdapter(report, subject) })
	}

	// No process listens any more. A call that is reset or times out does not show that the server has ended.
	closed := errors.Is(err, syscall.ECONNREFUSED)

	if restarted || closed {
		a.scheduler.BlockLoading(time.Now())

		a.ended = true
	}

	if !a.ended {
		return
	}

	if wait := a.monitor.UntilEndComplete(time.Now()); wait > 0 {
		time.AfterFunc(wait, a.wakeControl)
		return
	}

	a.ended = false

	crash, ok := a.monitor.RecordEnd(time.Now(), ident.New("crash"))
	if !ok {
		return
	}

	metric.Count(a.Metrics, "server.ended")

	a.logCrash(&crash)

	a.notifyUrgent()
}

// logCrash logs the end of the model server with its suspects. An order to load an adapter has no request.
func (a *Agent) logCrash(crash *quarantine.Crash) {
	requests := make([]string, 0, len(crash.Suspects))
	subjects := make([][]string, 0, len(crash.Suspects))

	for _, suspect := range crash.Suspects {
		requests = append(requests, suspect.Request)
		subjects = append(subjects, suspect.Subjects)
	}

	a.Log.WithFields(logrus.Fields{"crash": crash.ID, "requests": requests, "subjects": subjects}).Info("server ended under requests")
}

// holdsAdapter reports whether the model server holds the adapter with a subject.
func holdsAdapter(report *schedule.Report, subject string) bool {
	return slices.ContainsFunc(report.Models, func(model schedule.LoadedModel) bool {
		return slices.ContainsFunc(model.Adapters, func(held schedule.AdapterVersion) bool {
			return quarantine.AdapterSubject(held.Adapter.Model, held.Adapter.Name) == subject
		})
	})
}

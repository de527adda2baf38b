package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
)

// Quarantine is the tracker of an entry for concurrent use. It implements link.Quarantine. Its exported fields are set before
// use.
type Quarantine struct {
	Log     logrus.FieldLogger
	Metrics metrics.Registry
	// OnSound is called with subjects that are known to be sound for the first time or since a crash, or that this has released; may be
	// nil.
	OnSound func(subjects []string)
	// OnHold is called when this entry has put a subject into quarantine; may be nil.
	OnHold func()
	// OnCrash is called with the ends of servers that this entry has recognized; may be nil.
	OnCrash func(crash quarantine.Crash)
	Tracker quarantine.Tracker

	mu sync.Mutex
}

// ReceiveEvidence implements link.Quarantine.
func (q *Quarantine) ReceiveEvidence(server string, evidence quarantine.Evidence) {
	if q.record(server, &evidence) && q.OnHold != nil {
		q.OnHold()
	}
}

// reportCrash records the end of a server that this entry has recognized, and passes it on.
func (q *Quarantine) reportCrash(crash quarantine.Crash) {
	q.ReceiveEvidence(crash.Server, quarantine.Evidence{Crashes: []quarantine.Crash{crash}})

	if q.OnCrash != nil {
		q.OnCrash(crash)
	}
}

// record records evidence and reports whether it has put a subject into quarantine.
func (q *Quarantine) record(server string, evidence *quarantine.Evidence) bool {
	now := time.Now()

	q.mu.Lock()
	defer q.mu.Unlock()

	q.logReleased(q.Tracker.LearnSound(evidence.Sound), "server", server)

	for _, hold := range evidence.Holds {
		if q.Tracker.Adopt(hold) {
			q.logHeld(hold.Subject, "another entry", server)
		}
	}

	begun := false

	for _, crash := range evidence.Crashes {
		for _, subject := range q.Tracker.RecordCrash(now, crash) {
			q.logHeld(subject, crash.ID, server)

			begun = true
		}
	}

	return begun
}

// logHeld logs that a subject is in quarantine because of a crash, or because another entry holds it, as the agent of a server says.
func (q *Quarantine) logHeld(subject, cause, server string) {
	metric.Count(q.Metrics, "quarantine.begun."+string(quarantine.KindOf(subject)))
	q.logSubject(subject).WithFields(logrus.Fields{"cause": cause, fieldServer: server}).Warn("subject quarantined")
}

// logSubject returns a logger with a subject.
func (q *Quarantine) logSubject(subject string) *logrus.Entry {
	return q.Log.WithField("subject", subject)
}

// Holds implements link.Quarantine.
func (q *Quarantine) Holds() ([]quarantine.Hold, int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.Tracker.Holds()
}

// SoundNews implements link.Quarantine.
func (q *Quarantine) SoundNews(subjects []string, told map[string]time.Time) []quarantine.Sound {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.Tracker.SoundNews(subjects, told)
}

// recordLoaded records that a response to a request has begun, so that its adapter is loaded.
func (q *Quarantine) recordLoaded(j *job) {
	if j.request.Adapter != "" && q.hasEvidence() {
		q.recordSound(j.request.ID, []string{j.adapterSubject()})
	}
}

// recordParts records that a server has run a request with the parts to its end.
func (q *Quarantine) recordParts(request string, parts []string) {
	if len(parts) == 0 {
		return
	}

	q.mu.Lock()
	news := q.Tracker.HasEvidence() && len(q.Tracker.KnownSound(parts)) < len(parts) || slices.ContainsFunc(parts, q.Tracker.Suspected)
	released := q.Tracker.RecordSound(time.Now(), parts)
	q.logReleased(released, "request", request)
	q.mu.Unlock()

	if (news || len(released) > 0) && q.OnSound != nil {
		q.OnSound(parts)
	}
}

// recordRun records that a server has run a request to its end. Its parts are sound if the response was a success with a body: a part may
// end servers at any point of it. While ends of servers wait for their confirmation, it also counts for the request itself: the run may come
// after an end that is known for sure only later.
func (q *Quarantine) recordRun(j *job, success, endsPending bool) {
	if success {
		q.recordParts(j.request.ID, j.sharedParts)
	}

	if endsPending || q.hasEvidence() {
		q.recordSound(j.request.ID, j.ownSubjects())
	}
}

// recordSound records that a request has shown subjects other than parts to be sound.
func (q *Quarantine) recordSound(request string, subjects []string) {
	q.mu.Lock()
	suspected := slices.ContainsFunc(subjects, q.Tracker.Suspected)
	released := q.Tracker.RecordSound(time.Now(), subjects)
	q.logReleased(released, "request", request)
	q.mu.Unlock()

	if (suspected || len(released) > 0) && q.OnSound != nil {
		q.OnSound(subjects)
	}
}

// hasEvidence reports whether any crash or hold is known. Without one, no request needs a digest.
func (q *Quarantine) hasEvidence() bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.Tracker.HasEvidence()
}

// logReleased logs the release of subjects, with the request or the server that showed them to be sound.
func (q *Quarantine) logReleased(subjects []string, field, value string) {
	for _, subject := range subjects {
		metric.Count(q.Metrics, "quarantine.ended."+string(quarantine.KindOf(subject)))
		q.logSubject(subject).WithField(field, value).Info("subject released")
	}
}

// subjects returns what the quarantine may hold of a request.
func (q *Quarantine) subjects(j *job) []string {
	if !q.hasEvidence() {
		return j.sharedParts
	}

	return slices.Concat(j.sharedParts, j.ownSubjects())
}

// check returns the error for a request of which something is in quarantine; nil if it may be sent.
func (q *Quarantine) check(j *job) *fault.Error {
	subjects := q.subjects(j)

	q.mu.Lock()
	refusal, refused := q.Tracker.Check(time.Now(), subjects)
	q.mu.Unlock()

	if !refused {
		return nil
	}

	return refusal.Fault()
}

// admit is check for a request that is sent at once. It may be the trial of a subject, and stays that if it is sent to another server.
func (q *Quarantine) admit(j *job) *fault.Error {
	if j.tried != "" {
		return nil
	}

	subjects := q.subjects(j)

	q.mu.Lock()
	refusal, refused, trial := q.Tracker.Admit(time.Now(), subjects)
	q.mu.Unlock()

	if refused {
		return refusal.Fault()
	}

	if trial != "" {
		j.tried = trial
		q.logSubject(trial).WithField(fieldRequest, j.request.ID).Info("subject tried")
	}

	return nil
}

// mayRepeat reports whether a failed request may be sent to another server. A trial is not repeated, whatever it failed of.
func (q *Quarantine) mayRepeat(j *job) bool {
	if j.tried != "" || q.check(j) != nil {
		return false
	}

	if !j.broken {
		return true
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	return q.Tracker.MayRepeat(j.request.ID, j.sharedParts)
}

// held returns the number of subjects in quarantine.
func (q *Quarantine) held() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()

	return int64(q.Tracker.Held())
}

package entry

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/framing"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

const (
	// takeoverPeriod is the time between two checks for a server that can take over from a silent one.
	takeoverPeriod = 250 * time.Millisecond
	// stallMargin is the delay of a timer above which this process has stood still, and may not have read what it has received.
	stallMargin = 200 * time.Millisecond
)

var (
	errAgentSilent  = errors.New("agent sent nothing within the timeout")
	errServerSilent = errors.New("backend server sent nothing within the timeout")
)

// silenceWatch gives up the server of a request that sends nothing, or whose agent does, once another server can take the request over, and
// not before: the server may go on.
type silenceWatch struct {
	entry    *Entry
	server   fleet.Server
	response *response
	// readTimeout is how long the server may send nothing once it has the request; 0 if the request may not run once more.
	readTimeout time.Duration
	ctx         context.Context //nolint:containedctx // the timer has no context of its own
	// parent is the context of the request.
	parent context.Context //nolint:containedctx // see ctx
	giveUp context.CancelCauseFunc

	// mu also guards the job of the response until stop.
	mu sync.Mutex
	// heardAt is when the agent last sent anything. progressAt is when the server was sent the request, or the response last made progress; it
	// is zero before.
	heardAt, progressAt time.Time
	body                framing.Body
	// asked is the handover that is under way; nil for none. refusedBy holds the ids of the servers that did not take over.
	asked     *handover
	refusedBy map[string]bool
	// reported is true once a log line tells that no server can take over.
	reported bool
	// stopped is true once the server is given up or the response has ended.
	stopped atomic.Bool
	// gaveUp is why the server was given up; nil if it was not.
	gaveUp error

	// timerMu is not held while an event is passed on to the client.
	timerMu sync.Mutex
	timer   *time.Timer
	// dueAt is when the timer is to fire.
	dueAt time.Time
}

// watchSilence starts to watch the send of a request. The context that it returns ends when the server is given up.
func (e *Entry) watchSilence(parent context.Context, server fleet.Server, r *response) (context.Context, *silenceWatch) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &silenceWatch{
		entry: e, server: server, response: r, readTimeout: r.job.readTimeout(), ctx: ctx, parent: parent, giveUp: cancel, heardAt: time.Now(),
		refusedBy: map[string]bool{},
	}

	if w.readTimeout > 0 {
		wait, _ := w.untilSilent(w.heardAt)
		w.schedule(wait)
	}

	return ctx, w
}

// stop ends the watch, and returns why the server was given up; nil if it was not. The job is not used by the watch any more.
func (w *silenceWatch) stop() error {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.stopped.Store(true)
	w.giveUp(nil)
	w.takeBack()

	w.timerMu.Lock()
	defer w.timerMu.Unlock()

	if w.timer != nil {
		w.timer.Stop()
	}

	return w.gaveUp
}

// givenUp returns the outcome of a send to a server that was given up for the given reason.
func givenUp(last message.Event, silent error) message.Event {
	failed, ok := last.(message.Failed)
	if !ok {
		return last
	}

	return message.Failed{Err: fault.Wrap(errors.CombineErrors(silent, failed.Err), fault.OutcomeUnknown, "the server was given up")}
}

// emit observes an event of the response and passes it on; nil is a heartbeat of the agent. Events of a server that is given up are dropped,
// since its successor was chosen for what the client had before.
func (w *silenceWatch) emit(event message.Event) error {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.gaveUp != nil {
		return w.gaveUp
	}

	err := w.response.handle(event)
	// The time that a slow client takes does not count as silence.
	w.observe(time.Now(), event)

	return err
}

// observe records what an event tells about the silence. In a stream of events, only whole events are progress.
func (w *silenceWatch) observe(now time.Time, event message.Event) {
	w.heardAt = now

	if event != nil && w.asked != nil && !w.asked.leaving {
		w.takeBack()
	}

	switch e := event.(type) {
	case message.RequestSent:
		w.progressAt = now
	case message.ResponseStarted:
		w.progressAt = now
		w.body = framing.Body{EventStream: e.Head.IsEventStream(), EventsDue: w.response.job.route.Stream && e.Head.Status == http.StatusOK}
	case message.Data:
		// The receiver of the response rejects an event that is too long.
		if progressed, _ := w.body.Scan(e.Bytes); progressed {
			w.progressAt = now
		}
	}
}

// untilSilent returns the time until the agent or the server has sent nothing for too long, or the server is about to end, and the error for what
// is first.
func (w *silenceWatch) untilSilent(now time.Time) (time.Duration, error) {
	left, err := w.untilSilence(now)
	if move, known := w.untilMove(now); known && move < left {
		return move, errServerEnding
	}

	return left, err
}

// untilSilence returns the time until the agent or the server has sent nothing for too long, and the error for the one that is first.
func (w *silenceWatch) untilSilence(now time.Time) (time.Duration, error) {
	left, err := w.readTimeout, errServerSilent

	if !w.progressAt.IsZero() {
		left -= now.Sub(w.progressAt)
	}

	if w.response.job.service.Engine == nil {
		return left, err
	}

	if agentLeft := agentTimeout - now.Sub(w.heardAt); agentLeft < left || w.progressAt.IsZero() {
		return agentLeft, errAgentSilent
	}

	return left, err
}

// check gives up the server if it is silent and another one can take over, and is due again otherwise.
func (w *silenceWatch) check() {
	next, wait, silent := w.assess(time.Now())

	if next != nil && w.takeOver(next, silent) {
		return
	}

	w.schedule(wait)
}

// assess returns the request as it would be sent once more, the time until the next check, and who is silent; nil if nobody is.
func (w *silenceWatch) assess(now time.Time) (next *job, wait time.Duration, silent error) {
	// An event that is being passed on to a slow client is no silence.
	if !w.mu.TryLock() {
		return nil, takeoverPeriod, nil
	}

	defer w.mu.Unlock()

	if w.stopped.Load() {
		return nil, takeoverPeriod, nil
	}

	if w.isLate(now) {
		return nil, stallMargin, nil
	}

	left, silent := w.untilSilent(now)
	if left > 0 {
		return nil, left, nil
	}

	if w.asked != nil {
		return nil, takeoverPeriod, nil
	}

	next = w.response.afterGivingUp(w.server)
	maps.Copy(next.excluded, w.refusedBy)

	return next, takeoverPeriod, silent
}

// schedule has the watch check again after the given time.
func (w *silenceWatch) schedule(wait time.Duration) {
	w.timerMu.Lock()
	defer w.timerMu.Unlock()

	if w.stopped.Load() {
		return
	}

	if w.canMove() {
		wait = min(wait, drainCheckPeriod)
	}

	w.dueAt = time.Now().Add(wait)

	if w.timer == nil {
		w.timer = time.AfterFunc(wait, w.check)
	} else {
		w.timer.Reset(wait)
	}
}

// isLate reports whether the timer has fired later than it was to.
func (w *silenceWatch) isLate(now time.Time) bool {
	w.timerMu.Lock()
	defer w.timerMu.Unlock()

	return now.Sub(w.dueAt) > stallMargin
}

// takeOver gives up the server if another one can take the request over and the retry budget allows it, and reports whether it did. The
// response may have gone on during the search. If the agent of the server is heard, the other one is asked first.
func (w *silenceWatch) takeOver(next *job, silent error) bool {
	asks := next.service.Engine != nil && errors.IsAny(silent, errServerSilent, errServerEnding)
	if asks {
		next.gaveUp = nil
	}

	successor, refused := w.entry.findSuccessor(w.ctx, next)

	w.mu.Lock()
	defer w.mu.Unlock()

	left, _ := w.untilSilent(time.Now())
	if w.stopped.Load() || left > 0 {
		return false
	}

	if refused == nil && !w.entry.takeRetry(time.Now(), next.service.Name) {
		refused = errNoRetryLeft
	}

	if refused != nil {
		w.reportKept(silent, refused)
		return false
	}

	if asks {
		w.ask(next, successor, silent)
		return false
	}

	w.abandon(successor, next, silent)

	return true
}

// abandon gives up the server for another one.
func (w *silenceWatch) abandon(successor fleet.Server, next *job, silent error) {
	j := w.response.job
	j.successor, j.gaveUp, j.expectedWait = &successor, &w.server, next.expectedWait
	j.refusals = 0
	w.stopped.Store(true)
	w.gaveUp = silent

	metric.Count(w.entry.Metrics, "silence.given_up")
	w.logSilence(silent).WithField("successor", successor.ID).Info("silent server given up")
	w.giveUp(silent)
}

// takeBack ends a handover that is under way.
func (w *silenceWatch) takeBack() {
	if w.asked != nil {
		w.asked.cancel()
	}
}

// reportKept logs once for each send that no server can take over.
func (w *silenceWatch) reportKept(silent error, reason *fault.Error) {
	if w.reported {
		return
	}

	w.reported = true

	metric.Count(w.entry.Metrics, "silence.kept")
	w.logSilence(silent).WithField("reason", reason.Error()).Info("silent server kept, no other can take over")
}

func (w *silenceWatch) logSilence(silent error) *logrus.Entry {
	return w.entry.Log.WithError(silent).WithFields(logrus.Fields{
		fieldRequest: w.response.job.request.ID, fieldServer: w.server.ID, "begun": w.response.begun, "last": w.response.job.splitter.LastID,
		"version": w.server.Version, "age": time.Since(w.response.job.request.Arrived).Milliseconds(),
	})
}

package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// waiter is a request that waits for the decision whether it starts.
type waiter struct {
	delivery *message.Delivery
	// decided receives the decision; it has room for it.
	decided chan schedule.Action
}

// subjects returns what the quarantine may hold of the request.
func (w *waiter) subjects() []string {
	subjects := requestSubjects(w.delivery)

	if w.delivery.Adapter != "" {
		subjects = append(subjects, quarantine.AdapterSubject(w.delivery.Model, w.delivery.Adapter))
	}

	return subjects
}

// awaitDecision queues the request and waits for the scheduler's decision. It returns nil if the request may start, the refusal if it may
// not, and an error if the entry disconnects first.
func (a *Agent) awaitDecision(ctx context.Context, delivery *message.Delivery, scheduled *schedule.Request) (*message.Refused, error) {
	waiting := &waiter{delivery: delivery, decided: make(chan schedule.Action, 1)}

	a.mu.Lock()
	a.waiters[scheduled] = waiting
	a.scheduler.Add(scheduled)
	a.refuseQuarantined(scheduled)
	a.dispatch()
	a.notifyWatchers()
	a.mu.Unlock()
	a.wakeControl()

	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "entry disconnected")
	case action := <-waiting.decided:
		if refuse, ok := action.(schedule.Refuse); ok {
			return &message.Refused{Err: refuse.Err}, nil
		}
	}

	return nil, nil //nolint:nilnil // neither a refusal nor an error: the request may start
}

// deliver passes the decision on a request to its waiter. The lock must be held.
func (a *Agent) deliver(scheduled *schedule.Request, action schedule.Action) {
	waiting := a.waiters[scheduled]
	if waiting == nil {
		return
	}

	delete(a.waiters, scheduled)

	waiting.decided <- action
}

// refuseAllQuarantined refuses all waiting requests of which something is held: they may have been sent here before their entry knew of the
// hold. The lock must be held.
func (a *Agent) refuseAllQuarantined() {
	for scheduled := range a.waiters {
		a.refuseQuarantined(scheduled)
	}
}

// refuseQuarantined refuses a waiting request if something of it is held. The lock must be held.
func (a *Agent) refuseQuarantined(scheduled *schedule.Request) {
	now := time.Now()

	if !a.monitor.HasHolds(now) {
		return
	}

	refusal, refused := a.monitor.Check(now, a.waiters[scheduled].subjects())
	if !refused {
		return
	}

	metric.Count(a.Metrics, "queue.refused.quarantined")
	a.scheduler.Remove(scheduled)
	a.deliver(scheduled, schedule.Refuse{Request: scheduled, Err: refusal.Fault()})
}

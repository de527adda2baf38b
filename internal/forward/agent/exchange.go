package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// eventMargin is subtracted from the objective to get the time at which the model server must send the first event: the time that the event
// takes through agent and entry to the client, with the queues of busy processes.
const eventMargin = 20 * time.Millisecond

// heartbeatPeriod is the time without an event on the stream of a request after which the agent sends a heartbeat.
const heartbeatPeriod = 400 * time.Millisecond

// eventSender sends the events of one response, and heartbeats between them.
type eventSender struct {
	stream relay.DRPCRelay_ExchangeStream

	mu       sync.Mutex
	lastSent time.Time
}

func (s *eventSender) emit(event message.Event) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.lastSent = time.Now()

	return errors.Wrap(s.stream.Send(convert.EventToWire(event)), "send event")
}

// sendHeartbeats sends heartbeats until the context ends, and cancels the request if the entry has disconnected.
func (s *eventSender) sendHeartbeats(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(heartbeatPeriod / 2)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}

		s.mu.Lock()
		due := time.Since(s.lastSent) >= heartbeatPeriod
		s.mu.Unlock()

		if due && s.emit(nil) != nil {
			cancel()
			return
		}
	}
}

// Exchange implements relay.DRPCRelayServer.
func (a *Agent) Exchange(request *relay.Request, stream relay.DRPCRelay_ExchangeStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()

	arrived := time.Now()
	delivery := convert.DeliveryFromWire(arrived, request)
	sender := &eventSender{stream: stream, lastSent: arrived}

	exchange := a.beginExchange(delivery, arrived)
	defer a.endExchange(exchange)

	go sender.sendHeartbeats(ctx, cancel)

	if refused := a.takeBody(len(delivery.Body)); refused != nil {
		a.reportExchange(delivery, exchangeReport{last: *refused})
		return sender.emit(*refused)
	}

	defer a.releaseBody(len(delivery.Body))

	scheduled := scheduledRequest(delivery, arrived)
	defer a.finish(scheduled)

	refused, err := a.awaitDecision(ctx, delivery, scheduled)
	if err != nil {
		return err
	}

	started := time.Now()

	if refused != nil {
		a.reportExchange(delivery, exchangeReport{scheduled: scheduled, waited: started.Sub(arrived), last: *refused})
		return sender.emit(*refused)
	}

	a.setProgress(exchange, false)

	recorder := &beginRecorder{agent: a, delivery: delivery}
	pauses := &pauseMeter{}
	timeToFirst := time.Duration(0)
	last, info := a.Upstream.Exchange(ctx, a.Address, delivery, func(event message.Event) error {
		if data, isData := event.(message.Data); isData {
			pauses.observe(time.Now(), data.Bytes)

			if timeToFirst == 0 {
				timeToFirst = time.Since(started)
				a.setProgress(exchange, true)
			}

			a.observeOutput(scheduled)
		}

		return sender.emit(recorder.observe(event))
	})

	a.reportExchange(delivery, exchangeReport{
		scheduled: scheduled, waited: started.Sub(arrived), timeToFirst: timeToFirst, took: time.Since(started), gap: pauses.longest, info: info, last: last,
	})

	if info != nil && info.Ended() {
		a.responseBroken(delivery, started)
	}

	return sender.emit(last)
}

// scheduledRequest returns the scheduler's view of a request.
func scheduledRequest(delivery *message.Delivery, arrived time.Time) *schedule.Request {
	startedAt := int64(0)
	if delivery.Bound {
		startedAt = delivery.StartedAt
	}

	return &schedule.Request{
		StartedAt:       startedAt,
		Adapter:         schedule.Adapter{Model: delivery.Model, Name: delivery.Adapter},
		MinVersion:      delivery.MinVersion,
		InputTokens:     delivery.PromptTokens,
		MaxOutputTokens: delivery.MaxOutputTokens,
		Urgency:         delivery.Urgency,
		Arrived:         arrived,
		Due:             arrived.Add(delivery.Objective - eventMargin),
		Expires:         arrived.Add(delivery.MaxWait),
		GapTarget:       delivery.GapTarget,
		Resumed:         delivery.LastEventID != message.NoEventID,
	}
}

// observeOutput tells the scheduler that the model server has sent output of the request.
func (a *Agent) observeOutput(scheduled *schedule.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()

	now := time.Now()
	prefilled := a.scheduler.ObserveEvent(now, scheduled)

	switch {
	case prefilled:
		a.dispatch()
	case a.scheduler.Recheck(now):
		notify(a.recheck)
	}
}

// finish removes the request from the scheduler.
func (a *Agent) finish(scheduled *schedule.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.waiters, scheduled)
	a.scheduler.Remove(scheduled)
	a.dispatch()
	a.notifyWatchers()
}

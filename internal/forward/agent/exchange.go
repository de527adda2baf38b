package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// dueMargin is the time that a model server takes to read a prompt and to write the first output.
const dueMargin = 150 * time.Millisecond

// beatPeriod is the longest silence of an agent on the stream of a request.
const beatPeriod = 400 * time.Millisecond

// sender sends the events of one answer and heartbeats between them.
type sender struct {
	stream relay.DRPCRelay_ExchangeStream

	mu   sync.Mutex
	last time.Time
}

func (s *sender) emit(event message.Event) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.last = time.Now()

	return errors.Wrap(s.stream.Send(convert.ToEvent(event)), "send event")
}

// beat keeps the stream alive until the context ends, and cancels the request once the entry is gone.
func (s *sender) beat(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(beatPeriod / 2)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}

		s.mu.Lock()
		due := time.Since(s.last) >= beatPeriod
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
	delivery := convert.FromRequest(arrived, request)
	out := &sender{stream: stream, last: arrived}

	go out.beat(ctx, cancel)

	ticket := ticketOf(delivery, arrived)
	defer a.finish(ticket)

	refused, err := a.await(ctx, ticket)
	if err != nil {
		return err
	}

	started := time.Now()

	if refused != nil {
		a.reportExchange(delivery, started.Sub(arrived), 0, *refused)
		return out.emit(*refused)
	}

	first := time.Duration(0)
	last, _ := a.Upstream.Exchange(ctx, a.Address, delivery, func(event message.Event) error {
		if _, data := event.(message.Data); data && first == 0 {
			first = time.Since(started)
			a.begun(ticket)
		}

		return out.emit(event)
	})

	a.reportExchange(delivery, started.Sub(arrived), first, last)

	return out.emit(last)
}

func ticketOf(delivery *message.Delivery, arrived time.Time) *schedule.Request {
	return &schedule.Request{
		Adapter:         schedule.Adapter{Model: delivery.Model, Name: delivery.Adapter},
		MinVersion:      delivery.MinVersion,
		InputTokens:     delivery.PromptTokens,
		MaxOutputTokens: delivery.MaxOutputTokens,
		Urgency:         delivery.Urgency,
		Arrived:         arrived,
		Due:             arrived.Add(delivery.Objective - dueMargin),
		Expires:         arrived.Add(delivery.QueueTimeout),
	}
}

// await waits for the turn of the request; a refusal says that it has none.
func (a *Agent) await(ctx context.Context, ticket *schedule.Request) (*message.Refused, error) {
	decided := make(chan schedule.Action, 1)

	a.mu.Lock()
	a.waiters[ticket] = decided
	a.scheduler.Add(ticket)
	a.advance()
	a.notify()
	a.mu.Unlock()
	a.poke()

	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "the entry has gone")
	case action := <-decided:
		if refuse, ok := action.(schedule.Refuse); ok {
			return &message.Refused{Err: refuse.Err}, nil
		}
	}

	return nil, nil //nolint:nilnil // neither a refusal nor an error: the request may start
}

func (a *Agent) begun(ticket *schedule.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.scheduler.OutputStarted(ticket)
	a.advance()
}

func (a *Agent) finish(ticket *schedule.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.waiters, ticket)
	a.scheduler.Remove(ticket)
	a.advance()
	a.notify()
}

// reportExchange logs and counts the outcome of a request.
func (a *Agent) reportExchange(delivery *message.Delivery, waited, first time.Duration, last message.Event) {
	entry := a.Log.WithFields(logrus.Fields{
		"request": delivery.ID, "adapter": delivery.Adapter, "version": delivery.MinVersion, "instance": delivery.Instance,
		"waited": waited.Milliseconds(), "first": first.Milliseconds(), "patience": delivery.QueueTimeout.Milliseconds(),
	})

	metric.Observe(a.Metrics, "wait.queue", waited)

	var err *fault.Error

	switch outcome := last.(type) {
	case message.Refused:
		err = outcome.Err
	case message.Failed:
		err = outcome.Err
	default:
		metric.Count(a.Metrics, "request.done")
		metric.Observe(a.Metrics, "wait.first", first)
		entry.Info("request done")

		return
	}

	metric.Count(a.Metrics, "request.failed."+string(err.Kind))
	entry.WithField("kind", err.Kind).WithError(err).Info("request failed")
}

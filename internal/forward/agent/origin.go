package agent

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/events"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/origin"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// beginRecorder follows one response and remembers which process of the model server began the stream.
type beginRecorder struct {
	agent    *Agent
	delivery *message.Delivery
	// startedAt is the start of the process when it began to respond, in Unix milliseconds.
	startedAt int64
	progress  events.Progress
	// done is true once the begin is recorded, or if the response is no stream of events.
	done bool
}

// observe follows an event of the response, and returns it with the start of the process.
func (r *beginRecorder) observe(event message.Event) message.Event {
	switch e := event.(type) {
	case message.ResponseStarted:
		r.startedAt = r.agent.serverStart()
		r.done = !e.Head.IsEventStream()
		e.StartedAt = r.startedAt

		return e
	case message.Data:
		r.observeData(e.Bytes)
	}

	return event
}

// observeData records the begin of the stream at the end of its first whole event.
func (r *beginRecorder) observeData(data []byte) {
	if r.done {
		return
	}

	// An event that is too long ends the response.
	if whole, err := r.progress.Scan(data); err != nil || !whole {
		return
	}

	r.done = true
	d := r.delivery
	r.agent.origins.Put(time.Now(), d.Origin(), origin.Of(d.Instance, d.ServerVersion, d.StartedAt, r.startedAt))
}

// serverStart returns the start of the model server's process in Unix milliseconds; 0 before its first report.
func (a *Agent) serverStart() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.scheduler.ServerStart()
}

// FindOrigin implements relay.DRPCRelayServer.
func (a *Agent) FindOrigin(_ context.Context, query *relay.OriginQuery) (*relay.OriginReply, error) {
	now := time.Now()
	metric.Count(a.Metrics, "origin.asked")

	begin, ok := a.origins.Get(now, string(query.GetAttempt()))
	if !ok {
		return &relay.OriginReply{}, nil
	}

	return &relay.OriginReply{Origin: convert.OriginToWire(now, begin)}, nil
}

// RecordOrigin implements relay.DRPCRelayServer.
func (a *Agent) RecordOrigin(_ context.Context, report *relay.OriginReport) (*relay.OriginReceipt, error) {
	now := time.Now()

	if begin, ok := convert.OriginFromWire(now, report.GetOrigin()); ok {
		a.origins.Put(now, string(report.GetAttempt()), begin)
	}

	return &relay.OriginReceipt{}, nil
}

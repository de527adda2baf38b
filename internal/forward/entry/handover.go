package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// errTakenBack ends a handover because the silent server has gone on, or the request has ended.
var errTakenBack = errors.New("the silent server went on")

// handover asks the agent of another model server to run a request whose server is silent. The silent server is given up only once the other
// one has been sent the request; the send that follows then receives the response.
type handover struct {
	server fleet.Server
	cancel context.CancelFunc
	ctx    context.Context //nolint:containedctx // it outlives the call that asks
	// events are those of the response once it is handed over; nil is a heartbeat of the agent.
	events chan message.Event
	// ended is closed once last, the outcome, is set.
	ended chan struct{}
	last  message.Event
	// leaving is true if the server is asked because the one that runs the request is about to end; head is then the head of its response.
	leaving bool
	head    message.Event
	// sent is true once the other server has been sent the request, and handedOver once the silent one is given up. Only the goroutine of the
	// handover uses them.
	sent, handedOver bool
}

// ask asks the agent of another server to run the request as it is now.
func (w *silenceWatch) ask(next *job, server fleet.Server, silent error) {
	ctx, cancel := context.WithCancel(w.parent)
	h := &handover{server: server, cancel: cancel, ctx: ctx, events: make(chan message.Event), ended: make(chan struct{})}
	h.leaving = errors.Is(silent, errServerEnding)
	w.asked = h

	metric.Count(w.entry.Metrics, "silence.asked")

	go func() {
		h.last = w.entry.relay(ctx, next, server, func(event message.Event) error { return w.hear(h, next, silent, event) })
		close(h.ended)

		if !h.handedOver {
			cancel()
			w.recordRefusal(h)
		}
	}()
}

// hear handles an event from the agent of the server that was asked.
func (w *silenceWatch) hear(h *handover, next *job, silent error, event message.Event) error {
	if h.handedOver {
		return h.pass(event)
	}

	if h.leaving {
		return w.handleNext(h, next, event)
	}

	if _, sent := event.(message.RequestSent); !sent {
		return nil
	}

	h.sent = true

	if !w.handOver(h, next, silent) {
		return errTakenBack
	}

	h.handedOver = true

	return nil
}

// handOver gives up the silent server for the one that has been sent the request, and reports whether it did: the silent one may have gone on.
func (w *silenceWatch) handOver(h *handover, next *job, silent error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	j := w.response.job
	left, _ := w.untilSilent(time.Now())

	if w.stopped.Load() || left > 0 || !w.isCurrent(next, silent) {
		return false
	}

	w.asked = nil
	j.handover = h
	w.abandon(h.server, next, silent)

	return true
}

// recordRefusal has the server that did not take over not be asked again. It may have run the request if it was sent it.
func (w *silenceWatch) recordRefusal(h *handover) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.asked == h {
		w.asked = nil
	}

	if w.stopped.Load() {
		return
	}

	w.refusedBy[h.server.ID] = true

	if h.sent {
		w.response.job.runs++
	}

	metric.Count(w.entry.Metrics, "silence.refused")
}

// pass hands an event to the send that receives the response.
func (h *handover) pass(event message.Event) error {
	select {
	case h.events <- event:
		return nil
	case <-h.ctx.Done():
		return h.ctx.Err()
	}
}

// receive forwards the response and returns its outcome.
func (h *handover) receive(ctx context.Context, emit upstream.Emit) message.Event {
	defer h.cancel()

	if err := emit(message.RequestSent{}); err != nil {
		return message.Failed{Err: fault.Wrap(err, fault.Canceled, "client disconnected")}
	}

	for {
		select {
		case event := <-h.events:
			if err := emit(event); err != nil {
				return message.Failed{Err: fault.Wrap(err, fault.Canceled, "client disconnected")}
			}
		case <-h.ended:
			return h.last
		case <-ctx.Done():
			return brokenStreamOutcome(ctx, ctx.Err())
		}
	}
}

// takeHandover returns the handover to the server to which the request is sent; nil if there is none. One to another server is ended.
func (j *job) takeHandover(server fleet.Server) *handover {
	taken := j.handover
	if taken != nil && taken.server.ID != server.ID {
		j.dropHandover()
		return nil
	}

	j.handover = nil

	return taken
}

// dropHandover ends a handover whose server does not get the request after all.
func (j *job) dropHandover() {
	if j.handover != nil {
		j.handover.cancel()
		j.handover = nil
	}
}

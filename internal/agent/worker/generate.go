package worker

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	// maxResumes is the maximum number of consecutive resumes of a stream without a new event.
	maxResumes = 3
	// cancelTimeout limits the call to cancel a request at the engine.
	cancelTimeout = 2 * time.Second
)

var (
	foreignEvents      = metrics.GetOrRegisterCounter("agent.event.foreign", metrics.DefaultRegistry)
	wrongAdapterEvents = metrics.GetOrRegisterCounter("agent.event.crossed", metrics.DefaultRegistry)
	resumedStreams     = metrics.GetOrRegisterCounter("agent.stream.resumed", metrics.DefaultRegistry)
)

// errIncomplete is returned for a stream that has a gap or ended without its end marker.
var errIncomplete = errors.New("the engine's stream is incomplete")

// Generation runs one generation at an engine.
type Generation struct {
	Engine  engine.Engine
	Request engine.Request
	// OnEvent is called with the service time of each event; first is true for the first one. May be nil.
	OnEvent func(first bool, took time.Duration, tokens int64)
	// OnStreamBroken is called when the engine's stream broke, before the stream is resumed or the request fails. May be nil.
	OnStreamBroken func(ctx context.Context)
	// OnCompleted is called with the outcome before readers of the buffer receive it, so that the load that is sent with the
	// outcome no longer includes the request. May be nil.
	OnCompleted func(outcome Outcome[engine.Event])
}

// Run runs the generation and writes its events and its outcome to the buffer.
func (g *Generation) Run(ctx context.Context, buffer *ResponseBuffer) {
	outcome := g.run(ctx, buffer)

	if outcome.Err != nil && !outcome.Refused {
		g.cancel(ctx)
	}

	if g.OnCompleted != nil {
		g.OnCompleted(outcome)
	}

	buffer.complete(outcome)
}

func (g *Generation) run(ctx context.Context, buffer *ResponseBuffer) Outcome[engine.Event] {
	began := time.Now()

	stream, err := g.Engine.Generate(ctx, g.Request)
	if err != nil {
		return g.rejectedOutcome(ctx, err)
	}

	buffer.markAccepted()

	reader := &streamReader{generation: g, buffer: buffer, eventStart: began}
	resumesLeft := maxResumes

	for {
		before := reader.nextSeq

		last, err := reader.readStream(ctx, stream)
		if err == nil {
			return Outcome[engine.Event]{Value: &last}
		}

		if !errors.Is(err, errIncomplete) {
			return Outcome[engine.Event]{Err: err}
		}

		if reader.nextSeq > before {
			resumesLeft = maxResumes
		}

		if resumesLeft == 0 {
			return Outcome[engine.Event]{Err: fault.Wrap(err, fault.Interrupted, "the engine's response ended early")}
		}

		resumesLeft--

		stream, err = g.resume(ctx, reader.nextSeq)
		if err != nil {
			return Outcome[engine.Event]{Err: err}
		}
	}
}

// rejectedOutcome returns the outcome after a failed Generate. An engine that returns NotFound or Overloaded has not run the
// request.
func (g *Generation) rejectedOutcome(ctx context.Context, err error) Outcome[engine.Event] {
	switch {
	case ctx.Err() != nil:
		return Outcome[engine.Event]{Err: fault.FromError(ctx.Err())}
	case fault.Is(err, fault.NotFound):
		refusal := fault.Wrap(err, fault.AdapterUnavailable, "adapter %s is not resident", g.Request.Adapter.Name)
		return Outcome[engine.Event]{Err: refusal, Refused: true}
	case fault.Is(err, fault.Overloaded):
		return Outcome[engine.Event]{Err: fault.Wrap(err, fault.Overloaded, "the engine accepts no more requests"), Refused: true}
	}

	if g.OnStreamBroken != nil {
		g.OnStreamBroken(ctx)
	}

	return Outcome[engine.Event]{Err: fault.Wrap(err, fault.BackendFailed, "the engine failed the request")}
}

func (g *Generation) resume(ctx context.Context, seq int64) (engine.Stream, error) {
	resumedStreams.Inc(1)

	if g.OnStreamBroken != nil {
		g.OnStreamBroken(ctx)
	}

	stream, err := g.Engine.Resume(ctx, g.Request.ID, seq)

	switch {
	case err == nil:
		return stream, nil
	case ctx.Err() != nil:
		return nil, fault.FromError(ctx.Err())
	default:
		return nil, fault.Wrap(err, fault.Interrupted, "the engine's response ended early and cannot be resumed")
	}
}

// cancel cancels the request at the engine, even if its own context has ended.
func (g *Generation) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()

	// If the call fails, the engine stops at the request's token limit.
	_ = g.Engine.Cancel(ctx, g.Request.ID)
}

// streamReader reads one response from the engine, across the streams on which it is resumed.
type streamReader struct {
	generation *Generation
	buffer     *ResponseBuffer
	// nextSeq is the sequence number of the next event.
	nextSeq    int64
	eventStart time.Time
}

// readStream reads one stream up to its end marker and returns the marker. The error is errIncomplete if the stream must be
// resumed.
func (r *streamReader) readStream(ctx context.Context, stream engine.Stream) (engine.Event, error) {
	// Next takes no context; closing the stream ends it.
	release := context.AfterFunc(ctx, func() { _ = stream.Close() })

	defer func() {
		release()
		_ = stream.Close()
	}()

	for {
		event, err := stream.Next()

		switch {
		case ctx.Err() != nil:
			return event, fault.FromError(ctx.Err())
		case errors.Is(err, io.EOF):
			return event, errIncomplete
		case err != nil:
			return event, errors.CombineErrors(errIncomplete, err)
		}

		done, err := r.accept(ctx, event)
		if done || err != nil {
			return event, err
		}
	}
}

// accept checks an event and writes it to the buffer; it reports whether the event is the valid end marker.
func (r *streamReader) accept(ctx context.Context, event engine.Event) (bool, error) {
	request := r.generation.Request

	if event.ID != request.ID {
		foreignEvents.Inc(1)
		return false, nil
	}

	if event.Adapter != request.Adapter {
		wrongAdapterEvents.Inc(1)
		return false, fault.New(fault.BackendFailed, "the engine responded with adapter %s version %s", event.Adapter.Name, event.Adapter.Version)
	}

	if event.Seq > r.nextSeq || event.End && event.Seq != r.nextSeq {
		return false, errIncomplete
	}

	if event.End {
		return true, nil
	}

	if event.Seq < r.nextSeq {
		return false, nil
	}

	r.reportEvent(event)

	if err := r.buffer.write(ctx, event); err != nil {
		return false, fault.FromError(err)
	}

	r.nextSeq++
	// The wait for a slow reader is not the engine's service time.
	r.eventStart = time.Now()

	return false, nil
}

func (r *streamReader) reportEvent(event engine.Event) {
	if r.generation.OnEvent != nil {
		r.generation.OnEvent(event.Seq == 0, time.Since(r.eventStart), event.Tokens)
	}
}

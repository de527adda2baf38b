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
	// resumes is the number of times in a row that a stream is resumed without a new event.
	resumes = 3
	// cancelTimeout bounds the order to cancel a request at the engine.
	cancelTimeout = 2 * time.Second
)

var (
	foreign = metrics.GetOrRegisterCounter("agent.event.foreign", metrics.DefaultRegistry)
	crossed = metrics.GetOrRegisterCounter("agent.event.crossed", metrics.DefaultRegistry)
	resumed = metrics.GetOrRegisterCounter("agent.stream.resumed", metrics.DefaultRegistry)
)

// errBroken says that the stream has a gap or ended without its end marker.
var errBroken = errors.New("the stream is incomplete")

// Generation runs one generation at an engine.
type Generation struct {
	Engine  engine.Engine
	Request engine.Request
	// Pace is told how long each event took; first marks the first one. May be nil.
	Pace func(first bool, took time.Duration, tokens int64)
	// Broken is called when the engine's stream broke, before it is resumed or given up. May be nil.
	Broken func(ctx context.Context)
	// Ended is called with the outcome before readers of the answer see it, so that the load which is reported with the
	// outcome no longer includes the request. May be nil.
	Ended func(outcome Outcome[engine.Event])
}

// Run runs the generation, writes its events to the answer and ends it.
func (g *Generation) Run(ctx context.Context, answer *Answer) {
	outcome := g.run(ctx, answer)

	if outcome.Err != nil && !outcome.Refused {
		g.cancel(ctx)
	}

	if g.Ended != nil {
		g.Ended(outcome)
	}

	answer.end(outcome)
}

func (g *Generation) run(ctx context.Context, answer *Answer) Outcome[engine.Event] {
	began := time.Now()

	stream, err := g.Engine.Generate(ctx, g.Request)
	if err != nil {
		return g.rejected(ctx, err)
	}

	answer.start()

	reading := &reading{generation: g, answer: answer, began: began}
	left := resumes

	for {
		before := reading.next

		last, err := reading.drain(ctx, stream)
		if err == nil {
			return Outcome[engine.Event]{Value: &last}
		}

		if !errors.Is(err, errBroken) {
			return Outcome[engine.Event]{Err: err}
		}

		if reading.next > before {
			left = resumes
		}

		if left == 0 {
			return Outcome[engine.Event]{Err: fault.Wrap(err, fault.Interrupted, "the engine's answer ended early")}
		}

		left--

		stream, err = g.resume(ctx, reading.next)
		if err != nil {
			return Outcome[engine.Event]{Err: err}
		}
	}
}

// rejected returns the outcome when Generate fails. An engine that names a reason has not run the request.
func (g *Generation) rejected(ctx context.Context, err error) Outcome[engine.Event] {
	switch {
	case ctx.Err() != nil:
		return Outcome[engine.Event]{Err: fault.FromError(ctx.Err())}
	case fault.Is(err, fault.NotFound):
		refusal := fault.Wrap(err, fault.AdapterUnavailable, "adapter %s is not resident", g.Request.Adapter.Name)
		return Outcome[engine.Event]{Err: refusal, Refused: true}
	case fault.Is(err, fault.Overloaded):
		return Outcome[engine.Event]{Err: fault.Wrap(err, fault.Overloaded, "the engine takes no more"), Refused: true}
	}

	if g.Broken != nil {
		g.Broken(ctx)
	}

	return Outcome[engine.Event]{Err: fault.Wrap(err, fault.BackendFailed, "the engine failed the request")}
}

func (g *Generation) resume(ctx context.Context, seq int64) (engine.Stream, error) {
	resumed.Inc(1)

	if g.Broken != nil {
		g.Broken(ctx)
	}

	stream, err := g.Engine.Resume(ctx, g.Request.ID, seq)

	switch {
	case err == nil:
		return stream, nil
	case ctx.Err() != nil:
		return nil, fault.FromError(ctx.Err())
	default:
		return nil, fault.Wrap(err, fault.Interrupted, "the engine's answer ended early and cannot be resumed")
	}
}

// cancel ends the request at the engine, even if the request's own context has ended.
func (g *Generation) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()

	// The engine stops by itself at the request's token limit if the order is lost.
	_ = g.Engine.Cancel(ctx, g.Request.ID)
}

// reading is the state of one answer across the streams that carry it.
type reading struct {
	generation *Generation
	answer     *Answer
	// next is the sequence number of the next event.
	next  int64
	began time.Time
}

// drain reads one stream up to its end marker, which it returns; errBroken says that the rest must be resumed.
func (r *reading) drain(ctx context.Context, stream engine.Stream) (engine.Event, error) {
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
			return event, errBroken
		case err != nil:
			return event, errors.CombineErrors(errBroken, err)
		}

		done, err := r.accept(ctx, event)
		if done || err != nil {
			return event, err
		}
	}
}

// accept checks an event and passes it on; it reports whether it was the valid end marker.
func (r *reading) accept(ctx context.Context, event engine.Event) (bool, error) {
	request := r.generation.Request

	if event.ID != request.ID {
		foreign.Inc(1)
		return false, nil
	}

	if event.Adapter != request.Adapter {
		crossed.Inc(1)
		return false, fault.New(fault.BackendFailed, "the engine answered with adapter %s version %s", event.Adapter.Name, event.Adapter.Version)
	}

	if event.Seq > r.next || event.End && event.Seq != r.next {
		return false, errBroken
	}

	if event.End {
		return true, nil
	}

	if event.Seq < r.next {
		return false, nil
	}

	r.pace(event)

	if err := r.answer.write(ctx, event); err != nil {
		return false, fault.FromError(err)
	}

	r.next++
	// The wait for a slow reader is not the engine's service time.
	r.began = time.Now()

	return false, nil
}

func (r *reading) pace(event engine.Event) {
	if r.generation.Pace != nil {
		r.generation.Pace(event.Seq == 0, time.Since(r.began), event.Tokens)
	}
}

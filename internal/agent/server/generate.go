package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/adapter/slots"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/queue"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/ramp"
	"github.com/chestnutbeam/chestnutbeam/internal/agent/worker"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// serveGenerate runs a generation, or resumes the stream of one that this process runs already.
func (s *Server) serveGenerate(ctx context.Context, out *responder, canceled func() bool) error {
	request := out.request

	if found := s.generations.find(request.RequestId); found != nil {
		return s.resume(ctx, out, found, canceled)
	}

	if request.Resume > 0 {
		return out.fail(fault.New(fault.Interrupted, "the response is no longer buffered"), 0)
	}

	in, err := s.checkArrival(ctx, request)
	if err != nil {
		return out.refuse(err)
	}

	j, err := s.admit(ctx, in)
	if err != nil {
		return out.refuse(err)
	}

	started, err := s.startGeneration(j, request)
	if err != nil {
		s.scheduler.withdraw(time.Now(), j)
		return out.refuse(err)
	}

	return s.relay(ctx, out, started, j, 0, canceled)
}

// admit waits until the request has its adapter and a concurrency slot, and repeats the checks of check. The returned job has
// a concurrency slot if the error is nil.
func (s *Server) admit(ctx context.Context, in *incomingRequest) (*job, error) {
	j := s.newJob(in)

	if err := s.scheduler.enqueue(time.Now(), j, s.limits(), s.canLoad()); err != nil {
		return nil, err
	}

	err := j.await(ctx)
	if err == nil {
		err = s.check(time.Now(), in)
	}

	if err == nil && !s.scheduler.holdsAdapter(j) {
		err = fault.New(fault.AdapterUnavailable, "adapter %s is no longer resident", j.waiter.Adapter.Name)
	}

	if err != nil {
		s.scheduler.withdraw(time.Now(), j)
		return nil, err
	}

	return j, nil
}

func (s *Server) newJob(in *incomingRequest) *job {
	request := in.request
	weight := s.defaults(request).Weight

	j := &job{
		item: queue.Item{
			ID:       request.RequestId,
			Account:  request.Account,
			Class:    request.Priority,
			Cost:     request.Cost,
			Weight:   weight,
			Deadline: in.deadline,
		},
		decision:       make(chan error, 1),
		arrivedAt:      in.receivedAt,
		adapterReadyAt: in.receivedAt,
	}

	// Calls to a plain service have no maximum wait, because a refused non-idempotent call is not sent to another server.
	if generate := request.GetGenerate(); generate != nil {
		j.item.MaxWait = queue.DefaultMaxWait
		j.waiter = &slots.Waiter{
			Adapter:  engine.Adapter{Name: generate.Adapter, Version: generate.Version},
			Class:    request.Priority,
			Deadline: in.deadline,
		}
	}

	return j
}

// startGeneration starts the generation of a job that has a concurrency slot. The slot is released on completion.
func (s *Server) startGeneration(j *job, request *rpc.RunRequest) (*generation, error) {
	ctx, cancel := context.WithDeadline(s.workCtx, j.item.Deadline)
	added := &generation{request: request, buffer: &worker.ResponseBuffer{}, cancel: cancel}

	if !s.generations.add(request.RequestId, added) {
		cancel()
		return nil, fault.New(fault.InvalidRequest, "request %s is already running", request.RequestId)
	}

	loadWait.Update(j.adapterReadyAt.Sub(j.arrivedAt))
	queueWait.Update(j.startedAt.Sub(j.adapterReadyAt))

	work := s.newWorker(j, request)
	work.OnCompleted = func(outcome worker.Outcome[engine.Event]) {
		s.generationCompleted(j, request, outcome, added.buffer.OutputTokens())
	}

	s.workGroup.Go(func() {
		defer cancel()

		work.Run(ctx, added.buffer)
	})

	return added, nil
}

func (s *Server) newWorker(j *job, request *rpc.RunRequest) *worker.Generation {
	generate := request.GetGenerate()

	return &worker.Generation{
		Engine: s.Engine,
		Request: engine.Request{
			ID:          request.RequestId,
			Model:       generate.Model,
			Adapter:     j.waiter.Adapter,
			Prompt:      generate.Prompt,
			MaxTokens:   generate.MaxTokens,
			Temperature: generate.Temperature,
			Seed:        generate.Seed,
			Stop:        generate.Stop,
			Priority:    request.Priority,
		},
		OnEvent: func(first bool, took time.Duration, tokens int64) {
			s.scheduler.observe(time.Now(), j, rampPhase(first), took, tokens)
		},
		OnStreamBroken: s.pollNow,
	}
}

func rampPhase(first bool) ramp.Phase {
	if first {
		return ramp.FirstOutput
	}

	return ramp.NextOutput
}

// generationCompleted releases the concurrency slot of a generation. A request that the engine refused used no tokens; any
// other one used its prompt tokens and the output tokens.
func (s *Server) generationCompleted(j *job, request *rpc.RunRequest, outcome worker.Outcome[engine.Event], output int64) {
	used := request.GetGenerate().PromptTokens + output

	if outcome.Refused {
		s.generations.remove(request.RequestId)

		used = 0
	} else {
		s.generations.removeLater(request.RequestId)
	}

	if outcome.Refused && fault.Is(outcome.Err, fault.AdapterUnavailable) {
		s.scheduler.adapterLost(time.Now(), j.waiter.Adapter)
	}

	s.scheduler.finish(time.Now(), j, outcome.Value != nil, used)
}

// resume continues the response of a generation for an entry whose connection was lost.
func (s *Server) resume(ctx context.Context, out *responder, found *generation, canceled func() bool) error {
	request := out.request

	if request.Boot != s.boot {
		return out.refuse(fault.New(fault.BootChanged, "this is agent process %s", s.boot))
	}

	if !sameCaller(found.request, request) {
		return out.refuse(fault.New(fault.InvalidRequest, "request %s differs from the running request of this id", request.RequestId))
	}

	return s.relay(ctx, out, found, nil, request.Resume, canceled)
}

// sameCaller reports whether a resume request has the account, key, model and adapter of the running request.
func sameCaller(running, request *rpc.RunRequest) bool {
	a, b := running.GetGenerate(), request.GetGenerate()

	return running.Account == request.Account && running.Key == request.Key &&
		a.Model == b.Model && a.Adapter == b.Adapter && a.Version == b.Version
}

// relay sends the events of a generation to the entry, starting at sequence number next. If the stream is lost, the
// generation can be resumed within resumeWindow; if the entry canceled the request, it is canceled at once.
func (s *Server) relay(ctx context.Context, out *responder, target *generation, j *job, next int64, canceled func() bool) error {
	target.attach()
	defer target.detach()

	reader, err := target.buffer.Attach(next)
	if err != nil {
		return out.fail(fault.Wrap(err, fault.Interrupted, "the response is no longer buffered"), 0)
	}

	err = s.forwardEvents(ctx, out, target, j, reader)

	if canceled() {
		target.cancel()
	}

	return err
}

// forwardEvents sends the events that the reader of the buffer receives, and then the outcome.
func (s *Server) forwardEvents(ctx context.Context, out *responder, source *generation, j *job, reader int64) error {
	if err := source.buffer.WaitAccepted(ctx); err != nil {
		return err
	}

	if refused := source.buffer.Outcome(); refused == nil || !refused.Refused {
		if err := out.started(j); err != nil {
			return err
		}
	}

	for {
		events, outcome, err := source.buffer.Read(ctx, reader)

		switch {
		case errors.Is(err, worker.ErrReplaced):
			return out.fail(fault.Wrap(err, fault.Interrupted, "resumed by another stream"), source.buffer.OutputTokens())
		case err != nil:
			return err
		case outcome != nil:
			return out.finish(outcome, source.buffer.OutputTokens())
		}

		for _, event := range events {
			if err := out.chunk(event); err != nil {
				return err
			}
		}
	}
}

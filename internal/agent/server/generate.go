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

// serveGenerate runs a generation, or resumes one that this process is running.
func (s *Server) serveGenerate(ctx context.Context, out *outlet, canceled func() bool) error {
	request := out.request

	if found := s.runs.find(request.RequestId); found != nil {
		return s.resume(ctx, out, found, canceled)
	}

	if request.Resume > 0 {
		return out.fail(fault.New(fault.Interrupted, "the answer is no longer kept"), 0)
	}

	a, err := s.arrive(ctx, request)
	if err != nil {
		return out.refuse(err)
	}

	j, err := s.admit(ctx, a)
	if err != nil {
		return out.refuse(err)
	}

	started, err := s.start(j, request)
	if err != nil {
		s.gate.leave(time.Now(), j)
		return out.refuse(err)
	}

	return s.relay(ctx, out, started, j, 0, canceled)
}

// admit waits for adapter and turn, and repeats the checks of the arrival. The job of a nil error has a place.
func (s *Server) admit(ctx context.Context, a *arrival) (*job, error) {
	j := s.newJob(a)

	if err := s.gate.enter(time.Now(), j, s.limits(), s.loadable()); err != nil {
		return nil, err
	}

	err := j.await(ctx)
	if err == nil {
		err = s.check(time.Now(), a)
	}

	if err == nil && !s.gate.holds(j) {
		err = fault.New(fault.AdapterUnavailable, "adapter %s is no longer resident", j.waiter.Adapter.Name)
	}

	if err != nil {
		s.gate.leave(time.Now(), j)
		return nil, err
	}

	return j, nil
}

func (s *Server) newJob(a *arrival) *job {
	request := a.request
	weight := s.policy(request).Weight

	j := &job{
		item: queue.Item{
			ID:       request.RequestId,
			Account:  request.Account,
			Class:    request.Priority,
			Cost:     request.Cost,
			Weight:   weight,
			Deadline: a.deadline,
		},
		turn:    make(chan error, 1),
		arrived: a.at,
		loaded:  a.at,
	}

	// Plain calls wait, because one that must not be repeated is sent to no other server after a refusal.
	if generate := request.GetGenerate(); generate != nil {
		j.item.MaxWait = queue.DefaultMaxWait
		j.waiter = &slots.Waiter{
			Adapter:  engine.Adapter{Name: generate.Adapter, Version: generate.Version},
			Class:    request.Priority,
			Deadline: a.deadline,
		}
	}

	return j
}

// start begins the generation of a job that has a place; its end gives the place back.
func (s *Server) start(j *job, request *rpc.RunRequest) (*run, error) {
	ctx, cancel := context.WithDeadline(s.work, j.item.Deadline)
	added := &run{request: request, answer: &worker.Answer{}, cancel: cancel}

	if !s.runs.add(request.RequestId, added) {
		cancel()
		return nil, fault.New(fault.InvalidRequest, "request %s is running already", request.RequestId)
	}

	loadWait.Update(j.loaded.Sub(j.arrived))
	queueWait.Update(j.started.Sub(j.loaded))

	generation := s.generation(j, request)
	generation.Ended = func(outcome worker.Outcome[engine.Event]) {
		s.ended(j, request, outcome, added.answer.Output())
	}

	s.group.Go(func() {
		defer cancel()

		generation.Run(ctx, added.answer)
	})

	return added, nil
}

func (s *Server) generation(j *job, request *rpc.RunRequest) *worker.Generation {
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
		Pace: func(first bool, took time.Duration, tokens int64) {
			s.gate.observe(time.Now(), j, phase(first), took, tokens)
		},
		Broken: s.pollNow,
	}
}

func phase(first bool) ramp.Phase {
	if first {
		return ramp.FirstOutput
	}

	return ramp.NextOutput
}

// ended gives back the place of a generation. A request that the engine refused used nothing; another one used its prompt and
// the output tokens.
func (s *Server) ended(j *job, request *rpc.RunRequest, outcome worker.Outcome[engine.Event], output int64) {
	used := request.GetGenerate().PromptTokens + output

	if outcome.Refused {
		s.runs.remove(request.RequestId)

		used = 0
	} else {
		s.runs.end(request.RequestId)
	}

	if outcome.Refused && fault.Is(outcome.Err, fault.AdapterUnavailable) {
		s.gate.lost(time.Now(), j.waiter.Adapter)
	}

	s.gate.finish(time.Now(), j, outcome.Value != nil, used)
}

// resume continues the answer of a generation for an entry whose connection broke.
func (s *Server) resume(ctx context.Context, out *outlet, found *run, canceled func() bool) error {
	request := out.request

	if request.Boot != s.boot {
		return out.refuse(fault.New(fault.BootChanged, "this is agent process %s", s.boot))
	}

	if !same(found.request, request) {
		return out.refuse(fault.New(fault.InvalidRequest, "request %s belongs to another call", request.RequestId))
	}

	return s.relay(ctx, out, found, nil, request.Resume, canceled)
}

// same reports whether a request to resume comes from the caller of the running one.
func same(running, request *rpc.RunRequest) bool {
	a, b := running.GetGenerate(), request.GetGenerate()

	return running.Account == request.Account && running.Key == request.Key &&
		a.Model == b.Model && a.Adapter == b.Adapter && a.Version == b.Version
}

// relay sends the answer from event number from on. A generation whose stream is lost may be resumed for a short time; one
// that the entry canceled ends at once.
func (s *Server) relay(ctx context.Context, out *outlet, from *run, j *job, next int64, canceled func() bool) error {
	from.attach()
	defer from.detach()

	reader, err := from.answer.Attach(next)
	if err != nil {
		return out.fail(fault.Wrap(err, fault.Interrupted, "the answer is no longer kept"), 0)
	}

	err = s.pass(ctx, out, from, j, reader)

	if canceled() {
		from.cancel()
	}

	return err
}

func (s *Server) pass(ctx context.Context, out *outlet, from *run, j *job, reader int64) error {
	if err := from.answer.Started(ctx); err != nil {
		return err
	}

	if refused := from.answer.Outcome(); refused == nil || !refused.Refused {
		if err := out.started(j); err != nil {
			return err
		}
	}

	for {
		events, outcome, err := from.answer.Read(ctx, reader)

		switch {
		case errors.Is(err, worker.ErrReplaced):
			return out.fail(fault.Wrap(err, fault.Interrupted, "resumed by another stream"), from.answer.Output())
		case err != nil:
			return err
		case outcome != nil:
			return out.finish(outcome, from.answer.Output())
		}

		for _, event := range events {
			if err := out.chunk(event); err != nil {
				return err
			}
		}
	}
}

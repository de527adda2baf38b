package server

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/admit/ramp"
	"github.com/chestnutbeam/chestnutbeam/internal/agent/worker"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/order/attempt"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// attemptRetention is how long the outcome of an attempt is kept. An entry queries it within the caller's timeout.
	attemptRetention = 10 * time.Minute
	// maxAttempts limits the number of recorded attempts; 10 calls per second for attemptRetention need 6,000.
	maxAttempts = 20000
	// maxAttemptBytes limits the total size of the recorded response bodies; a process may use 256 MB of memory.
	maxAttemptBytes = 64 << 20
	// callGrace is how long a non-idempotent call may run past the caller's deadline. A late response is recorded for the
	// next call with the same idempotency key. The bound keeps a service that hangs from holding its concurrency slots.
	callGrace = 30 * time.Second
)

// attempts guards the registry of non-idempotent calls with a mutex.
type attempts struct {
	mu       sync.Mutex
	registry attempt.Registry[*rpc.Done]
}

func newAttemptRegistry() attempt.Registry[*rpc.Done] {
	return attempt.Registry[*rpc.Done]{
		Retention:       attemptRetention,
		TicketLifetime:  ticketLifetime,
		MaxRecords:      maxAttempts,
		OutcomeSize:     func(done *rpc.Done) int64 { return int64(len(done.Body)) },
		MaxOutcomeBytes: maxAttemptBytes,
	}
}

func (a *attempts) begin(now time.Time, id string) error {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.registry.Begin(now, id)
}

func (a *attempts) start(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.registry.Start(id)
}

func (a *attempts) refuse(now time.Time, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.registry.Refuse(now, id)
}

func (a *attempts) finish(now time.Time, id string, outcome worker.Outcome[service.Response]) {
	a.mu.Lock()
	defer a.mu.Unlock()

	switch {
	case outcome.Value != nil:
		a.registry.Finish(now, id, callDone(outcome.Value), true)
	case outcome.Refused:
		a.registry.MarkNotRun(now, id)
	default:
		a.registry.Finish(now, id, nil, false)
	}
}

func (a *attempts) query(now time.Time, id string, refuse bool) attempt.Record[*rpc.Done] {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.registry.Query(now, id, refuse)
}

// serveCall runs a call to the plain service.
func (s *Server) serveCall(ctx context.Context, out *responder) error {
	if !out.request.GetCall().Idempotent {
		return s.serveNonIdempotent(ctx, out)
	}

	in, err := s.checkArrival(ctx, out.request)
	if err != nil {
		return out.refuse(err)
	}

	j, err := s.admit(ctx, in)
	if err != nil {
		return out.refuse(err)
	}

	ctx, cancel := context.WithDeadline(ctx, j.item.Deadline)
	defer cancel()

	outcome := s.call(ctx, j, out.request)

	return s.sendCallOutcome(out, j, outcome)
}

// serveNonIdempotent runs a call at most once, and records its outcome even if the entry has disconnected.
func (s *Server) serveNonIdempotent(ctx context.Context, out *responder) error {
	request := out.request
	id := request.GetCall().Attempt

	// A request that is refused here may be sent again under the same attempt id, with a new ticket.
	in, err := s.checkArrival(ctx, request)
	if err != nil {
		return out.refuse(err)
	}

	if err := s.attempts.begin(time.Now(), id); err != nil {
		return s.replyToDuplicate(out, id, err)
	}

	j, err := s.admit(ctx, in)
	if err != nil {
		s.attempts.refuse(time.Now(), id)
		return out.refuse(err)
	}

	if !s.attempts.start(id) {
		s.scheduler.withdraw(time.Now(), j)
		return out.refuse(fault.New(fault.AttemptRefused, "attempt %s was refused before", id))
	}

	completed := make(chan worker.Outcome[service.Response], 1)

	s.workGroup.Go(func() {
		callCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.item.Deadline.Add(callGrace))
		defer cancel()

		outcome := s.call(callCtx, j, request)
		s.attempts.finish(time.Now(), id, outcome)
		completed <- outcome
	})

	select {
	case outcome := <-completed:
		return s.sendCallOutcome(out, j, outcome)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// replyToDuplicate replies to a request whose attempt was seen before, from the recorded state. The attempt is not run again.
func (s *Server) replyToDuplicate(out *responder, id string, err error) error {
	record := s.attempts.query(time.Now(), id, false)

	switch record.State {
	case attempt.Done:
		return out.done(record.Outcome)
	case attempt.Queued, attempt.Running:
		return out.fail(err, 0)
	case attempt.Unknown:
		return out.fail(fault.New(fault.OutcomeUnknown, "the outcome of attempt %s is unknown", id), 0)
	default:
		return out.refuse(err)
	}
}

// call sends the call of a job that has a concurrency slot, and releases the slot afterwards.
func (s *Server) call(ctx context.Context, j *job, request *rpc.RunRequest) worker.Outcome[service.Response] {
	outcome := worker.Call(ctx, s.Service, serviceRequest(request), request.GetCall().Idempotent)
	now := time.Now()

	if outcome.Value != nil {
		s.scheduler.observe(now, j, ramp.FirstOutput, now.Sub(j.startedAt), 1)
	}

	s.scheduler.finish(now, j, outcome.Value != nil, j.item.Cost)

	return outcome
}

// sendCallOutcome sends the outcome of a call to the entry.
func (s *Server) sendCallOutcome(out *responder, j *job, outcome worker.Outcome[service.Response]) error {
	if outcome.Refused {
		return out.refuse(outcome.Err)
	}

	if err := out.started(j); err != nil {
		return err
	}

	if outcome.Err != nil {
		return out.fail(outcome.Err, 0)
	}

	return out.done(callDone(outcome.Value))
}

func serviceRequest(request *rpc.RunRequest) service.Request {
	call := request.GetCall()
	result := service.Request{
		ID:     request.RequestId,
		Method: call.Method,
		Path:   call.Path,
		Query:  call.Query,
		Body:   call.Body,
	}

	for _, header := range call.Headers {
		result.Headers = append(result.Headers, service.Header{Name: header.Name, Value: header.Value})
	}

	return result
}

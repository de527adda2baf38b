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
	// attemptRetention is how long the outcome of an attempt is kept; an entry asks for it within the caller's timeout.
	attemptRetention = 10 * time.Minute
	// attemptCapacity bounds the record; at 10 orders a second the retention needs 6,000.
	attemptCapacity = 20000
	// attemptBytes bounds the bodies of the recorded outcomes, within the 256 MB that a process may use.
	attemptBytes = 64 << 20
	// callGrace is how long after the caller's deadline the answer of a call that must not be repeated is still awaited. A
	// late answer is kept for the next call with the same idempotency key; a service that hangs does not hold its places
	// for longer.
	callGrace = 30 * time.Second
)

// attempts is the record of non-idempotent calls under a lock.
type attempts struct {
	mu   sync.Mutex
	book attempt.Registry[*rpc.Done]
}

func newBook() attempt.Registry[*rpc.Done] {
	return attempt.Registry[*rpc.Done]{
		Retention:       attemptRetention,
		TicketLifetime:  ticketLife,
		MaxRecords:      attemptCapacity,
		OutcomeSize:     func(done *rpc.Done) int64 { return int64(len(done.Body)) },
		MaxOutcomeBytes: attemptBytes,
	}
}

func (a *attempts) begin(now time.Time, id string) error {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.book.Begin(now, id)
}

func (a *attempts) start(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.book.Start(id)
}

func (a *attempts) refuse(now time.Time, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.book.Refuse(now, id)
}

func (a *attempts) finish(now time.Time, id string, outcome worker.Outcome[service.Response]) {
	a.mu.Lock()
	defer a.mu.Unlock()

	switch {
	case outcome.Value != nil:
		a.book.Finish(now, id, called(outcome.Value), true)
	case outcome.Refused:
		a.book.MarkNotRun(now, id)
	default:
		a.book.Finish(now, id, nil, false)
	}
}

func (a *attempts) query(now time.Time, id string, refuse bool) attempt.Record[*rpc.Done] {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.book.Query(now, id, refuse)
}

// serveCall makes a call to the plain service.
func (s *Server) serveCall(ctx context.Context, out *outlet) error {
	if !out.request.GetCall().Idempotent {
		return s.serveOnce(ctx, out)
	}

	a, err := s.arrive(ctx, out.request)
	if err != nil {
		return out.refuse(err)
	}

	j, err := s.admit(ctx, a)
	if err != nil {
		return out.refuse(err)
	}

	ctx, cancel := context.WithDeadline(ctx, j.item.Deadline)
	defer cancel()

	outcome := s.call(ctx, j, out.request)

	return s.answer(out, j, outcome)
}

// serveOnce makes a call that must not be repeated, and records its outcome whether or not the entry still waits.
func (s *Server) serveOnce(ctx context.Context, out *outlet) error {
	request := out.request
	id := request.GetCall().Attempt

	// A request that is refused here may be sent again under the same attempt id, with a fresh ticket.
	a, err := s.arrive(ctx, request)
	if err != nil {
		return out.refuse(err)
	}

	if err := s.attempts.begin(time.Now(), id); err != nil {
		return s.repeated(out, id, err)
	}

	j, err := s.admit(ctx, a)
	if err != nil {
		s.attempts.refuse(time.Now(), id)
		return out.refuse(err)
	}

	if !s.attempts.start(id) {
		s.gate.leave(time.Now(), j)
		return out.refuse(fault.New(fault.AttemptRefused, "attempt %s was refused before", id))
	}

	ended := make(chan worker.Outcome[service.Response], 1)

	s.group.Go(func() {
		calling, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.item.Deadline.Add(callGrace))
		defer cancel()

		outcome := s.call(calling, j, request)
		s.attempts.finish(time.Now(), id, outcome)
		ended <- outcome
	})

	select {
	case outcome := <-ended:
		return s.answer(out, j, outcome)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// repeated answers a request whose attempt was seen before; the attempt is not run again.
func (s *Server) repeated(out *outlet, id string, err error) error {
	record := s.attempts.query(time.Now(), id, false)

	switch record.State {
	case attempt.Done:
		return out.done(record.Outcome)
	case attempt.Queued, attempt.Running:
		return out.fail(err, 0)
	case attempt.Unknown:
		return out.fail(fault.New(fault.OutcomeUnknown, "the outcome of attempt %s is not known", id), 0)
	default:
		return out.refuse(err)
	}
}

// call makes the call of a job that has a place, and gives the place back.
func (s *Server) call(ctx context.Context, j *job, request *rpc.RunRequest) worker.Outcome[service.Response] {
	outcome := worker.Call(ctx, s.Service, callOf(request), request.GetCall().Idempotent)
	now := time.Now()

	if outcome.Value != nil {
		s.gate.observe(now, j, ramp.FirstOutput, now.Sub(j.started), 1)
	}

	s.gate.finish(now, j, outcome.Value != nil, j.item.Cost)

	return outcome
}

func (s *Server) answer(out *outlet, j *job, outcome worker.Outcome[service.Response]) error {
	if outcome.Refused {
		return out.refuse(outcome.Err)
	}

	if err := out.started(j); err != nil {
		return err
	}

	if outcome.Err != nil {
		return out.fail(outcome.Err, 0)
	}

	return out.done(called(outcome.Value))
}

func callOf(request *rpc.RunRequest) service.Request {
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

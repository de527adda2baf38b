package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// helloTimeout bounds a Hello; a slower agent counts as unreachable.
	helloTimeout = time.Second
	// maxResumes is the maximum number of resumes of one response at the same agent process.
	maxResumes = 2
	// responseGrace is how long after the deadline a stream stays open, so that a non-idempotent call, which is not canceled,
	// can still receive the agent's own refusal at the deadline.
	responseGrace = 250 * time.Millisecond
)

var (
	resumes = metrics.GetOrRegisterCounter("relay.resume", metrics.DefaultRegistry)
	resends = metrics.GetOrRegisterCounter("relay.resend", metrics.DefaultRegistry)
	// discardedMessages counts messages that belong to another request, and duplicate chunks.
	discardedMessages = metrics.GetOrRegisterCounter("relay.stray", metrics.DefaultRegistry)
)

// session is the sending of one request to one backend server. It may use several connections: for a resend after the ticket
// has expired, and for resumes of a response whose connection was lost.
type session struct {
	relay   *Relay
	server  *member.Server
	request Request
	sink    Sink
	result  *Result
	// id is the request id that the agent gets.
	id string
	// boot is the only agent process that may be used; empty until the first sending.
	boot string
	// nextChunk is the sequence number of the next expected chunk; all chunks before it were received.
	nextChunk int64
	// written is true if the request was written to the agent and has not been refused since.
	written bool
	// started is true if the agent reported the start of the request, or output.
	started bool
	resent  bool
	resumes int
	// takeOver reserves a retry at another server and reports whether there is one; nil if there is never one.
	takeOver func() bool
	// probe is nil before the first sending.
	probe *livenessProbe
}

// sendTo sends the request to one server. If boot is not empty, only that agent process is used. takeOver reserves a retry at another server
// and reports whether there is one; nil if there is never one.
func (r *Relay) sendTo(ctx context.Context, server *member.Server, request Request, sink Sink, result *Result, boot string, takeOver func() bool) (*rpc.Done, error) {
	server.Breaker.Begin(time.Now())

	s := &session{
		relay:   r,
		server:  server,
		request: request,
		sink:    sink,
		result:  result,
		id:      ident.New("run"),
		boot:    boot,

		takeOver: takeOver,
	}

	startedBefore := result.MayHaveStarted

	done, err := s.run(ctx)
	if err == nil || !s.written || request.Work.idempotent() {
		return done, err
	}

	done, err = s.queryOutcome(ctx, err)

	if _, ok := failureOf(err).(refused); err != nil && ok {
		result.MayHaveStarted = startedBefore
	}

	return done, err
}

func (s *session) run(ctx context.Context) (*rpc.Done, error) {
	if !s.request.Work.idempotent() {
		var cancel context.CancelFunc

		ctx, cancel = s.streamContext(ctx)
		defer cancel()
	}

	pinned := s.boot != ""

	for {
		done, err := s.send(ctx)

		switch {
		case err == nil:
			return done, nil
		case s.ticketRejected(err, pinned):
			s.resent = true
			resends.Inc(1)
		case s.resumable(ctx, err):
			s.resumes++
			resumes.Inc(1)
		default:
			return nil, err
		}

		if !pinned && s.nextChunk == 0 {
			s.boot = ""
		}
	}
}

// ticketRejected reports whether the agent refused only the ticket or the boot id, and the request may be sent to the server
// again; this is allowed once for each server.
func (s *session) ticketRejected(err error, pinned bool) bool {
	if _, ok := failureOf(err).(refused); !ok || s.resent || s.started {
		return false
	}

	return fault.Is(err, fault.TicketExpired) || (fault.Is(err, fault.BootChanged) && !pinned)
}

// resumable reports whether the rest of the response can be requested from the same agent process.
func (s *session) resumable(ctx context.Context, err error) bool {
	_, ok := failureOf(err).(lost)

	return ok && s.nextChunk > 0 && s.resumes < maxResumes && ctx.Err() == nil && fault.Is(err, fault.Interrupted)
}

// send writes the request once and receives the response.
func (s *session) send(ctx context.Context) (*rpc.Done, error) {
	ticket, err := s.ticket(ctx)
	if err != nil {
		return nil, err
	}

	message, err := s.buildRequest(ticket)
	if err != nil {
		return nil, err
	}

	streamCtx, stop := s.streamContext(ctx)
	defer stop()

	stream, err := s.relay.client(s.server.Address).Run(streamCtx)
	if err != nil {
		return nil, s.sendFailed(ctx, err)
	}

	defer func() { _ = stream.Close() }()

	if s.request.Work.idempotent() {
		defer s.cancelWith(ctx, stream, stop)()
	}

	defer s.startProbe(streamCtx, stop).end()

	s.written = true

	if err := stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: message}}); err != nil {
		return nil, s.connectionLost(ctx, err)
	}

	return s.receive(ctx, stream)
}

// ticket returns a valid ticket of the agent process. The first ticket determines the process that the session uses.
func (s *session) ticket(ctx context.Context) (agentTicket, error) {
	ticket, err := s.relay.ticket(ctx, s.server)
	if err != nil {
		return agentTicket{}, s.sendFailed(ctx, err)
	}

	if s.boot == "" {
		s.boot = ticket.boot
	}

	if ticket.boot != s.boot {
		return agentTicket{}, s.processReplaced()
	}

	return ticket, nil
}

// processReplaced returns the failure for an agent process that has been replaced.
func (s *session) processReplaced() error {
	if s.written {
		s.result.MayHaveStarted = true
		return lost{fault.New(s.incompleteKind(), "the agent process of %s was replaced", s.server.Name)}
	}

	return refused{fault.New(fault.BootChanged, "the agent process of %s was replaced", s.server.Name)}
}

// buildRequest repeats the entry's admission checks and builds the message.
func (s *session) buildRequest(ticket agentTicket) (*rpc.RunRequest, error) {
	config, err := s.request.Check()
	if err != nil {
		return nil, final{fault.FromError(err)}
	}

	if !s.started && s.relay.View.Value().Server(s.server.Name) == nil {
		return nil, refused{fault.New(fault.Draining, "%s was taken out of service", s.server.Name)}
	}

	remaining := time.Until(s.request.Deadline)
	if remaining < time.Millisecond {
		return nil, final{fault.New(fault.Overloaded, "the deadline passed before the request was sent to a backend server")}
	}

	message := &rpc.RunRequest{
		RequestId:     s.id,
		Entry:         s.relay.Entry,
		Boot:          ticket.boot,
		Ticket:        ticket.id,
		Account:       s.request.Account,
		Key:           s.request.Key,
		ConfigVersion: config.Version,
		ConfigAgeMs:   config.Age.Milliseconds(),
		RemainingMs:   remaining.Milliseconds(),
		Priority:      s.request.Priority,
		Cost:          s.request.Cost,
		Route:         s.request.Route,
		ResidentKnown: s.relay.Picker.ResidentEpoch(s.server.Name),
		Resume:        s.nextChunk,
		Revocations:   follow.RevocationMessages(s.relay.PendingRevocations.Value()),
	}

	switch work := s.request.Work.(type) {
	case Generate:
		message.Work = &rpc.RunRequest_Generate{Generate: work.Generate}
	case Call:
		message.Work = &rpc.RunRequest_Call{Call: work.Call}
	}

	return message, nil
}

// streamContext returns the context of a stream. It does not end with the caller's context: idempotent work is canceled by a
// message first, and other work is never canceled.
func (s *session) streamContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(ctx), s.request.Deadline.Add(responseGrace))
}

// sendFailed returns the failure for a sending that ended before anything was written.
func (s *session) sendFailed(ctx context.Context, err error) error {
	s.relay.tickets.remove(s.server.Address)

	if s.written {
		return s.connectionLost(ctx, err)
	}

	if ctx.Err() != nil {
		return final{notSentError(ctx.Err())}
	}

	s.server.Breaker.Failed(time.Now())

	return unreachable{fault.Wrap(err, fault.NoServer, "%s cannot be reached", s.server.Name)}
}

// notSentError returns the error for a request whose context ended before the request was written. The kind that fault.Of
// gives an exceeded deadline would leave open whether the request has run.
func notSentError(err error) *fault.Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.Wrap(err, fault.Overloaded, "the deadline passed before the request was sent to a backend server")
	}

	return fault.FromError(err)
}

// connectionLost returns the failure for a response that ended without its end marker.
func (s *session) connectionLost(ctx context.Context, err error) error {
	s.result.MayHaveStarted = true

	if ctx.Err() != nil {
		return final{fault.FromError(ctx.Err())}
	}

	if !time.Now().Before(s.request.Deadline) {
		return final{fault.Wrap(err, fault.DeadlineExceeded, "the deadline passed before the response was complete")}
	}

	s.relay.tickets.remove(s.server.Address)
	s.server.Breaker.Failed(time.Now())

	return lost{fault.Wrap(err, s.incompleteKind(), "the connection to %s was lost", s.server.Name)}
}

package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// livenessTimeout is how long an agent may send nothing before it gets a Hello to check that it responds.
	livenessTimeout = 2 * time.Second
	// cancelTimeout is how long an agent may take to accept a Cancel before its stream is closed.
	cancelTimeout = 100 * time.Millisecond
	// queryTimeout bounds one Query.
	queryTimeout = time.Second
	// maxQueries is the maximum number of sendings of a Query whose connections are lost.
	maxQueries = 3
	// queryInterval is the time between two queries for an attempt.
	queryInterval = 200 * time.Millisecond
)

func (r *Relay) client(address string) rpc.DRPCAgentClient {
	return rpc.NewDRPCAgentClient(r.Pool.Get(address))
}

// sendHello asks the agent for a ticket and checks that the agent belongs to the listed server.
func (r *Relay) sendHello(ctx context.Context, server *member.Server) (agentTicket, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()

	id := ident.New("hello")

	reply, err := r.client(server.Address).Hello(ctx, &rpc.HelloRequest{
		RequestId:   id,
		Entry:       r.Entry,
		Revocations: follow.RevocationMessages(r.PendingRevocations.Value()),
	})
	if err != nil {
		return agentTicket{}, errors.Wrapf(err, "hello to %s", server.Name)
	}

	if reply.RequestId != id || reply.Server != server.Name || reply.Ticket == nil {
		return agentTicket{}, errors.Newf("the agent at %s belongs to %s instead of %s", server.Address, reply.Server, server.Name)
	}

	now := time.Now()

	r.tickets.store(server.Address, reply.Boot, reply.Ticket, now)
	r.report(server.Name, reply.Load)

	ticket, _ := r.tickets.get(server.Address, now)

	return ticket, nil
}

// ticket returns the cached ticket of the server's agent process, or requests one if there is no valid one.
func (r *Relay) ticket(ctx context.Context, server *member.Server) (agentTicket, error) {
	if found, ok := r.tickets.get(server.Address, time.Now()); ok {
		return found, nil
	}

	return r.requestTicket(ctx, server)
}

// cancelWith sends a Cancel and closes the stream when the context ends. The returned function
// releases the callback.
func (s *session) cancelWith(ctx context.Context, stream rpc.DRPCAgent_RunClient, stop func()) func() {
	end := context.AfterFunc(ctx, func() {
		timer := time.AfterFunc(cancelTimeout, stop)
		defer timer.Stop()

		_ = stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Cancel{Cancel: &rpc.Cancel{RequestId: s.id}}})

		stop()
	})

	return func() { end() }
}

// errGivenUp is the error of a response whose agent was given up for another server, or for another connection to it.
var errGivenUp = errors.New("the agent sent nothing and was given up")

// livenessProbe sends a Hello to an agent that sends nothing for livenessTimeout. If the Hello fails, the agent is paused or
// the network drops packets, and the stream is closed if another server can take the request over: the agent may go on. Once the agent
// responds again, the rest of the response is requested from it over another connection, since the first one may be lost. Work that is not
// idempotent is never canceled. The Hello also delivers pending revocations to the agent while the request waits in its queue.
type livenessProbe struct {
	received chan struct{}
	ended    chan struct{}
	// begun is true once a chunk of the response was received.
	begun atomic.Bool

	mu sync.Mutex
	// gaveUp is true once the stream is closed; what it still brings is dropped.
	gaveUp bool
}

func (p *livenessProbe) end() {
	close(p.ended)
}

// messageReceived records a message, and reports whether it still counts.
func (p *livenessProbe) messageReceived() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	select {
	case p.received <- struct{}{}:
	default:
	}

	return !p.gaveUp
}

// giveUp reports whether the agent has sent nothing meanwhile, and drops further messages if so.
func (p *livenessProbe) giveUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.gaveUp = len(p.received) == 0

	return p.gaveUp
}

func (s *session) startProbe(ctx context.Context, stop func()) *livenessProbe {
	p := &livenessProbe{received: make(chan struct{}, 1), ended: make(chan struct{})}
	p.begun.Store(s.nextChunk > 0)
	s.probe = p
	check := &agentCheck{session: s, probe: p, boot: s.boot, resumable: s.resumes < maxResumes}

	go func() {
		for {
			select {
			case <-p.ended:
				return
			case <-p.received:
				continue
			case <-time.After(livenessTimeout):
			}

			if check.failed(ctx) && p.giveUp() {
				stop()
				return
			}
		}
	}()

	return p
}

// agentCheck decides whether the stream to an agent that sends nothing is closed.
type agentCheck struct {
	session *session
	probe   *livenessProbe
	// boot is the process of the agent that has the request, and resumable is true if the rest of a response may be requested from it.
	boot      string
	resumable bool
	// missed is true after a Hello without a reply.
	missed bool
}

// failed sends a Hello, and reports whether the stream is to be closed.
func (c *agentCheck) failed(ctx context.Context) bool {
	ticket, err := c.session.relay.requestTicket(ctx, c.session.server)

	switch {
	case !c.session.request.Work.idempotent():
		return false
	case err != nil:
		c.missed = true
		return c.session.takeOver != nil && c.session.takeOver()
	case ticket.boot != c.boot:
		// The process that had the request has ended.
		return true
	default:
		return c.missed && c.resumable && c.probe.begun.Load()
	}
}

// queryOutcome asks the agent process for the outcome of an attempt whose response was lost. The agent marks an attempt that
// it has not received as refused, so that the attempt cannot start later.
func (s *session) queryOutcome(ctx context.Context, cause error) (*rpc.Done, error) {
	call, ok := s.request.Work.(Call)
	if !ok || call.Attempt == "" {
		return nil, cause
	}

	ctx = context.WithoutCancel(ctx)
	process := AgentProcess{Server: s.server.Name, Address: s.server.Address, Boot: s.boot}

	for {
		state, done, err := s.relay.Query(ctx, process, call.Attempt, true)
		if err != nil {
			return nil, outcomeUnknown(cause)
		}

		switch state {
		case rpc.AttemptState_ATTEMPT_DONE:
			return done, nil
		case rpc.AttemptState_ATTEMPT_REFUSED:
			s.written = false
			return nil, refused{fault.Wrap(cause, fault.AttemptRefused, "%s did not receive the request", s.server.Name)}
		case rpc.AttemptState_ATTEMPT_QUEUED, rpc.AttemptState_ATTEMPT_RUNNING:
		default:
			return nil, outcomeUnknown(cause)
		}

		if time.Until(s.request.Deadline) < queryInterval {
			return nil, outcomeUnknown(cause)
		}

		time.Sleep(queryInterval)
	}
}

func outcomeUnknown(cause error) error {
	return final{fault.Wrap(cause, fault.OutcomeUnknown, "the response was lost after the call was sent")}
}

// Query asks one agent process for the state of an attempt. With refuse set, the agent refuses the attempt if it has not
// received it. A query whose connection is lost is retried over another one, because idle connections to an agent often break
// together. The reply of another process yields ATTEMPT_UNKNOWN, as that process does not know the attempt.
func (r *Relay) Query(ctx context.Context, process AgentProcess, attempt string, refuse bool) (rpc.AttemptState, *rpc.Done, error) {
	request := &rpc.QueryRequest{RequestId: ident.New("query"), Attempt: attempt, Boot: process.Boot, Refuse: refuse}

	reply, err := r.query(ctx, process, request)

	for range maxQueries - 1 {
		if err == nil || !sleep(ctx, queryInterval) {
			break
		}

		reply, err = r.query(ctx, process, request)
	}

	if err != nil {
		return rpc.AttemptState_ATTEMPT_UNKNOWN, nil, errors.Wrapf(err, "query %s", process.Server)
	}

	if reply.RequestId != request.RequestId || reply.Boot != process.Boot {
		return rpc.AttemptState_ATTEMPT_UNKNOWN, nil, nil
	}

	return reply.State, reply.Done, nil
}

func (r *Relay) query(ctx context.Context, process AgentProcess, request *rpc.QueryRequest) (*rpc.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()

	return r.client(process.Address).Query(ctx, request)
}

// sleep waits for the duration and reports whether the context is still active.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

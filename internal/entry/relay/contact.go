package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// silence is how long an agent may send nothing before it is asked for a sign of life.
	silence = 2 * time.Second
	// cancelTime is how long an agent may take to accept a Cancel before its stream is closed.
	cancelTime = 100 * time.Millisecond
	// queryTimeout bounds one Query.
	queryTimeout = time.Second
	// mostQueries bounds the queries over lost connections.
	mostQueries = 3
	// queryInterval is the time between two queries for an attempt.
	queryInterval = 200 * time.Millisecond
)

func (r *Relay) client(address string) rpc.DRPCAgentClient {
	return rpc.NewDRPCAgentClient(r.Pool.Get(address))
}

// greet asks the agent for a ticket and checks that it is the one that is listed.
func (r *Relay) greet(ctx context.Context, server *member.Server) (ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()

	id := ident.New("hello")

	reply, err := r.client(server.Address).Hello(ctx, &rpc.HelloRequest{
		RequestId:   id,
		Entry:       r.Entry,
		Revocations: follow.RevocationMessages(r.PendingRevocations.Value()),
	})
	if err != nil {
		return ticket{}, errors.Wrapf(err, "greet %s", server.Name)
	}

	if reply.RequestId != id || reply.Server != server.Name || reply.Ticket == nil {
		return ticket{}, errors.Newf("the agent at %s is of %s, not of %s", server.Address, reply.Server, server.Name)
	}

	now := time.Now()

	r.tickets.keep(server.Address, reply.Boot, reply.Ticket, now)
	r.report(server.Name, reply.Load)

	permit, _ := r.tickets.get(server.Address, now)

	return permit, nil
}

// permit returns a valid ticket of the server's agent process, asking for one if there is none.
func (r *Relay) permit(ctx context.Context, server *member.Server) (ticket, error) {
	if found, ok := r.tickets.get(server.Address, time.Now()); ok {
		return found, nil
	}

	return r.hello(ctx, server)
}

// cancelWith sends a Cancel and closes the stream when the context ends. The returned function ends the watch.
func (s *session) cancelWith(ctx context.Context, stream rpc.DRPCAgent_RunClient, stop func()) func() {
	end := context.AfterFunc(ctx, func() {
		timer := time.AfterFunc(cancelTime, stop)
		defer timer.Stop()

		_ = stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Cancel{Cancel: &rpc.Cancel{RequestId: s.id}}})

		stop()
	})

	return func() { end() }
}

// watcher sends a Hello to an agent that is silent. One that does not answer is frozen or the network drops packets: the
// stream is closed, unless the work is never canceled. The Hello also tells the agent of held revocations while the request
// waits in its queue.
type watcher struct {
	heard chan struct{}
	ended chan struct{}
}

func (w *watcher) end() {
	close(w.ended)
}

func (w *watcher) hear() {
	select {
	case w.heard <- struct{}{}:
	default:
	}
}

func (s *session) watch(ctx context.Context, stop func()) *watcher {
	w := &watcher{heard: make(chan struct{}, 1), ended: make(chan struct{})}
	s.watcher = w

	go func() {
		for {
			select {
			case <-w.ended:
				return
			case <-w.heard:
				continue
			case <-time.After(silence):
			}

			if _, err := s.relay.hello(ctx, s.server); err != nil && s.request.Work.repeatable() {
				stop()
				return
			}
		}
	}()

	return w
}

// resolve asks the agent process for the outcome of an attempt whose answer was lost. The agent refuses an attempt that
// it has never seen, so that it cannot start later.
func (s *session) resolve(ctx context.Context, cause error) (*rpc.Done, error) {
	call, ok := s.request.Work.(Call)
	if !ok || call.Attempt == "" {
		return nil, cause
	}

	ctx = context.WithoutCancel(ctx)
	target := AgentProcess{Server: s.server.Name, Address: s.server.Address, Boot: s.boot}

	for {
		state, done, err := s.relay.Query(ctx, target, call.Attempt, true)
		if err != nil {
			return nil, unknown(cause)
		}

		switch state {
		case rpc.AttemptState_ATTEMPT_DONE:
			return done, nil
		case rpc.AttemptState_ATTEMPT_REFUSED:
			s.written = false
			return nil, refused{fault.Wrap(cause, fault.AttemptRefused, "%s had not seen the request", s.server.Name)}
		case rpc.AttemptState_ATTEMPT_QUEUED, rpc.AttemptState_ATTEMPT_RUNNING:
		default:
			return nil, unknown(cause)
		}

		if time.Until(s.request.Deadline) < queryInterval {
			return nil, unknown(cause)
		}

		time.Sleep(queryInterval)
	}
}

func unknown(cause error) error {
	return final{fault.Wrap(cause, fault.OutcomeUnknown, "the answer was lost after the call had been sent")}
}

// Query asks one agent process for the state of an attempt, and to refuse it if it was never seen. It is repeated over
// another connection if one is lost, because idle connections to an agent often break together. An answer of another
// process says nothing and yields ATTEMPT_UNKNOWN.
func (r *Relay) Query(ctx context.Context, target AgentProcess, attempt string, refuse bool) (rpc.AttemptState, *rpc.Done, error) {
	request := &rpc.QueryRequest{RequestId: ident.New("query"), Attempt: attempt, Boot: target.Boot, Refuse: refuse}

	reply, err := r.query(ctx, target, request)

	for range mostQueries - 1 {
		if err == nil || !pause(ctx, queryInterval) {
			break
		}

		reply, err = r.query(ctx, target, request)
	}

	if err != nil {
		return rpc.AttemptState_ATTEMPT_UNKNOWN, nil, errors.Wrapf(err, "query %s", target.Server)
	}

	if reply.RequestId != request.RequestId || reply.Boot != target.Boot {
		return rpc.AttemptState_ATTEMPT_UNKNOWN, nil, nil
	}

	return reply.State, reply.Done, nil
}

func (r *Relay) query(ctx context.Context, target AgentProcess, request *rpc.QueryRequest) (*rpc.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()

	return r.client(target.Address).Query(ctx, request)
}

// pause waits and reports whether the context still holds.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

package relay

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/route/retry"
)

// Choose returns an agent process for a call, so that it can be claimed before it is sent. Servers out of contact are
// passed over.
func (r *Relay) Choose(ctx context.Context, request Request, tried []string) (AgentProcess, error) {
	if len(tried) > 0 && !r.Budget.Retry(time.Now()) {
		denied.Inc(1)
		return AgentProcess{}, fault.New(fault.Overloaded, "too many retries")
	}

	passed := append([]string{}, tried...)

	var last error = fault.New(fault.NoServer, "no backend server serves %s", request.Work.offer())

	for len(passed) < len(tried)+retry.MaxServers {
		server := r.pick(request, passed)
		if server == nil {
			break
		}

		server.Breaker.Begin(time.Now())

		permit, err := r.permit(ctx, server)
		if err == nil {
			return AgentProcess{Server: server.Name, Address: server.Address, Boot: permit.boot}, nil
		}

		if ctx.Err() != nil {
			return AgentProcess{}, notSent(ctx.Err())
		}

		server.Breaker.Failed(time.Now())
		passed = append(passed, server.Name)
		last = fault.Wrap(err, fault.NoServer, "%s is out of contact", server.Name)
	}

	return AgentProcess{}, last
}

// DoAt sends a call to one agent process only.
func (r *Relay) DoAt(ctx context.Context, target AgentProcess, request Request) (Result, error) {
	r.Budget.Request(time.Now())

	result := Result{Server: target.Server, Tries: 1}

	server := r.server(target)
	if server == nil {
		return result, fault.New(fault.Draining, "%s was taken out of service", target.Server)
	}

	done, err := r.at(ctx, server, request, NoOutput{}, &result, target.Boot)
	if err != nil {
		return result, truthful(err, result)
	}

	result.Done = done

	return result, nil
}

// server returns the usable server at the target's address, or nil.
func (r *Relay) server(target AgentProcess) *member.Server {
	view := r.View.Value()
	if view == nil {
		return nil
	}

	server := view.Server(target.Server)
	if server == nil || server.Address != target.Address {
		return nil
	}

	return server
}

// Retryable reports whether the request may be sent to another server after the error: a refusal by an overloaded or
// unavailable server, or a failure before anything was written.
func Retryable(err error) bool {
	switch failure := failureOf(err).(type) {
	case unreachable:
		return true
	case refused:
		return failure.spills()
	default:
		return fault.Is(err, fault.Draining)
	}
}

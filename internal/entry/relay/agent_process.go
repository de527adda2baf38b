package relay

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/route/retry"
)

// Choose returns an agent process for a call, so that the attempt can be recorded with it before the call is sent. It does not
// return the servers in tried, which an earlier attempt was sent to, and skips those that cannot be reached.
func (r *Relay) Choose(ctx context.Context, request Request, tried []string) (AgentProcess, error) {
	if len(tried) > 0 && !r.Budget.AllowRetry(time.Now()) {
		deniedRetries.Inc(1)
		return AgentProcess{}, fault.New(fault.Overloaded, "the retry budget is exhausted")
	}

	// excluded holds the servers in tried and those that could not be reached.
	excluded := append([]string{}, tried...)

	var lastErr error = fault.New(fault.NoServer, "no backend server serves %s", request.Work.capability())

	for len(excluded) < len(tried)+retry.MaxServers {
		server := r.pick(request, excluded)
		if server == nil {
			break
		}

		server.Breaker.Begin(time.Now())

		ticket, err := r.ticket(ctx, server)
		if err == nil {
			return AgentProcess{Server: server.Name, Address: server.Address, Boot: ticket.boot}, nil
		}

		if ctx.Err() != nil {
			return AgentProcess{}, notSentError(ctx.Err())
		}

		server.Breaker.Failed(time.Now())
		excluded = append(excluded, server.Name)
		lastErr = fault.Wrap(err, fault.NoServer, "%s cannot be reached", server.Name)
	}

	return AgentProcess{}, lastErr
}

// DoAt sends a call to one agent process only. It returns an error of kind Draining if the server is no longer listed at the
// address of the process.
func (r *Relay) DoAt(ctx context.Context, process AgentProcess, request Request) (Result, error) {
	r.Budget.RecordRequest(time.Now())

	result := Result{Server: process.Server, Tries: 1}

	server := r.currentServer(process)
	if server == nil {
		return result, fault.New(fault.Draining, "%s is no longer listed at the address of the chosen agent", process.Server)
	}

	done, err := r.sendTo(ctx, server, request, NoOutput{}, &result, process.Boot, nil)
	if err != nil {
		return result, outcomeError(err, result)
	}

	result.Done = done

	return result, nil
}

// currentServer returns the server of the current view at the process's address, or nil.
func (r *Relay) currentServer(process AgentProcess) *member.Server {
	view := r.View.Value()
	if view == nil {
		return nil
	}

	server := view.Server(process.Server)
	if server == nil || server.Address != process.Address {
		return nil
	}

	return server
}

// Retryable reports whether the request may be sent to another server after the error: a refusal by an overloaded or
// unavailable server, a server that is draining or no longer listed, or a failure before anything was written.
func Retryable(err error) bool {
	switch failure := failureOf(err).(type) {
	case unreachable:
		return true
	case refused:
		return failure.retryable()
	default:
		return fault.Is(err, fault.Draining)
	}
}

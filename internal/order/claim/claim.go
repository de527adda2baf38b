// Package claim runs non-idempotent calls at most once for each client account and idempotency key, and stores their outcomes
// in the table. Before an entry sends an attempt of a call, it claims the key: it writes the id of the attempt to the row of
// the key, on the condition that the row has not changed.
package claim

import (
	"cmp"
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/route/retry"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// dispatchGrace is the time that another entry has, after it wrote its claim, to send the attempt before this entry has the
// attempt refused. Without it, concurrent calls refuse each other's attempts.
const dispatchGrace = 300 * time.Millisecond

// Agents sends calls to agent processes.
type Agents interface {
	// Choose returns an agent process for the request, at a server that was not tried.
	Choose(ctx context.Context, request relay.Request, tried []string) (relay.AgentProcess, error)
	// DoAt sends the request to this agent process only. Once the request is written, it continues after the context ends.
	// It returns an error of a kind that means "not run" only if the request certainly was not run.
	DoAt(ctx context.Context, agent relay.AgentProcess, request relay.Request) (relay.Result, error)
	// Query returns the state of an attempt. With refuse, the agent process refuses an attempt that it has not seen.
	Query(ctx context.Context, agent relay.AgentProcess, attempt string, refuse bool) (rpc.AttemptState, *rpc.Done, error)
}

// Executor executes calls at most once for each client account and idempotency key. Its fields are set before the first
// call. Run stores the outcomes that could not be stored while the table was down.
type Executor struct {
	// Table holds a row for each key.
	Table table.Table
	// Agents sends the calls.
	Agents Agents

	backlog outcomeBacklog
}

// execution is the state of one call of Do.
type execution struct {
	executor    *Executor
	rowKey      string
	requestHash string
	request     relay.Request
	call        *rpc.Call
	// row is the claim that was last read or written; nil if the row is absent.
	row *Row
	// version is the version of row in the table; 0 if the row is absent.
	version int64
	// triedServers are the servers to which an attempt was sent.
	triedServers []string
	// lastRefusal is the error of the last server that was tried.
	lastRefusal error
}

// Do returns the outcome that is stored for the key, or runs the request. It overwrites the attempt id of the call with a new
// one for each attempt.
func (x *Executor) Do(ctx context.Context, key string, request relay.Request) (relay.Result, error) {
	work, ok := request.Work.(relay.Call)
	if !ok {
		return relay.Result{}, fault.New(fault.InvalidRequest, "only calls to plain services can be claimed")
	}

	e := &execution{
		executor:    x,
		rowKey:      rowKey(request.Account, key),
		requestHash: hashCall(work.Call),
		request:     request,
		call:        work.Call,
	}

	return e.run(ctx)
}

// run claims and dispatches attempts until there is an outcome, at most once for each server and at retry.Servers servers.
func (e *execution) run(ctx context.Context) (relay.Result, error) {
	if err := e.readRow(ctx); err != nil {
		return relay.Result{}, err
	}

	for {
		done, err := e.resolveExisting(ctx)
		if done != nil || err != nil {
			return relay.Result{Done: done, Server: e.claimedServer()}, err
		}

		agent, err := e.executor.Agents.Choose(ctx, e.request, e.triedServers)
		if err != nil {
			e.releaseClaim(ctx)
			return relay.Result{}, cmp.Or(e.lastRefusal, err)
		}

		claimed, err := e.writeClaim(ctx, agent)
		if err != nil {
			return relay.Result{}, err
		}

		if !claimed {
			continue
		}

		result, err := e.dispatch(ctx, agent)
		result.Tries = len(e.triedServers)

		if err == nil || !e.retryOrRelease(ctx, err) {
			return result, err
		}

		e.lastRefusal = err
	}
}

func (e *execution) claimedServer() string {
	if e.row == nil {
		return ""
	}

	return e.row.Server
}

// resolveExisting resolves a claim that another call has written. It returns the outcome of that call, an error, or nil for
// both if a new attempt may be claimed.
func (e *execution) resolveExisting(ctx context.Context) (*rpc.Done, error) {
	switch {
	case e.row == nil || e.ownsClaim():
		return nil, nil
	case e.row.Hash != e.requestHash:
		return nil, fault.New(fault.IdempotencyMismatch, "the idempotency key was used before with another request")
	case e.row.Outcome != nil:
		return e.row.Outcome.toDone(), nil
	}

	state, done := e.queryAttempt(ctx)

	switch state {
	case rpc.AttemptState_ATTEMPT_DONE:
		e.complete(ctx, done)
		return done, nil
	case rpc.AttemptState_ATTEMPT_REFUSED:
		return nil, nil
	case rpc.AttemptState_ATTEMPT_QUEUED, rpc.AttemptState_ATTEMPT_RUNNING:
		return nil, fault.New(fault.InProgress, "the first call with this idempotency key is still running")
	}

	if e.waitForClaimChange(ctx) {
		return e.resolveExisting(ctx)
	}

	return nil, fault.New(fault.OutcomeUnknown, "the outcome of the first call with this idempotency key is not known")
}

// waitForClaimChange waits for dispatchGrace and reports whether the claim has changed meanwhile: the entry that wrote it may
// have stored the outcome, or claimed another attempt because this one was not run.
func (e *execution) waitForClaimChange(ctx context.Context) bool {
	before := e.version
	timer := time.NewTimer(dispatchGrace)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}

	return e.readRow(ctx) == nil && e.version != before
}

// ownsClaim reports whether the row is a claim of this call. The attempt of such a claim was not run.
func (e *execution) ownsClaim() bool {
	return e.row != nil && e.row.Attempt == e.call.Attempt
}

// queryAttempt returns the state of the claimed attempt. An attempt that the agent process has not seen within dispatchGrace is
// refused from then on.
func (e *execution) queryAttempt(ctx context.Context) (rpc.AttemptState, *rpc.Done) {
	state, done, err := e.executor.Agents.Query(ctx, e.row.agentProcess(), e.row.Attempt, false)
	if err != nil || state != rpc.AttemptState_ATTEMPT_UNSEEN {
		return state, done
	}

	timer := time.NewTimer(dispatchGrace)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return rpc.AttemptState_ATTEMPT_UNKNOWN, nil
	case <-timer.C:
	}

	state, done, err = e.executor.Agents.Query(ctx, e.row.agentProcess(), e.row.Attempt, true)
	if err != nil {
		return rpc.AttemptState_ATTEMPT_UNKNOWN, nil
	}

	return state, done
}

// dispatch sends the claimed attempt and stores its outcome, even if the caller has disconnected.
func (e *execution) dispatch(ctx context.Context, agent relay.AgentProcess) (relay.Result, error) {
	e.triedServers = append(e.triedServers, agent.Server)

	result, err := e.executor.Agents.DoAt(ctx, agent, e.request)
	result.Server = agent.Server

	if err == nil {
		e.complete(ctx, result.Done)
	}

	return result, err
}

// retryOrRelease reports whether another attempt may be claimed after the error. If not, it releases the claim of an attempt
// that was not run.
func (e *execution) retryOrRelease(ctx context.Context, err error) bool {
	if fault.FromError(err).Kind.Response().Ran != fault.RanNo {
		return false
	}

	if len(e.triedServers) < retry.MaxServers && ctx.Err() == nil && relay.Retryable(err) {
		return true
	}

	e.releaseClaim(ctx)

	return false
}

// newAttempt sets a new attempt id in the call.
func (e *execution) newAttempt() {
	e.call.Attempt = ident.New("attempt")
}

// Package claim runs calls that must not be repeated at most once for each client account and idempotency key, and keeps
// their outcomes in the table.
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

// dispatchGrace is how long another entry that has just written its claim gets to send the attempt, before this entry has
// the attempt refused. Without it, two calls at the same moment refuse each other's attempts.
const dispatchGrace = 300 * time.Millisecond

// Agents sends calls to agent processes.
type Agents interface {
	// Choose returns an agent process for the request, other than at the servers that were tried.
	Choose(ctx context.Context, request relay.Request, tried []string) (relay.AgentProcess, error)
	// DoAt sends the request to this agent process only, and does not end with the context once the request is written. An
	// error whose kind says "not run" is certain.
	DoAt(ctx context.Context, target relay.AgentProcess, request relay.Request) (relay.Result, error)
	// Query returns the state of an attempt, and has it refused if asked to and it was never seen.
	Query(ctx context.Context, target relay.AgentProcess, attempt string, refuse bool) (rpc.AttemptState, *rpc.Done, error)
}

// Executor executes calls at most once for each client account and idempotency key. Its fields are set before the first
// call. Run stores the outcomes that could not be stored while the table was down.
type Executor struct {
	Table  table.Table
	Agents Agents

	late late
}

// order is one call on its way.
type order struct {
	claims  *Executor
	rowKey  string
	hash    string
	request relay.Request
	call    *rpc.Call
	// row is the claim that was last read or written; nil if there is none.
	row *Row
	// version is the version of row in the table; 0 if the row is absent.
	version int64
	tried   []string
	// last is the refusal of the last server that was tried.
	last error
}

// Do returns the outcome that is stored for the key, or runs the request. The call must have no attempt id of its own
// that matters: each attempt gets a new one.
func (c *Executor) Do(ctx context.Context, key string, request relay.Request) (relay.Result, error) {
	work, ok := request.Work.(relay.Call)
	if !ok {
		return relay.Result{}, fault.New(fault.InvalidRequest, "only calls to plain services can be claimed")
	}

	o := &order{
		claims:  c,
		rowKey:  rowKey(request.Account, key),
		hash:    hashOf(work.Call),
		request: request,
		call:    work.Call,
	}

	return o.run(ctx)
}

// run repeats claim and dispatch until there is an outcome, at most once for each of a few servers.
func (o *order) run(ctx context.Context) (relay.Result, error) {
	if err := o.read(ctx); err != nil {
		return relay.Result{}, err
	}

	for {
		done, err := o.existing(ctx)
		if done != nil || err != nil {
			return relay.Result{Done: done, Server: o.server()}, err
		}

		target, err := o.claims.Agents.Choose(ctx, o.request, o.tried)
		if err != nil {
			o.release(ctx)
			return relay.Result{}, cmp.Or(o.last, err)
		}

		claimed, err := o.claim(ctx, target)
		if err != nil {
			return relay.Result{}, err
		}

		if !claimed {
			continue
		}

		result, err := o.dispatch(ctx, target)
		result.Tries = len(o.tried)

		if err == nil || !o.again(ctx, err) {
			return result, err
		}

		o.last = err
	}
}

func (o *order) server() string {
	if o.row == nil {
		return ""
	}

	return o.row.Server
}

// existing deals with a claim that another call has written. It returns nothing if an attempt may be claimed now.
func (o *order) existing(ctx context.Context) (*rpc.Done, error) {
	switch {
	case o.row == nil || o.ours():
		return nil, nil
	case o.row.Hash != o.hash:
		return nil, fault.New(fault.IdempotencyMismatch, "the idempotency key was used before with another request")
	case o.row.Outcome != nil:
		return o.row.Outcome.done(), nil
	}

	state, done := o.ask(ctx)

	switch state {
	case rpc.AttemptState_ATTEMPT_DONE:
		o.complete(ctx, done)
		return done, nil
	case rpc.AttemptState_ATTEMPT_REFUSED:
		return nil, nil
	case rpc.AttemptState_ATTEMPT_QUEUED, rpc.AttemptState_ATTEMPT_RUNNING:
		return nil, fault.New(fault.InProgress, "the first call with this idempotency key is still running")
	}

	if o.settled(ctx) {
		return o.existing(ctx)
	}

	return nil, fault.New(fault.OutcomeUnknown, "the outcome of the first call with this idempotency key is not known")
}

// settled waits for the grace time and reports whether the claim has changed meanwhile: the entry that wrote it may have
// stored the outcome, or claimed another attempt because this one was not run.
func (o *order) settled(ctx context.Context) bool {
	before := o.version
	timer := time.NewTimer(dispatchGrace)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}

	return o.read(ctx) == nil && o.version != before
}

// ours reports whether the row is a claim of this call, whose attempt was not run.
func (o *order) ours() bool {
	return o.row != nil && o.row.Attempt == o.call.Attempt
}

// ask returns the state of the claimed attempt; one that was not seen within the grace time is refused from then on.
func (o *order) ask(ctx context.Context) (rpc.AttemptState, *rpc.Done) {
	state, done, err := o.claims.Agents.Query(ctx, o.row.target(), o.row.Attempt, false)
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

	state, done, err = o.claims.Agents.Query(ctx, o.row.target(), o.row.Attempt, true)
	if err != nil {
		return rpc.AttemptState_ATTEMPT_UNKNOWN, nil
	}

	return state, done
}

// dispatch sends the claimed attempt and stores its outcome, whether or not the caller still waits.
func (o *order) dispatch(ctx context.Context, target relay.AgentProcess) (relay.Result, error) {
	o.tried = append(o.tried, target.Server)

	result, err := o.claims.Agents.DoAt(ctx, target, o.request)
	result.Server = target.Server

	if err == nil {
		o.complete(ctx, result.Done)
	}

	return result, err
}

// again reports whether another attempt may be claimed after the error. An attempt that was not run gives up its claim.
func (o *order) again(ctx context.Context, err error) bool {
	if fault.Of(err).Kind.Answer().Ran != fault.RanNo {
		return false
	}

	if len(o.tried) < retry.MaxServers && ctx.Err() == nil && relay.Retryable(err) {
		return true
	}

	o.release(ctx)

	return false
}

// attempt gives the request a new attempt id.
func (o *order) attempt() {
	o.call.Attempt = ident.New("attempt")
}

package relay

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/route/pick"
	"github.com/chestnutbeam/chestnutbeam/internal/route/retry"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

var (
	serverRetries = metrics.GetOrRegisterCounter("relay.spill", metrics.DefaultRegistry)
	// deniedRetries counts retries that the retry budget did not allow.
	deniedRetries = metrics.GetOrRegisterCounter("relay.denied", metrics.DefaultRegistry)
)

// Relay sends requests to agents. Its fields are set before the first call.
type Relay struct {
	// Entry is the name of this entry's VM.
	Entry  string
	Pool   *conn.Pool
	View   *board.Cell[*member.View]
	Picker *pick.Picker
	Budget *retry.Budget
	// PendingRevocations are sent to agents with each request, because agents do not sync with entries.
	PendingRevocations *board.Cell[map[string]board.Revocation]

	tickets    ticketCache
	helloCalls helloCalls
}

// Do sends the request to one server after another until one returns a complete response, within the retry budget and up to
// retry.MaxServers servers. A non-idempotent call that one server has refused is not sent to another.
func (r *Relay) Do(ctx context.Context, request Request, sink Sink) (Result, error) {
	r.Budget.RecordRequest(time.Now())

	var (
		result  Result
		tried   []string
		lastErr error
		// retryTaken is true if a retry was taken from the budget before a paused agent was given up.
		retryTaken atomic.Bool
	)

	for {
		server := r.pick(request, tried)
		if server == nil {
			return result, r.noServerError(request, result, lastErr)
		}

		if len(tried) > 0 && !retryTaken.Swap(false) && !r.Budget.AllowRetry(time.Now()) {
			deniedRetries.Inc(1)
			return result, lastErr
		}

		tried = append(tried, server.Name)
		result.Server = server.Name
		result.Tries = len(tried)

		used := slices.Clone(tried)
		takeOver := func() bool {
			taken := r.canTakeOver(request, used, sink) && r.Budget.AllowRetry(time.Now())
			retryTaken.Store(taken)

			return taken
		}

		done, err := r.sendTo(ctx, server, request, sink, &result, "", takeOver)
		if err == nil {
			result.Done = done
			return result, nil
		}

		lastErr = outcomeError(err, result)

		if len(tried) >= retry.MaxServers || !r.canRetry(ctx, request, err, sink) {
			return result, lastErr
		}

		serverRetries.Inc(1)
	}
}

func (r *Relay) pick(request Request, tried []string) *member.Server {
	return r.Picker.Pick(r.View.Value(), pickQuery(request, tried))
}

// canTakeOver reports whether another server can run the request if the one that has it is given up.
func (r *Relay) canTakeOver(request Request, tried []string, sink Sink) bool {
	return len(tried) < retry.MaxServers && sink.CanReset() && r.Picker.CanServe(r.View.Value(), pickQuery(request, tried))
}

func pickQuery(request Request, tried []string) pick.Query {
	return pick.Query{
		Capability: request.Work.capability(),
		HashKey:    request.Work.hashKey(),
		Adapter:    request.Work.adapterVersion(),
		Tried:      tried,
		Now:        time.Now(),
	}
}

func (r *Relay) noServerError(request Request, result Result, lastErr error) error {
	if lastErr != nil {
		return lastErr
	}

	return outcomeError(fault.New(fault.NoServer, "no backend server serves %s", request.Work.capability()), result)
}

// canRetry reports whether the request may be sent to another server after the error.
func (r *Relay) canRetry(ctx context.Context, request Request, err error, sink Sink) bool {
	if ctx.Err() != nil || !time.Now().Before(request.Deadline) {
		return false
	}

	switch failure := failureOf(err).(type) {
	case unreachable:
		return true
	case refused:
		return failure.retryable() && request.Work.idempotent()
	case lost:
		return request.Work.idempotent() && sink.Reset()
	default:
		return false
	}
}

// outcomeError returns the error for the caller. If an earlier server may have run the request, an error that means "not run"
// becomes OutcomeUnknown.
func outcomeError(err error, result Result) error {
	found := fault.FromError(err)

	if result.MayHaveStarted && found.Kind.Response().Ran == fault.RanNo {
		return fault.Wrap(err, fault.OutcomeUnknown, "an earlier attempt may have run: %s", found.Message)
	}

	return err
}

func (r *Relay) report(server string, load *rpc.Load) {
	if load == nil {
		return
	}

	r.Picker.Report(server, pick.Load{
		Running:       int(load.Running),
		Queued:        int(load.Queued),
		Limit:         int(load.Limit),
		Draining:      load.Draining,
		ResidentEpoch: load.ResidentEpoch,
		Resident:      load.Resident,
		ResidentSent:  load.ResidentSent,
	}, time.Now())
}

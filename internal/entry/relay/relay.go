package relay

import (
	"context"
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
	spills = metrics.GetOrRegisterCounter("relay.spill", metrics.DefaultRegistry)
	// denied counts retries that the budget did not allow.
	denied = metrics.GetOrRegisterCounter("relay.denied", metrics.DefaultRegistry)
)

// Relay sends requests to agents. Its fields are set before the first call.
type Relay struct {
	// Entry is the name of this entry's VM.
	Entry  string
	Pool   *conn.Pool
	View   *board.Cell[*member.View]
	Picker *pick.Picker
	Budget *retry.Budget
	// Revoked holds the revocations that agents are told of; they do not sync with entries.
	Revoked *board.Cell[map[string]board.Revocation]

	tickets   tickets
	greetings greetings
}

// Do sends the request to one server after another until one gives a whole answer, within the retry budget and the bound
// on servers. A call that must not be repeated and has been refused by one server is not sent to another.
func (r *Relay) Do(ctx context.Context, request Request, sink Sink) (Result, error) {
	r.Budget.Request(time.Now())

	var (
		result Result
		tried  []string
		last   error
	)

	for {
		server := r.pick(request, tried)
		if server == nil {
			return result, r.exhausted(request, result, last)
		}

		if len(tried) > 0 && !r.Budget.Retry(time.Now()) {
			denied.Inc(1)
			return result, last
		}

		tried = append(tried, server.Name)
		result.Server = server.Name
		result.Tries = len(tried)

		done, err := r.at(ctx, server, request, sink, &result, "")
		if err == nil {
			result.Done = done
			return result, nil
		}

		last = truthful(err, result)

		if len(tried) >= retry.MaxServers || !r.elsewhere(ctx, request, err, sink) {
			return result, last
		}

		spills.Inc(1)
	}
}

func (r *Relay) pick(request Request, tried []string) *member.Server {
	return r.Picker.Pick(r.View.Value(), pick.Query{
		Capability: request.Work.offer(),
		HashKey:    request.Work.name(),
		Adapter:    request.Work.resident(),
		Tried:      tried,
		Now:        time.Now(),
	})
}

func (r *Relay) exhausted(request Request, result Result, last error) error {
	if last != nil {
		return last
	}

	return truthful(fault.New(fault.NoServer, "no backend server serves %s", request.Work.offer()), result)
}

// elsewhere reports whether the request may be sent to another server after the error.
func (r *Relay) elsewhere(ctx context.Context, request Request, err error, sink Sink) bool {
	if ctx.Err() != nil || !time.Now().Before(request.Deadline) {
		return false
	}

	switch failure := failureOf(err).(type) {
	case unreachable:
		return true
	case refused:
		return failure.spills() && request.Work.repeatable()
	case lost:
		return request.Work.repeatable() && sink.Reset()
	default:
		return false
	}
}

// truthful returns the error for the caller. A refusal by one server says nothing about an earlier one that may have run
// the request.
func truthful(err error, result Result) error {
	found := fault.FromError(err)

	if result.Started && found.Kind.Response().Ran == fault.RanNo {
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

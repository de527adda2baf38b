package worker

import (
	"context"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Call sends one call to a plain service. If the service cannot be reached, the call is refused. If a non-idempotent call
// fails later, its outcome is unknown, also if ctx ends before the call does; its ctx must therefore not end with the entry's
// stream. An idempotent call then fails with the error of ctx, or as failed by the service.
func Call(ctx context.Context, caller service.Caller, request service.Request, idempotent bool) Outcome[service.Response] {
	response, err := caller.Call(ctx, request)

	switch {
	case err == nil:
		return Outcome[service.Response]{Value: &response}
	case fault.Is(err, fault.NoServer):
		return Outcome[service.Response]{Err: fault.Wrap(err, fault.NoServer, "the service cannot be reached"), Refused: true}
	case !idempotent:
		return Outcome[service.Response]{Err: fault.Wrap(err, fault.OutcomeUnknown, "the call was sent and its outcome is unknown")}
	case ctx.Err() != nil:
		return Outcome[service.Response]{Err: fault.FromError(ctx.Err())}
	default:
		return Outcome[service.Response]{Err: fault.Wrap(err, fault.BackendFailed, "the service failed the call")}
	}
}

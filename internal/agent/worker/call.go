package worker

import (
	"context"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Call makes one call to a plain service. The outcome of a call that is not idempotent is unknown if ctx ends before it, so
// its ctx must not end with the entry's stream.
func Call(ctx context.Context, caller service.Caller, request service.Request, idempotent bool) Outcome[service.Response] {
	response, err := caller.Call(ctx, request)

	switch {
	case err == nil:
		return Outcome[service.Response]{Value: &response}
	case fault.Is(err, fault.NoServer):
		return Outcome[service.Response]{Err: fault.Wrap(err, fault.NoServer, "the service cannot be reached"), Refused: true}
	case !idempotent:
		return Outcome[service.Response]{Err: fault.Wrap(err, fault.OutcomeUnknown, "the call was sent and its outcome is not known")}
	case ctx.Err() != nil:
		return Outcome[service.Response]{Err: fault.FromError(ctx.Err())}
	default:
		return Outcome[service.Response]{Err: fault.Wrap(err, fault.BackendFailed, "the service failed the call")}
	}
}

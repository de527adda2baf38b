package worker

import (
	"context"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Call sends one call to a plain service. The outcome of a non-idempotent call is unknown if ctx ends before the call does,
// so its ctx must not end with the entry's stream.
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

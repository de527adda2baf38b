package relay

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// failure is the reason why one server returned no complete response; it is one of the types of this file.
type failure interface {
	error
	failure()
}

// unreachable means that nothing was written to the agent.
type unreachable struct{ reason *fault.Error }

// refused means that the agent has not run the request and will not run it.
type refused struct{ reason *fault.Error }

// lost means that the request was written and may have run, and that the agent reported its failure or the response is
// incomplete.
type lost struct{ reason *fault.Error }

// final means that the request must not be sent to another server.
type final struct{ reason *fault.Error }

func (unreachable) failure() {}
func (refused) failure()     {}
func (lost) failure()        {}
func (final) failure()       {}

func (f unreachable) Error() string { return f.reason.Error() }
func (f refused) Error() string     { return f.reason.Error() }
func (f lost) Error() string        { return f.reason.Error() }
func (f final) Error() string       { return f.reason.Error() }

func (f unreachable) Unwrap() error { return f.reason }
func (f refused) Unwrap() error     { return f.reason }
func (f lost) Unwrap() error        { return f.reason }
func (f final) Unwrap() error       { return f.reason }

// retryable reports whether another server may accept the refused request. The kinds for which it may have status 503; all
// others are caused by the request or its client account.
func (f refused) retryable() bool {
	return f.reason.Kind.Response().Status == http.StatusServiceUnavailable
}

// failureOf returns the failure that err wraps; any other error is final.
func failureOf(err error) failure {
	var found failure

	if errors.As(err, &found) {
		return found
	}

	return final{fault.FromError(err)}
}

// refusedFrom converts a Refused message. It replaces the kind by Overloaded if the kind is unknown or does not state that the
// request was not run.
func refusedFrom(from *rpc.Refused) refused {
	kind := fault.Kind(from.Kind)
	if !kind.Known() || kind.Response().Ran != fault.RanNo {
		kind = fault.Overloaded
	}

	retryAfter := time.Duration(from.RetryAfterMs) * time.Millisecond

	return refused{fault.New(kind, "%s", from.Message).WithRetryAfter(retryAfter)}
}

// failedFrom converts a Failed message. It replaces the kind by BackendFailed if the kind is unknown or states that the request
// was not run.
func failedFrom(from *rpc.Failed) lost {
	kind := fault.Kind(from.Kind)
	if !kind.Known() || kind.Response().Ran == fault.RanNo {
		kind = fault.BackendFailed
	}

	return lost{fault.New(kind, "%s", from.Message)}
}

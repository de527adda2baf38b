package relay

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// failure is why one server gave no whole answer; it is one of the types of this file.
type failure interface {
	error
	failure()
}

// unreachable means that nothing was written to the agent.
type unreachable struct{ reason *fault.Error }

// refused means that the agent said it has not run the request and will not.
type refused struct{ reason *fault.Error }

// lost means that the request was written and may have run, and its answer is not whole.
type lost struct{ reason *fault.Error }

// final means that no other server is to be tried.
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

// spills reports whether another server may accept what this one refused.
func (f refused) spills() bool {
	return f.reason.Kind.Response().Status == http.StatusServiceUnavailable
}

func failureOf(err error) failure {
	var found failure

	if errors.As(err, &found) {
		return found
	}

	return final{fault.FromError(err)}
}

// refusal reads a Refused. A kind outside the list, or one that does not say "not run", becomes Overloaded.
func refusal(from *rpc.Refused) refused {
	kind := fault.Kind(from.Kind)
	if !kind.Known() || kind.Response().Ran != fault.RanNo {
		kind = fault.Overloaded
	}

	after := time.Duration(from.RetryAfterMs) * time.Millisecond

	return refused{fault.New(kind, "%s", from.Message).WithRetryAfter(after)}
}

// failed reads a Failed. A kind that says "not run" contradicts it and becomes BackendFailed.
func failed(from *rpc.Failed) lost {
	kind := fault.Kind(from.Kind)
	if !kind.Known() || kind.Response().Ran == fault.RanNo {
		kind = fault.BackendFailed
	}

	return lost{fault.New(kind, "%s", from.Message)}
}

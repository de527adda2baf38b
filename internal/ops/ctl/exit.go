package ctl

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/client"
)

// Exit codes of the command.
const (
	// ExitFailed means that the command failed for a reason without an exit code of its own.
	ExitFailed = 1
	// ExitUsage means that the arguments or the input of the operator are invalid, or name an item that does not exist.
	ExitUsage = 2
	// ExitConflict means that another change was committed first.
	ExitConflict = 3
	// ExitNotInForce means that a change was accepted and is not known to be in force yet.
	ExitNotInForce = 4
	// ExitUnreachable means that no entry could be reached.
	ExitUnreachable = 5
)

// ExitError is an error with the exit code of the command.
type ExitError struct {
	Code int
	Err  error
}

// Error implements the error interface.
func (e *ExitError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error {
	return e.Err
}

func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

// usageKinds lists the error kinds that are caused by the operator's input.
var usageKinds = []fault.Kind{fault.InvalidRequest, fault.NotFound, fault.TooLarge}

// toExitError returns err as an *ExitError with the exit code of its kind.
func toExitError(err error) error {
	if err == nil {
		return nil
	}

	var (
		exitErr     *ExitError
		responseErr *client.ResponseError
	)

	switch {
	case errors.As(err, &exitErr):
		return exitErr
	case errors.As(err, &responseErr):
		return &ExitError{Code: exitCode(responseErr), Err: withCommittedChanges(responseErr)}
	case errors.Is(err, client.ErrUnreachable):
		return &ExitError{Code: ExitUnreachable, Err: err}
	default:
		return &ExitError{Code: ExitFailed, Err: err}
	}
}

// exitCode returns the exit code for the kind of an error response.
func exitCode(err *client.ResponseError) int {
	for _, kind := range usageKinds {
		if err.Kind() == kind {
			return ExitUsage
		}
	}

	if err.Kind() == fault.Conflict {
		return ExitConflict
	}

	return ExitFailed
}

// withCommittedChanges returns an error with the text of err and the changes that were committed since the base version. It
// returns err itself if the response lists none; only responses to conflicting changes do.
func withCommittedChanges(err *client.ResponseError) error {
	if len(err.Changes) == 0 {
		return err
	}

	text := err.Error()
	for _, change := range err.Changes {
		text += "\n" + formatChange(change)
	}

	return errors.Newf("%s", text)
}
